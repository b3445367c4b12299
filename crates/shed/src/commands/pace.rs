//! Holds first tries back while servers reject requests.

use crate::{
    pace::{Pace, Phase},
    queries::{tokens, REJECTING_PERMILLE},
    Admission,
};

/// Time over which the share of rejections is measured, in milliseconds.
const WINDOW_MS: u64 = 500;
/// Attempts in a window from which the share of rejections is meaningful. With fewer, nothing is held back.
const SENT_MIN: u32 = 30;
/// Part of the first tries that are sent in a trial.
const TRIAL_SENT: f64 = 0.4;
/// Part of the share of rejections before the trial below which rejections depend on how much is sent. Otherwise holding
/// back only costs time.
const HELPED_SHARE: f64 = 0.75;
/// Shares of rejections below which more is sent while held, and from which less is, 0 to 1.
const HELD_REJECTED: (f64, f64) = (0.05, 0.1);
/// Factors on the rate in each window without rejections, far below and near the rate that was rejected last.
const PROBE_FAR: f64 = 1.2;
const PROBE_NEAR: f64 = 1.04;
/// Successive windows without rejections after which the servers are taken to have recovered.
const CLEAN_WINDOWS: u32 = 6;
/// Largest and least factor on the rate after a window with rejections; between them, the share that was accepted.
const CUT: f64 = 0.8;
const CUT_MIN: f64 = 0.5;
/// Successive cuts after which first tries are no longer held back, since servers reject all the same.
const CUTS_MAX: u32 = 4;
/// Part of the rate below which the demand no longer needs to be held back.
const USED_MIN: f64 = 0.8;
/// First and longest pause after a trial that did not help, in milliseconds. Servers that rejected regardless of the load did
/// so for about 8 s.
const TRIAL_PAUSE_MS: (u64, u64) = (8_000, 32_000);

/// Ends the window if it is over, and decides by it how many first tries are sent in the next one.
pub fn advance_pace(admission: &mut Admission, now_ms: u64) {
    let pace = &mut admission.pace;
    let elapsed_ms = now_ms.saturating_sub(pace.window_began_ms);
    if elapsed_ms < WINDOW_MS {
        return;
    }
    let per_s = |count: u32| f64::from(count) * 1_000.0 / elapsed_ms as f64;
    let first_per_s = per_s(pace.first_tries);
    let rejected_share = f64::from(pace.rejected) / f64::from(pace.sent.max(1));
    let has_helped = rejected_share < pace.rejected_before * HELPED_SHARE;
    if pace.phase != Phase::Free {
        pace.tokens = tokens(pace, now_ms);
    }
    pace.refilled_ms = now_ms;
    match pace.phase {
        Phase::Free => {
            let is_due = pace.sent >= SENT_MIN && now_ms >= pace.no_trial_before_ms;
            if is_due && rejected_share * 1_000.0 >= f64::from(REJECTING_PERMILLE) {
                pace.phase = Phase::Trial;
                pace.tokens = 0.0;
                pace.rate_per_s = first_per_s * TRIAL_SENT;
                pace.rejected_before = rejected_share;
            }
        }
        Phase::Trial | Phase::Held if pace.sent < SENT_MIN => pace.phase = Phase::Free,
        Phase::Trial if !has_helped => release(pace, now_ms),
        Phase::Trial => {
            pace.phase = Phase::Held;
            pace.trial_pause_ms = 0;
            pace.cuts = 0;
            pace.clean_windows = 0;
            pace.ceiling_per_s = pace.rate_per_s / TRIAL_SENT;
        }
        Phase::Held if pace.cuts >= CUTS_MAX => release(pace, now_ms),
        Phase::Held if rejected_share >= HELD_REJECTED.1 => {
            pace.cuts += 1;
            pace.clean_windows = 0;
            pace.ceiling_per_s = pace.rate_per_s;
            pace.rate_per_s *= (1.0 - rejected_share).clamp(CUT_MIN, CUT);
        }
        Phase::Held if rejected_share >= HELD_REJECTED.0 => {}
        Phase::Held if first_per_s < pace.rate_per_s * USED_MIN => pace.phase = Phase::Free,
        Phase::Held => {
            pace.cuts = 0;
            pace.clean_windows += 1;
            let is_far =
                pace.rate_per_s < pace.ceiling_per_s * CUT || pace.clean_windows > CLEAN_WINDOWS;
            pace.rate_per_s *= if is_far { PROBE_FAR } else { PROBE_NEAR };
        }
    }
    pace.window_began_ms = now_ms;
    pace.sent = 0;
    pace.first_tries = 0;
    pace.rejected = 0;
}

/// Sends first tries as servers are free, and begins the next trial after a pause that doubles.
fn release(pace: &mut Pace, now_ms: u64) {
    let (first_ms, longest_ms) = TRIAL_PAUSE_MS;
    pace.phase = Phase::Free;
    pace.trial_pause_ms = (pace.trial_pause_ms * 2).clamp(first_ms, longest_ms);
    pace.no_trial_before_ms = now_ms + pace.trial_pause_ms;
}
