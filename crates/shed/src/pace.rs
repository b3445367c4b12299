//! The state by which first tries are held back while servers reject requests.

/// Phase of a pool's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Phase {
    /// First tries are sent as servers are free.
    #[default]
    Free,
    /// Fewer are sent for one window, to see whether servers then reject a smaller share.
    Trial,
    /// Servers reject less when they are sent less, so little more is sent than they accept.
    Held,
}

/// How many first tries are sent to servers that reject some of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    pub(crate) phase: Phase,
    /// First tries that may be sent a second, unless the phase is `Free`.
    pub(crate) rate_per_s: f64,
    /// Share of the attempts that servers rejected before the trial, 0 to 1.
    pub(crate) rejected_before: f64,
    /// Rate at which servers rejected last, in first tries a second.
    pub(crate) ceiling_per_s: f64,
    /// Cuts of the rate since the last window without rejections.
    pub(crate) cuts: u32,
    /// Windows without rejections since the last cut.
    pub(crate) clean_windows: u32,
    /// First tries that could be sent at `refilled_ms`.
    pub(crate) tokens: f64,
    pub(crate) refilled_ms: u64,
    /// Start of the window, in milliseconds, and the attempts, first tries and rejections in it.
    pub(crate) window_began_ms: u64,
    pub(crate) sent: u32,
    pub(crate) first_tries: u32,
    pub(crate) rejected: u32,
    /// Time before which no trial begins, in milliseconds, and the pause before the last one.
    pub(crate) no_trial_before_ms: u64,
    pub(crate) trial_pause_ms: u64,
}
