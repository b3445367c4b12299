//! Proposes, renews and ends ejections through the log, and obeys what the log says.
//!
//! Invariant: a server is out of service only while an accepted record says so; with the log away a suspect
//! stays a suspect.

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

/// Time for which nothing more is proposed about a server after a proposal, in milliseconds.
const PROPOSAL_PAUSE_MS: u64 = 1_000;
/// Time allowed for asking another pool's owner, in milliseconds.
const PROVED_TIMEOUT_MS: u64 = 200;

/// What is to be done about one server.
#[derive(Clone, Debug)]
struct Case {
    /// Recent share of bad outcomes.
    bad_share: f64,
    kind: EjectionEventKind,
    service: String,
    area: String,
    server: String,
    address: SocketAddr,
    slots: u32,
    floor_slots: u32,
}

/// Names of the servers whose ejection is obeyed, by service.
pub(crate) fn active_ejections(node: &Node, now_ms: u64) -> HashMap<String, Vec<String>> {
    let mut obeyed = HashMap::new();
    node.ejections.for_each(|folds| {
        for (service, fold) in folds.iter() {
            let names: Vec<String> = queries::enforced_servers(fold, now_ms)
                .map(str::to_owned)
                .collect();
            if !names.is_empty() {
                obeyed.insert(service.clone(), names);
            }
        }
    });
    obeyed
}

/// Looks at all pools and starts what is due.
pub(crate) fn review_ejections(node: &Arc<Node>) {
    let now_ms = node.now_ms();
    let mut cases = Vec::new();
    node.pools
        .for_each(|state| gather(state, now_ms, &mut cases));
    for case in cases {
        let node = Arc::clone(node);
        tokio::spawn(async move { handle(&node, case).await });
    }
}

fn gather(state: &mut PoolState, now_ms: u64, cases: &mut Vec<Case>) {
    let servers: Vec<ServerIndex> = state.pool.servers.iter().map(|(index, _)| index).collect();
    for index in servers {
        let Some(kind) = ejection_due(state, index, now_ms) else {
            continue;
        };
        if let Some(note) = state.server_meta.get_mut(index) {
            note.no_proposal_until_ms = now_ms + PROPOSAL_PAUSE_MS;
        }
        if let Some(server) = state.pool.servers.get(index) {
            let health = state.health.servers.get(index);
            cases.push(Case {
                bad_share: health.map_or(0.0, |entry| entry.bad_outcome_rate),
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

async fn handle(node: &Arc<Node>, case: Case) {
    let others = others_of_service(node, &case).await;
    let kind = match case.kind {
        EjectionEventKind::Eject if others.proved_slots < case.floor_slots => {
            return count(node, "refused for the floor");
        }
        EjectionEventKind::Eject if !queries::is_outlier(case.bad_share, others.bad_share()) => {
            return count(node, "no worse than the service");
        }
        // Below the floor an ejected server comes back as a suspect, whatever its hold.
        EjectionEventKind::Renew if others.proved_slots < case.floor_slots => {
            EjectionEventKind::Return
        }
        EjectionEventKind::Renew if !renewal_due(node, &case) => return,
        EjectionEventKind::Return if !probe::is_healthy(case.address).await => {
            EjectionEventKind::Renew
        }
        kind => kind,
    };
    let record = EjectionEvent {
        kind,
        server: case.server.clone(),
        slots: case.slots,
        healthy_slots: others.proved_slots + case.slots,
        floor_slots: case.floor_slots,
        base_offset: with_ejections(node, &case.service, |fold| {
            queries::last_accepted_offset(fold)
        }),
    };
    let text = to_json(&convert::encode_ejection_event(
        &record,
        &node.settings.instance,
    ));
    let stream = ejection_stream_name(&case.service);
    if append(&node.platform, &stream, &text).await.is_err() {
        count(node, "log away");
    }
}

fn count(node: &Node, verdict: &str) {
    node.metrics.ejections.with_label_values(&[verdict]).inc();
}

/// A renewal is due once half of the time to live has passed.
fn renewal_due(node: &Node, case: &Case) -> bool {
    let half_ms = node.now_ms() + EJECTION_TTL_MS / 2;
    with_ejections(node, &case.service, |fold| {
        !queries::is_enforced(fold, &case.server, half_ms)
    })
}

/// What is known of a service's servers but for one.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    proved_slots: u32,
    servers: u32,
    bad_permille_sum: u32,
}

impl Others {
    fn add(&mut self, answer: &HealthySlotsResponse) {
        self.proved_slots += answer.proved_slots;
        self.servers += answer.servers;
        self.bad_permille_sum += answer.bad_permille * answer.servers;
    }

    /// Mean recent share of bad outcomes; without a server that worked nothing stands out.
    fn bad_share(&self) -> f64 {
        if self.servers == 0 {
            return 1.0;
        }
        f64::from(self.bad_permille_sum) / f64::from(self.servers) / 1_000.0
    }
}

/// Asks the owners of all pools of the service; an owner that can't be asked counts as no proved capacity.
async fn others_of_service(node: &Arc<Node>, case: &Case) -> Others {
    let view = node.view.load_full();
    let mut others = Others::default();
    others.add(&local_healthy_slots(
        node,
        &case.service,
        &case.area,
        Some(&case.server),
    ));
    for area in pool_areas(&view, &case.service, &[case.area.as_str()]) {
        if area == case.area {
            continue;
        }
        let ask = HealthySlotsRequest {
            service: case.service.clone(),
            area: area.to_owned(),
        };
        if let Some(owner) = candidate_owners(node, &view, &case.service, area).next() {
            let answer = call(node, owner, "proved", &ask, PROVED_TIMEOUT_MS).await;
            others.add(&answer.unwrap_or(NOTHING_PROVED));
        }
    }
    others
}

const NOTHING_PROVED: HealthySlotsResponse = HealthySlotsResponse {
    proved_slots: 0,
    servers: 0,
    bad_permille: 0,
};

/// Returns what is proved of a pool that this node owns, without `except`; nothing if it owns none.
pub(crate) fn local_healthy_slots(
    node: &Node,
    service: &str,
    area: &str,
    except: Option<&str>,
) -> HealthySlotsResponse {
    let now_ms = node.now_ms();
    let mut out = with_ejections(node, service, |fold| {
        let names: Vec<String> = queries::counted_out_servers(fold, now_ms)
            .map(str::to_owned)
            .collect();
        names
    });
    out.extend(except.map(str::to_owned));
    let id = node.pools.id(service, area);
    node.pools.with(id, |pools| match pools.get(&id) {
        Some(state) => proved_answer(state, now_ms, &out, except),
        None => NOTHING_PROVED,
    })
}

fn proved_answer(
    state: &PoolState,
    now_ms: u64,
    out: &[String],
    except: Option<&str>,
) -> HealthySlotsResponse {
    let except = except.and_then(|name| state.pool.names.find(name));
    let shares = queries::active_bad_outcome_rates(&state.health, except);
    let mean = shares.iter().sum::<f64>() / (shares.len().max(1)) as f64;
    HealthySlotsResponse {
        proved_slots: healthy_slots(state, now_ms, out),
        servers: shares.len() as u32,
        bad_permille: (mean * 1_000.0) as u32,
    }
}
