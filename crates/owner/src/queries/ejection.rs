//! What an owner says about ejections from one pool.

use {
    crate::PoolState,
    outlier::{
        queries::{self, assess},
        Assessment, EjectionEventKind,
    },
    types::ServerIndex,
};

/// Returns the record that is due about a server, if one is.
pub fn ejection_due(
    state: &PoolState,
    index: ServerIndex,
    now_ms: u64,
) -> Option<EjectionEventKind> {
    let meta = state.server_meta.get(index)?;
    let entry = state.health.servers.get(index)?;
    if now_ms < meta.no_proposal_until_ms || !meta.listed {
        return None;
    }
    if meta.ejected {
        let hold = now_ms < entry.renew_until_ms;
        return Some(if hold {
            EjectionEventKind::Renew
        } else {
            EjectionEventKind::Return
        });
    }
    let opinion = assess(&state.health, index, state.sensitivity, now_ms);
    (opinion == Assessment::Eject).then_some(EjectionEventKind::Eject)
}

/// Returns the slots of a pool that are proved healthy and not counted as ejected.
pub fn healthy_slots(state: &PoolState, now_ms: u64, counted: &[String]) -> u32 {
    queries::healthy_slots(&state.health.servers, now_ms, |server| {
        let name = state.pool.names.name(server);
        let usable = state
            .pool
            .servers
            .get(server)
            .filter(|entry| !entry.leaving);
        match usable {
            Some(entry) if !counted.iter().any(|other| other == name) => entry.slots,
            _ => 0,
        }
    })
}
