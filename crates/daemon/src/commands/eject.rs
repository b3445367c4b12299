//! Proposes, renews and ends ejections through the log, and applies those that the log accepted.
//!
//! Invariant: a server is ejected only while an accepted record in the log ejects it; while the log is
//! unavailable, a suspect stays a suspect.

use {
    crate::{
        commands::{
            fold_ejections::{ejection_stream_name, with_ejections},
            peer_calls::call,
            probe,
        },
        queries::candidate_owners,
        Node,
    },
    member::queries::pool_areas,
    outlier::{queries, EjectionEvent, EjectionEventKind, EJECTION_TTL_MS},
    owner::{
        queries::{ejection_due, healthy_slots},
        PoolState,
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
    stream::commands::append,
    types::ServerIndex,
    wire::{
        convert,
        generated::{HealthySlotsRequest, HealthySlotsResponse},
        to_json,
    },
};

/// Time after a proposal during which no other is made for the same server, in milliseconds.
const PROPOSAL_PAUSE_MS: u64 = 1_000;
/// Timeout for a call to the owner of another pool, in milliseconds.
const OWNER_TIMEOUT_MS: u64 = 200;

/// A proposal that is due for one server.
#[derive(Clone, Debug)]
struct DueProposal {
    /// Recent rate of bad outcomes of the server, from 0 to 1.
    bad_outcome_rate: f64,
    kind: EjectionEventKind,
    service: String,
    area: String,
    server: String,
    address: SocketAddr,
    slots: u32,
    /// Healthy slots that an ejection must leave to the service.
    floor_slots: u32,
}

/// Returns the names of the servers whose ejection is in effect, by service.
pub(crate) fn active_ejections(node: &Node, now_ms: u64) -> HashMap<String, Vec<String>> {
    let mut active = HashMap::new();
    node.ejections.for_each(|replicas| {
        for (service, replica) in replicas.iter() {
            let names: Vec<String> = queries::enforced_servers(replica, now_ms)
                .map(str::to_owned)
                .collect();
            if !names.is_empty() {
                active.insert(service.clone(), names);
            }
        }
    });
    active
}

/// Checks all pools and spawns a task for each proposal that is due.
pub(crate) fn review_ejections(node: &Arc<Node>) {
    let now_ms = node.now_ms();
    let mut due = Vec::new();
    node.pools
        .for_each(|state| collect_due(state, now_ms, &mut due));
    for proposal in due {
        let node = Arc::clone(node);
        tokio::spawn(async move { propose(&node, proposal).await });
    }
}

fn collect_due(state: &mut PoolState, now_ms: u64, due: &mut Vec<DueProposal>) {
    let servers: Vec<ServerIndex> = state.pool.servers.iter().map(|(index, _)| index).collect();
    for index in servers {
        let Some(kind) = ejection_due(state, index, now_ms) else {
            continue;
        };
        if let Some(meta) = state.server_meta.get_mut(index) {
            meta.no_proposal_until_ms = now_ms + PROPOSAL_PAUSE_MS;
        }
        if let Some(server) = state.pool.servers.get(index) {
            let health = state.health.servers.get(index);
            due.push(DueProposal {
                bad_outcome_rate: health.map_or(0.0, |entry| entry.bad_outcome_rate),
                kind,
                service: state.service.clone(),
                area: state.area.clone(),
                server: state.pool.names.name(index).to_owned(),
                address: server.address,
                slots: server.slots,
                floor_slots: state.floor_slots,
            });
        }
    }
}

async fn propose(node: &Arc<Node>, proposal: DueProposal) {
    let others = other_servers(node, &proposal).await;
    let kind = match proposal.kind {
        EjectionEventKind::Eject if others.healthy_slots < proposal.floor_slots => {
            return count_verdict(node, "refused for the floor");
        }
        EjectionEventKind::Eject
            if !queries::is_outlier(proposal.bad_outcome_rate, others.bad_outcome_rate()) =>
        {
            return count_verdict(node, "no worse than the service");
        }
        // Below the floor an ejected server returns as a suspect, regardless of its remaining ejection time.
        EjectionEventKind::Renew if others.healthy_slots < proposal.floor_slots => {
            EjectionEventKind::Return
        }
        EjectionEventKind::Renew if !renewal_due(node, &proposal) => return,
        EjectionEventKind::Return if !probe::is_healthy(proposal.address).await => {
            EjectionEventKind::Renew
        }
        kind => kind,
    };
    let event = EjectionEvent {
        kind,
        server: proposal.server.clone(),
        slots: proposal.slots,
        healthy_slots: others.healthy_slots + proposal.slots,
        floor_slots: proposal.floor_slots,
        base_offset: with_ejections(node, &proposal.service, |replica| {
            queries::last_accepted_offset(replica)
        }),
    };
    let record = to_json(&convert::encode_ejection_event(
        &event,
        &node.settings.instance,
    ));
    let stream = ejection_stream_name(&proposal.service);
    if append(&node.platform, &stream, &record).await.is_err() {
        count_verdict(node, "log away");
    }
}

fn count_verdict(node: &Node, verdict: &str) {
    node.metrics.ejections.with_label_values(&[verdict]).inc();
}

/// Returns whether half of the ejection's time to live has passed.
fn renewal_due(node: &Node, proposal: &DueProposal) -> bool {
    let half_ttl_ms = node.now_ms() + EJECTION_TTL_MS / 2;
    with_ejections(node, &proposal.service, |replica| {
        !queries::is_enforced(replica, &proposal.server, half_ttl_ms)
    })
}

/// Healthy capacity and recent outcomes of all servers of a service except one.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceTotals {
    healthy_slots: u32,
    servers: u32,
    bad_permille_sum: u32,
}

impl ServiceTotals {
    fn add(&mut self, response: &HealthySlotsResponse) {
        self.healthy_slots += response.proved_slots;
        self.servers += response.servers;
        self.bad_permille_sum += response.bad_permille * response.servers;
    }

    /// Returns the mean recent rate of bad outcomes; 1 if no server has served requests, so that none is an outlier.
    fn bad_outcome_rate(&self) -> f64 {
        if self.servers == 0 {
            return 1.0;
        }
        f64::from(self.bad_permille_sum) / f64::from(self.servers) / 1_000.0
    }
}

/// Adds up all pools of the service except for the proposal's server: its own pool locally, the others by querying
/// their owners. An owner that does not respond counts as no healthy capacity.
async fn other_servers(node: &Arc<Node>, proposal: &DueProposal) -> ServiceTotals {
    let view = node.view.load_full();
    let mut others = ServiceTotals::default();
    others.add(&local_healthy_slots(
        node,
        &proposal.service,
        &proposal.area,
        Some(&proposal.server),
    ));
    for area in pool_areas(&view, &proposal.service, &[proposal.area.as_str()]) {
        if area == proposal.area {
            continue;
        }
        let request = HealthySlotsRequest {
            service: proposal.service.clone(),
            area: area.to_owned(),
        };
        if let Some(owner) = candidate_owners(node, &view, &proposal.service, area).next() {
            let response = call(node, owner, "proved", &request, OWNER_TIMEOUT_MS).await;
            others.add(&response.unwrap_or(NO_HEALTHY_SLOTS));
        }
    }
    others
}

/// Counted for a pool that this node does not own, or whose owner does not respond.
const NO_HEALTHY_SLOTS: HealthySlotsResponse = HealthySlotsResponse {
    proved_slots: 0,
    servers: 0,
    bad_permille: 0,
};

/// Returns the healthy capacity and the mean rate of bad outcomes of a pool that this node owns, without the server
/// `except`; zero if it does not own the pool.
pub(crate) fn local_healthy_slots(
    node: &Node,
    service: &str,
    area: &str,
    except: Option<&str>,
) -> HealthySlotsResponse {
    let now_ms = node.now_ms();
    let mut excluded = with_ejections(node, service, |replica| {
        let names: Vec<String> = queries::counted_out_servers(replica, now_ms)
            .map(str::to_owned)
            .collect();
        names
    });
    excluded.extend(except.map(str::to_owned));
    let id = node.pools.id(service, area);
    node.pools.with(id, |pools| match pools.get(&id) {
        Some(state) => healthy_slots_response(state, now_ms, &excluded, except),
        None => NO_HEALTHY_SLOTS,
    })
}

fn healthy_slots_response(
    state: &PoolState,
    now_ms: u64,
    excluded: &[String],
    except: Option<&str>,
) -> HealthySlotsResponse {
    let except = except.and_then(|name| state.pool.names.find(name));
    let rates = queries::active_bad_outcome_rates(&state.health, except);
    let mean = rates.iter().sum::<f64>() / (rates.len().max(1)) as f64;
    HealthySlotsResponse {
        proved_slots: healthy_slots(state, now_ms, excluded),
        servers: rates.len() as u32,
        bad_permille: (mean * 1_000.0) as u32,
    }
}
