//! What an operator sees of the decisions: counts by reason, and when a pool begins and ends to refuse.

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalKind {
    /// It could not be served before its deadline.
    Deadline,
    /// It waited, and a more urgent request took its place.
    Evicted,
    /// There was no credit for its retry, or a more urgent one needs it.
    NoRetryCredit,
    /// It could not be served before its deadline, behind the requests of accounts within their share.
    FairShare,
}

/// Refused requests by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RefusalCounts {
    /// [`RefusalKind::Deadline`].
    pub deadline: u64,
    /// [`RefusalKind::Evicted`].
    pub evicted: u64,
    /// [`RefusalKind::NoRetryCredit`].
    pub no_retry_credit: u64,
    /// [`RefusalKind::FairShare`].
    pub fair_share: u64,
}

impl RefusalCounts {
    /// Returns the number of all refused requests.
    pub fn total(&self) -> u64 {
        self.deadline + self.evicted + self.no_retry_credit + self.fair_share
    }
}

/// Whether a pool began or ended to refuse requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// The first refusal after a time without.
    Began,
    /// No refusal for some time.
    Ended,
}

/// What has happened since the last report.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Requests refused since the last report.
    pub refused: RefusalCounts,
    /// Whether the pool began or ended to refuse since then.
    pub transition: Option<Transition>,
    /// Requests refused since the pool began to refuse.
    pub episode: RefusalCounts,
    /// Requests that were granted a slot or evicted from the queue, per second.
    pub drain_per_s: f64,
    /// Share of the attempts that servers rejected, in thousandths.
    pub rejected_permille: u32,
}

/// Counts that were not reported yet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportState {
    pub(crate) refused: RefusalCounts,
    pub(crate) episode: RefusalCounts,
    pub(crate) is_refusing: bool,
    pub(crate) last_refused_ms: u64,
}
