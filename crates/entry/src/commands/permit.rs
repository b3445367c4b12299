//! A slot in use, released exactly once.

use {
    crate::{AttemptOutcome, Grant, Proxy, Release},
    std::{
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex, PoisonError,
        },
        time::{Duration, Instant},
    },
};

/// A slot in use; dropping it unsettled releases it with what its age says.
pub(crate) struct Permit {
    path: Arc<Proxy>,
    grant: Grant,
    taken: Instant,
    settled: Mutex<bool>,
    reused: AtomicBool,
}

/// What an exchange found out about its server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Finding {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) first_byte_us: u64,
    pub(crate) response_us: u64,
    pub(crate) draining: bool,
}

impl Finding {
    /// Evidence without a time.
    pub(crate) fn new(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            first_byte_us: 0,
            response_us: 0,
            draining: false,
        }
    }
}

impl Permit {
    pub(crate) fn new(path: Arc<Proxy>, grant: Grant) -> Self {
        Self {
            path,
            grant,
            taken: Instant::now(),
            settled: Mutex::new(false),
            reused: AtomicBool::new(false),
        }
    }

    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Releases the slot with `finding`; later calls change nothing.
    pub(crate) fn settle(&self, finding: Finding) {
        let mut settled = self.settled.lock().unwrap_or_else(PoisonError::into_inner);
        if std::mem::replace(&mut *settled, true) {
            return;
        }
        (self.path.slots.release)(Release {
            grant: self.grant.clone(),
            outcome: finding.outcome,
            first_byte_us: finding.first_byte_us,
            response_us: finding.response_us,
            draining: finding.draining,
        });
    }

    /// Notes that the exchange goes over a connection that was open before.
    pub(crate) fn set_reused(&self) {
        self.reused.store(true, Ordering::Relaxed);
    }

    /// Tells whether the exchange goes over a connection that was open before.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused.load(Ordering::Relaxed)
    }

    /// Releases the slot without blaming the server.
    pub(crate) fn clear(&self) {
        self.settle(Finding::new(AttemptOutcome::Inconclusive));
    }

    fn is_overdue(&self) -> bool {
        let usual_ms = self.grant.hedge_after_ms;
        usual_ms > 0 && self.taken.elapsed() > Duration::from_millis(usual_ms)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let outcome = if self.is_overdue() {
            AttemptOutcome::Overdue
        } else {
            AttemptOutcome::Inconclusive
        };
        self.settle(Finding::new(outcome));
    }
}
