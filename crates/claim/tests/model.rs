//! Model test of the claim state machine under random interleavings of claims, lost appends, restarts, delays and
//! repeats.
//!
//! The model has a log, several instances and one key. In every interleaving the request must run at most once, and an
//! instance may report `not run` only if the request did not run.

use {
    claim::{
        commands::{abandon_claim, advance, apply_event, begin_key, finish_key},
        queries::{claim_status, is_abandoned, key_state},
        AttemptAction, AttemptEvent, ClaimAttempt, ClaimEvent, ClaimReplica, Holder, KeyDigest,
        KeyState, KeyTable,
    },
    quickcheck::{quickcheck, Arbitrary, Gen},
};

const DIGEST: KeyDigest = [7; 16];
const INSTANCES: usize = 3;

/// An action of the model at one instance.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// A caller sends the request.
    SendRequest,
    /// The pending append takes effect and is confirmed.
    Append,
    /// The response to the pending append is lost; the append may take effect later.
    LoseAppend,
    /// An append whose response was lost takes effect.
    AppendLate,
    /// The instance reads the log back.
    ReadBack,
    /// The instance fails to read the log.
    FailRead,
    /// The running request completes.
    CompleteRequest,
    /// The running request is proved not run, and its claim is released.
    ProveNotRun,
    /// The instance queries the holder that its claim attempt returned.
    QueryHolder,
    /// The process of the instance is replaced by a new one.
    Restart,
}

#[derive(Clone, Copy, Debug)]
struct Transition {
    instance: usize,
    action: Action,
}

impl Arbitrary for Transition {
    fn arbitrary(g: &mut Gen) -> Self {
        let actions = [
            Action::SendRequest,
            Action::SendRequest,
            Action::Append,
            Action::Append,
            Action::LoseAppend,
            Action::AppendLate,
            Action::ReadBack,
            Action::ReadBack,
            Action::FailRead,
            Action::CompleteRequest,
            Action::ProveNotRun,
            Action::QueryHolder,
            Action::Restart,
        ];
        Self {
            instance: usize::arbitrary(g) % INSTANCES,
            action: *g.choose(&actions).expect("the list is not empty"),
        }
    }
}

#[derive(Debug, Default)]
struct Instance {
    incarnation: u64,
    keys: KeyTable<()>,
    attempt: Option<(ClaimAttempt, u64)>,
    running: Option<u64>,
    holder_to_query: Option<Holder>,
}

#[derive(Debug, Default)]
struct Model {
    log: Vec<ClaimEvent>,
    lost_appends: Vec<ClaimEvent>,
    instances: Vec<Instance>,
    next_nonce: u64,
    run_count: u32,
}

impl Model {
    fn new() -> Self {
        Self {
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            ..Self::default()
        }
    }

    fn replica(&self) -> ClaimReplica {
        let mut replica = ClaimReplica::new();
        for (offset, event) in self.log.iter().enumerate() {
            apply_event(&mut replica, offset as u64, 0, event);
        }
        replica
    }

    fn claim_event(&self, index: usize, nonce: u64) -> ClaimEvent {
        ClaimEvent::Claim {
            digest: DIGEST,
            holder: Holder {
                instance: index.to_string(),
                incarnation: self.instances[index].incarnation,
                nonce,
            },
        }
    }

    fn apply_transition(&mut self, transition: Transition) {
        let index = transition.instance;
        match transition.action {
            Action::SendRequest => self.send_request(index),
            Action::Append => self.append(index, true),
            Action::LoseAppend => self.append(index, false),
            Action::AppendLate => self.log.extend(self.lost_appends.pop()),
            Action::ReadBack => self.read_back(index, true),
            Action::FailRead => self.read_back(index, false),
            Action::CompleteRequest => self.complete_request(index),
            Action::ProveNotRun => self.prove_not_run(index),
            Action::QueryHolder => self.query_holder(index),
            Action::Restart => {
                let incarnation = self.instances[index].incarnation + 1;
                self.instances[index] = Instance {
                    incarnation,
                    ..Instance::default()
                };
            }
        }
    }

    fn send_request(&mut self, index: usize) {
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let instance = &mut self.instances[index];
        if begin_key(&mut instance.keys, DIGEST, 0) {
            instance.attempt = Some((ClaimAttempt::new(), nonce));
        }
    }

    fn append(&mut self, index: usize, confirmed: bool) {
        let Some((attempt, nonce)) = self.instances[index].attempt.clone() else {
            return;
        };
        if attempt != ClaimAttempt::new() {
            return;
        }
        let claim = self.claim_event(index, nonce);
        if confirmed {
            self.log.push(claim);
        } else {
            self.lost_appends.push(claim);
        }
        let event = if confirmed {
            AttemptEvent::Appended
        } else {
            AttemptEvent::AppendLost
        };
        let mut attempt = attempt;
        assert_eq!(advance(&mut attempt, event), AttemptAction::ReadBack);
        self.instances[index].attempt = Some((attempt, nonce));
    }

    fn read_back(&mut self, index: usize, readable: bool) {
        let replica = self.replica();
        let instance = &mut self.instances[index];
        let Some((mut attempt, nonce)) = instance.attempt.take() else {
            return;
        };
        if attempt == ClaimAttempt::new() {
            instance.attempt = Some((attempt, nonce));
            return;
        }
        let event = if readable {
            AttemptEvent::ReadBack(claim_status(&replica, &DIGEST, nonce))
        } else {
            AttemptEvent::ReadFailed
        };
        match advance(&mut attempt, event) {
            AttemptAction::Dispatch => {
                self.run_count += 1;
                instance.running = Some(nonce);
            }
            AttemptAction::QueryHolder(holder) => {
                finish_key(&mut instance.keys, &DIGEST, KeyState::NotRun, 1, 10);
                instance.holder_to_query = Some(holder);
            }
            AttemptAction::Abandon => {
                abandon_claim(&mut instance.keys, &DIGEST, nonce);
                finish_key(&mut instance.keys, &DIGEST, KeyState::NotRun, 1, 10);
            }
            AttemptAction::ReadBack => panic!("reading back twice"),
        }
    }

    fn complete_request(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.running.take().is_some() {
            finish_key(&mut instance.keys, &DIGEST, KeyState::Done(()), 1, 10);
        }
    }

    fn prove_not_run(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if let Some(nonce) = instance.running.take() {
            // The server shed the request, so the dispatch was not a run.
            self.run_count -= 1;
            abandon_claim(&mut instance.keys, &DIGEST, nonce);
            finish_key(&mut instance.keys, &DIGEST, KeyState::NotRun, 1, 10);
            self.log.push(ClaimEvent::Release {
                digest: DIGEST,
                nonce,
            });
        }
    }

    /// The holder releases the claim only if it abandoned it.
    fn query_holder(&mut self, index: usize) {
        let Some(holder) = self.instances[index].holder_to_query.take() else {
            return;
        };
        let holder_index: usize = holder.instance.parse().expect("names are numbers");
        let peer = &self.instances[holder_index];
        let same_process = peer.incarnation == holder.incarnation;
        if same_process && is_abandoned(&peer.keys, &DIGEST, holder.nonce) {
            let nonce = holder.nonce;
            self.log.push(ClaimEvent::Release {
                digest: DIGEST,
                nonce,
            });
        }
    }
}

quickcheck! {
    fn apply_transition_runs_at_most_once(transitions: Vec<Transition>) -> bool {
        let mut model = Model::new();
        transitions.into_iter().all(|transition| {
            model.apply_transition(transition);
            model.run_count <= 1
        })
    }

    fn begin_key_refused_after_done(transitions: Vec<Transition>) -> bool {
        let mut model = Model::new();
        transitions.into_iter().all(|transition| {
            let index = transition.instance;
            let was_done = key_state(&model.instances[index].keys, &DIGEST) == Some(&KeyState::Done(()));
            model.apply_transition(transition);
            let restarted = matches!(transition.action, Action::Restart);
            !was_done || restarted || model.instances[index].attempt.is_none()
        })
    }
}

#[test]
fn advance_dispatch_only_after_won() {
    let mut replica = ClaimReplica::new();
    let holder = Holder {
        instance: "a".into(),
        incarnation: 1,
        nonce: 5,
    };
    apply_event(
        &mut replica,
        0,
        0,
        &ClaimEvent::Claim {
            digest: DIGEST,
            holder,
        },
    );
    for append_lost in [false, true] {
        let mut attempt = ClaimAttempt::new();
        let event = if append_lost {
            AttemptEvent::AppendLost
        } else {
            AttemptEvent::Appended
        };
        advance(&mut attempt, event);
        let action = advance(
            &mut attempt,
            AttemptEvent::ReadBack(claim_status(&replica, &DIGEST, 5)),
        );
        assert_eq!(action, AttemptAction::Dispatch);
    }
    let mut attempt = ClaimAttempt::new();
    advance(&mut attempt, AttemptEvent::Appended);
    assert_eq!(
        advance(&mut attempt, AttemptEvent::ReadFailed),
        AttemptAction::Abandon
    );
}

#[test]
fn finish_key_evicts_oldest_response() {
    let mut keys: KeyTable<()> = KeyTable::default();
    let digests: Vec<KeyDigest> = (0..3).map(|number| [number; 16]).collect();
    for digest in &digests {
        assert!(begin_key(&mut keys, *digest, 0));
        finish_key(&mut keys, digest, KeyState::Done(()), 4, 8);
    }
    assert_eq!(
        key_state(&keys, &digests[0]),
        Some(&KeyState::OutcomeUnknown)
    );
    assert_eq!(key_state(&keys, &digests[2]), Some(&KeyState::Done(())));
    assert!(
        !begin_key(&mut keys, digests[0], 1),
        "a key whose response was evicted must not run again"
    );
}
