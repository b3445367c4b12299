//! Grants, releases and expires permits.

use {
    crate::{commands::try_spend_credit, queries::has_credit, Lease, Permit, Pool, Selection},
    types::{PermitId, ServerIndex},
};

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Grants a permit for a slot of the selected server and returns its id. It uses up a due trial of the server, and credit if
/// the server has a limit.
pub fn grant(pool: &mut Pool, selection: Selection, lease: Lease, now_ms: u64) -> PermitId {
    let id = PermitId::new(pool.next_permit);
    pool.next_permit += 1;
    let permit = Permit {
        server: selection.server,
        acquire_id: lease.acquire_id,
        granted_ms: now_ms,
        expires_ms: lease.expires_ms,
        overdue: false,
        retryable: lease.retryable,
    };
    pool.permits.insert(id, permit);
    if let Some(server) = pool.servers.get_mut(selection.server) {
        server.held += 1;
        server.granted_count += 1;
        server.last_granted_ms = now_ms;
        if let Some(limit) = server.rate_limit.as_mut() {
            try_spend_credit(&mut limit.credit, now_ms);
            server.is_at_limit = !has_credit(&limit.credit, now_ms);
        }
        if selection.is_trial {
            server.trial_due = false;
        }
    }
    id
}

/// Releases a permit. `response_us` is the time to the complete response, if there was one, and updates the mean
/// service time. Does nothing if the permit is not outstanding, for instance because it has expired.
pub fn release_permit(pool: &mut Pool, id: PermitId, response_us: Option<u64>) -> Option<Permit> {
    let permit = pool.permits.remove(&id)?;
    if let Some(server) = pool.servers.get_mut(permit.server) {
        server.held = server.held.saturating_sub(1);
    }
    if let Some(response_us) = response_us {
        let sample_us = response_us as f64;
        pool.mean_service_us = if pool.mean_service_us == 0.0 {
            sample_us
        } else {
            pool.mean_service_us + SERVICE_TIME_WEIGHT * (sample_us - pool.mean_service_us)
        };
    }
    Some(permit)
}

/// Sets the mean service time from a previous owner's value, unless this owner has measured one.
pub fn seed_service_time(pool: &mut Pool, mean_service_us: f64) {
    if pool.mean_service_us == 0.0 {
        pool.mean_service_us = mean_service_us;
    }
}

/// Cancels an acquire request whose response was lost: removes it from the queue and releases the permit that it was
/// granted, if any.
pub fn cancel_request(pool: &mut Pool, acquire_id: u64) -> Option<Permit> {
    pool.queue
        .retain(|waiter| waiter.request.acquire_id != acquire_id);
    let mut permits = pool.permits.iter();
    let id = permits
        .find(|(_, permit)| permit.acquire_id == acquire_id)
        .map(|(id, _)| *id)?;
    release_permit(pool, id, None)
}

/// Reclaims the permits whose lease has expired and returns how many.
pub fn expire_permits(pool: &mut Pool, now_ms: u64) -> usize {
    let expired: Vec<PermitId> = pool
        .permits
        .iter()
        .filter(|(_, permit)| permit.expires_ms <= now_ms)
        .map(|(id, _)| *id)
        .collect();
    for id in &expired {
        release_permit(pool, *id, None);
    }
    expired.len()
}

/// Marks permits older than `limit_ms` as overdue and returns the server of each newly marked one, so that each permit
/// is reported once.
pub fn mark_overdue(pool: &mut Pool, now_ms: u64, limit_ms: u64) -> Vec<ServerIndex> {
    let mut servers = Vec::new();
    for permit in pool.permits.values_mut() {
        if !permit.overdue && now_ms.saturating_sub(permit.granted_ms) > limit_ms {
            permit.overdue = true;
            servers.push(permit.server);
        }
    }
    servers
}
