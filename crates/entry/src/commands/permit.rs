//! A slot in use, which is released exactly once.

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

/// A slot in use. If it is dropped before it was released, its age decides whether the attempt counts as overdue.
pub(crate) struct Permit {
    proxy: Arc<Proxy>,
    grant: Grant,
    acquired_at: Instant,
    released: Mutex<bool>,
    reused: AtomicBool,
}

/// Outcome of an attempt with its measurements.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptReport {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) first_byte_us: u64,
    pub(crate) response_us: u64,
    pub(crate) is_leaving: bool,
    pub(crate) limit_milli: Option<u64>,
}

impl AttemptReport {
    /// Creates a report without measurements.
    pub(crate) fn new(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            first_byte_us: 0,
            response_us: 0,
            is_leaving: false,
            limit_milli: None,
        }
    }
}

impl Permit {
    pub(crate) fn new(proxy: Arc<Proxy>, grant: Grant) -> Self {
        Self {
            proxy,
            grant,
            acquired_at: Instant::now(),
            released: Mutex::new(false),
            reused: AtomicBool::new(false),
        }
    }

    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Releases the slot with `report`; later calls have no effect.
    pub(crate) fn release(&self, report: AttemptReport) {
        let mut released = self.released.lock().unwrap_or_else(PoisonError::into_inner);
        if std::mem::replace(&mut *released, true) {
            return;
        }
        (self.proxy.slots.release)(Release {
            grant: self.grant.clone(),
            outcome: report.outcome,
            first_byte_us: report.first_byte_us,
            response_us: report.response_us,
            is_leaving: report.is_leaving,
            limit_milli: report.limit_milli,
        });
    }

    /// Records that the exchange uses an idle connection from the pool.
    pub(crate) fn mark_reused(&self) {
        self.reused.store(true, Ordering::Relaxed);
    }

    /// Returns whether the exchange uses an idle connection from the pool.
    pub(crate) fn is_reused(&self) -> bool {
        self.reused.load(Ordering::Relaxed)
    }

    /// Releases the slot with an outcome that does not count against the server.
    pub(crate) fn release_inconclusive(&self) {
        self.release(AttemptReport::new(AttemptOutcome::Inconclusive));
    }

    fn is_overdue(&self) -> bool {
        let overdue_after_ms = self.grant.hedge_after_ms;
        overdue_after_ms > 0 && self.acquired_at.elapsed() > Duration::from_millis(overdue_after_ms)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let outcome = if self.is_overdue() {
            AttemptOutcome::Overdue
        } else {
            AttemptOutcome::Inconclusive
        };
        self.release(AttemptReport::new(outcome));
    }
}
