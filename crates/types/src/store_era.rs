//! The era of a store, as one process knows it.
//!
//! A store that returns from an older copy of its data increases its era by one. It may state the era in each response.
//! Offsets that were received in one era say nothing about another one.

/// What a response says of the store's era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraObservation {
    /// The era is the known one, the first one that was stated, or not stated.
    Unchanged,
    /// The store has lost records since the response before.
    Changed,
    /// The response was made before a loss that is already known.
    Outdated,
}

/// The newest era that was stated, and how often it has changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreEra {
    known: Option<u64>,
    /// Time at which it became known, in milliseconds.
    known_ms: u64,
    changes: u64,
}

impl StoreEra {
    /// Records the era that a response to a request states, if it does; the request was sent at `sent_ms`.
    ///
    /// Responses on several connections may arrive in another order than they were made. One with a lower era is outdated
    /// if its request was sent before the higher era was known. A later request can't get such a response, so the
    /// statement is then not believed.
    pub fn observe(&mut self, stated: Option<u64>, sent_ms: u64, now_ms: u64) -> EraObservation {
        let Some(stated) = stated else {
            return EraObservation::Unchanged;
        };
        match self.known {
            Some(known) if stated == known => EraObservation::Unchanged,
            Some(known) if stated < known => {
                if sent_ms <= self.known_ms {
                    EraObservation::Outdated
                } else {
                    EraObservation::Unchanged
                }
            }
            known => {
                (self.known, self.known_ms) = (Some(stated), now_ms);
                if known.is_none() {
                    return EraObservation::Unchanged;
                }
                self.changes += 1;
                EraObservation::Changed
            }
        }
    }

    /// Records a loss that offsets show although no era was stated.
    pub fn record_loss(&mut self) {
        self.changes += 1;
    }

    /// Returns the newest era that was stated.
    pub fn known(&self) -> Option<u64> {
        self.known
    }

    /// Returns the number of changes since the start of the process. Offsets apply only as long as it is the same.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}
