//! What a run shows, and what the instances must believe.

use {
    super::{
        locked,
        store::{server_name, StoreModel},
        Belief, ServerState, World, SERVERS, SETTLE_MS,
    },
    member::{queries::source_directory, View},
    std::collections::BTreeSet,
};

/// Time after the store's return from a copy until everything is known in time again, in milliseconds: the longest pause of a
/// reader, 1.6 s, the grace period of servers, 2.3 s, and the way to the other instances.
const RECOVERY_MS: u64 = 4_500;

/// A wrong belief of an instance in touch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Violation {
    pub(crate) instance: usize,
    /// Time of the check, in milliseconds after the fleet has settled.
    pub(crate) at_ms: u64,
    pub(crate) what: String,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// First violation of each instance.
    pub(crate) violations: Vec<Violation>,
    /// Calls to the store, rejected ones included.
    pub(crate) store_calls: u64,
    /// Those of them that were made before the fleet had settled.
    pub(crate) start_calls: u64,
    /// Instances that read the store in the last two seconds.
    pub(crate) readers: usize,
    /// Time from the last start of all instances until each of them knew the configuration and the servers, in milliseconds;
    /// none if one of them never did.
    pub(crate) started_ms: Option<u64>,
}

/// Checks the beliefs of all instances in touch against what the store has acknowledged.
pub(crate) fn check(world: &World, bound_ms: u64, outcome: &mut Outcome) {
    let now_ms = world.now_ms();
    // What was acknowledged just then is due only afterwards.
    let due_ms = now_ms.saturating_sub(bound_ms + 1);
    let beliefs = locked(&world.beliefs).clone();
    for (instance, belief) in beliefs.iter().enumerate() {
        let is_reported = outcome
            .violations
            .iter()
            .any(|violation| violation.instance == instance);
        if is_reported || !world.is_in_touch(instance) {
            continue;
        }
        let what = if world.store.is_recovering(now_ms, RECOVERY_MS) {
            find_loss(&world.store, belief, now_ms)
        } else {
            find_error(&world.store, belief, due_ms, now_ms)
        };
        if let Some(what) = what {
            outcome.violations.push(Violation {
                instance,
                at_ms: now_ms - SETTLE_MS,
                what,
            });
        }
    }
}

/// Returns which fact of higher precedence a belief has lost.
fn find_return(belief: &Belief) -> Option<String> {
    if belief.has_regressed {
        return Some("an older version replaced a newer one".to_owned());
    }
    let returned = belief.returned?;
    Some(format!("server {returned} has left and was used again"))
}

/// Returns what is wrong with a belief while the store recovers from a loss, when changes need not be known yet: nothing may
/// have been undone, and no running server may be dropped.
fn find_loss(store: &StoreModel, belief: &Belief, now_ms: u64) -> Option<String> {
    let is_started = !belief.servers.is_empty();
    let is_dropped = |server: &usize| {
        is_started
            && store.server_state(*server, now_ms) != ServerState::Gone
            && !belief.servers.contains_key(&server_name(*server))
    };
    let dropped = (0..SERVERS).find(is_dropped);
    find_return(belief).or_else(|| dropped.map(|it| format!("server {it} runs and was dropped")))
}

/// Checks that the store has the record of each instance, and the directory that follows from these.
pub(crate) fn check_own_records(world: &World, outcome: &mut Outcome) {
    let at_ms = world.now_ms() - SETTLE_MS;
    let announced = locked(&world.announced).clone();
    let beliefs = locked(&world.beliefs).clone();
    for (instance, belief) in beliefs.iter().enumerate() {
        if announced[instance] != belief.incarnation {
            outcome.violations.push(Violation {
                instance,
                at_ms,
                what: "its announcement is lost".to_owned(),
            });
        }
    }
    let view = View::new(0, world.announced_instances(), Vec::new());
    let wanted = source_directory(&view).into_iter();
    let wanted: BTreeSet<String> = wanted.map(|it| it.name.clone()).collect();
    let listed = locked(&world.directory).clone();
    let listed: BTreeSet<String> = listed.into_keys().collect();
    if listed != wanted {
        outcome.violations.push(Violation {
            instance: 0,
            at_ms,
            what: format!("the directory has {listed:?}, {wanted:?} are the sources"),
        });
    }
}

/// Returns what is wrong with a belief at `now_ms` if everything acknowledged by `due_ms` must be known.
fn find_error(store: &StoreModel, belief: &Belief, due_ms: u64, now_ms: u64) -> Option<String> {
    let required = store.listed_version(due_ms, now_ms);
    if let Some(what) = find_return(belief) {
        return Some(what);
    }
    if belief.version() < required {
        return Some(format!("version {}, {required} was due", belief.version()));
    }
    let wrong = (0..SERVERS).find_map(|server| {
        let states = store.server_states(server, due_ms, now_ms);
        let believed = belief.servers.get(&server_name(server)).copied();
        let believed = believed.unwrap_or(ServerState::Gone);
        (!states.contains(&believed)).then_some((server, believed, states))
    });
    wrong.map(|(server, believed, states)| {
        format!("server {server} is {believed:?}, was {states:?} since")
    })
}
