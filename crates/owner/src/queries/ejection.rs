//! Ejections that an owner proposes, and the healthy capacity that limits them.

use {
    crate::PoolState,
    outlier::{
        queries::{self, assess},
        Assessment, EjectionEventKind,
    },
    types::ServerIndex,
};

/// Returns the kind of ejection event to propose for a server: a renewal or the return of an ejected one, or the
/// ejection of another. Returns `None` if none is due, if one was proposed recently or if the server is not listed.
pub fn ejection_due(
    state: &PoolState,
    index: ServerIndex,
    now_ms: u64,
) -> Option<EjectionEventKind> {
    let meta = state.server_meta.get(index)?;
    let health = state.health.servers.get(index)?;
    if now_ms < meta.no_proposal_until_ms || !meta.listed {
        return None;
    }
    if meta.ejected {
        let renews = now_ms < health.renew_until_ms;
        return Some(if renews {
            EjectionEventKind::Renew
        } else {
            EjectionEventKind::Return
        });
    }
    let assessment = assess(&state.health, index, state.sensitivity, now_ms);
    (assessment == Assessment::Eject).then_some(EjectionEventKind::Eject)
}

/// Returns the slots of the pool's servers that are not suspects and have recently been proved healthy, without those
/// leaving or in `counted_out`.
pub fn healthy_slots(state: &PoolState, now_ms: u64, counted_out: &[String]) -> u32 {
    queries::healthy_slots(&state.health.servers, now_ms, |server| {
        let name = state.pool.names.name(server);
        let usable = state
            .pool
            .servers
            .get(server)
            .filter(|pool_server| !pool_server.leaving);
        match usable {
            Some(pool_server) if !counted_out.iter().any(|other| other == name) => {
                pool_server.slots
            }
            _ => 0,
        }
    })
}
