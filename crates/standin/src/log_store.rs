//! In-memory log streams of the simulated platform.
//!
//! Invariant: each append gets the next offset of its stream, and offsets are never reused, also after a trim, unless the
//! platform returns to an earlier copy.

use std::collections::{HashMap, VecDeque};

/// A stored record.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    /// Time of the append, in milliseconds since the Unix epoch.
    pub appended_at_ms: u64,
    /// Content of the record.
    pub body: String,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Stream {
    pub(crate) first_offset: u64,
    pub(crate) records: VecDeque<StoredRecord>,
}

impl Stream {
    pub(crate) fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    pub(crate) fn trim(&mut self, before_ms: u64) {
        while self
            .records
            .front()
            .is_some_and(|record| record.appended_at_ms < before_ms)
        {
            self.records.pop_front();
            self.first_offset += 1;
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct LogStore {
    pub(crate) streams: HashMap<String, Stream>,
}

impl LogStore {
    pub(crate) fn append(&mut self, stream: &str, body: String, appended_at_ms: u64) -> u64 {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next_offset();
        stream.records.push_back(StoredRecord {
            appended_at_ms,
            body,
        });
        offset
    }

    pub(crate) fn trim(&mut self, before_ms: u64) {
        for stream in self.streams.values_mut() {
            stream.trim(before_ms);
        }
    }
}
