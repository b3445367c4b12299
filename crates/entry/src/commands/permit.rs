//! A slot in use, released exactly once.

use {
    crate::{Evidence, Grant, Path, Release},
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
    path: Arc<Path>,
    grant: Grant,
    taken: Instant,
    settled: Mutex<bool>,
    reused: AtomicBool,
}

/// What an exchange found out about its server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Finding {
    pub(crate) evidence: Evidence,
    pub(crate) first_byte_us: u64,
    pub(crate) whole_us: u64,
    pub(crate) draining: bool,
}

impl Finding {
    /// Evidence without a time.
    pub(crate) fn new(evidence: Evidence) -> Self {
        Self {
            evidence,
            first_byte_us: 0,
            whole_us: 0,
            draining: false,
        }
    }
}

impl Permit {
    pub(crate) fn new(path: Arc<Path>, grant: Grant) -> Self {
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
        (self.path.policy.release)(Release {
            grant: self.grant.clone(),
            evidence: finding.evidence,
            first_byte_us: finding.first_byte_us,
            whole_us: finding.whole_us,
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
        self.settle(Finding::new(Evidence::Nothing));
    }

    fn is_overdue(&self) -> bool {
        let usual_ms = self.grant.hedge_after_ms;
        usual_ms > 0 && self.taken.elapsed() > Duration::from_millis(usual_ms)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let evidence = if self.is_overdue() {
            Evidence::Overdue
        } else {
            Evidence::Nothing
        };
        self.settle(Finding::new(evidence));
    }
}
