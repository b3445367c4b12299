//! Walks random interleavings of claims, losses, crashes, pauses and repeats against the claim state machine.
//!
//! The model has a log, a few instances and one key. Whatever happens, the key's request must run at most once,
//! and an instance that says `not run` must be right.

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

/// One step of the model at one instance.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// A caller sends the request.
    Ask,
    /// The pending append takes effect and is confirmed.
    Append,
    /// The pending append's answer is lost; whether it takes effect is decided later.
    Lose,
    /// A lost append takes effect late.
    Arrive,
    /// The instance reads the log back.
    Read,
    /// The log can't be read.
    Unreadable,
    /// The running request ends.
    Finish,
    /// The running request is proved not run and its claim released.
    ProveNotRun,
    /// The instance asks the holder that it was told about.
    AskHolder,
    /// The process is replaced.
    Crash,
}

#[derive(Clone, Copy, Debug)]
struct Turn {
    instance: usize,
    what: Move,
}

impl Arbitrary for Turn {
    fn arbitrary(g: &mut Gen) -> Self {
        let moves = [
            Move::Ask,
            Move::Ask,
            Move::Append,
            Move::Append,
            Move::Lose,
            Move::Arrive,
            Move::Read,
            Move::Read,
            Move::Unreadable,
            Move::Finish,
            Move::ProveNotRun,
            Move::AskHolder,
            Move::Crash,
        ];
        Self {
            instance: usize::arbitrary(g) % INSTANCES,
            what: *g.choose(&moves).expect("there are moves"),
        }
    }
}

#[derive(Debug, Default)]
struct Instance {
    incarnation: u64,
    answers: KeyTable<()>,
    attempt: Option<(ClaimAttempt, u64)>,
    running: Option<u64>,
    told: Option<Holder>,
}

#[derive(Debug, Default)]
struct Model {
    log: Vec<ClaimEvent>,
    lost: Vec<ClaimEvent>,
    instances: Vec<Instance>,
    next_nonce: u64,
    runs: u32,
}

impl Model {
    fn new() -> Self {
        Self {
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            ..Self::default()
        }
    }

    fn table(&self) -> ClaimReplica {
        let mut table = ClaimReplica::new();
        for (offset, entry) in self.log.iter().enumerate() {
            apply_event(&mut table, offset as u64, 0, entry);
        }
        table
    }

    fn claim_of(&self, index: usize, nonce: u64) -> ClaimEvent {
        ClaimEvent::Claim {
            digest: DIGEST,
            holder: Holder {
                instance: index.to_string(),
                incarnation: self.instances[index].incarnation,
                nonce,
            },
        }
    }

    fn step(&mut self, turn: Turn) {
        let index = turn.instance;
        match turn.what {
            Move::Ask => self.ask(index),
            Move::Append => self.append(index, true),
            Move::Lose => self.append(index, false),
            Move::Arrive => self.log.extend(self.lost.pop()),
            Move::Read => self.read(index, true),
            Move::Unreadable => self.read(index, false),
            Move::Finish => self.finish(index),
            Move::ProveNotRun => self.prove_not_run(index),
            Move::AskHolder => self.ask_holder(index),
            Move::Crash => {
                let incarnation = self.instances[index].incarnation + 1;
                self.instances[index] = Instance {
                    incarnation,
                    ..Instance::default()
                };
            }
        }
    }

    fn ask(&mut self, index: usize) {
        self.next_nonce += 1;
        let nonce = self.next_nonce;
        let instance = &mut self.instances[index];
        if begin_key(&mut instance.answers, DIGEST, 0) {
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
        let entry = self.claim_of(index, nonce);
        if confirmed {
            self.log.push(entry);
        } else {
            self.lost.push(entry);
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

    fn read(&mut self, index: usize, readable: bool) {
        let table = self.table();
        let instance = &mut self.instances[index];
        let Some((mut attempt, nonce)) = instance.attempt.take() else {
            return;
        };
        if attempt == ClaimAttempt::new() {
            instance.attempt = Some((attempt, nonce));
            return;
        }
        let event = if readable {
            AttemptEvent::ReadBack(claim_status(&table, &DIGEST, nonce))
        } else {
            AttemptEvent::ReadFailed
        };
        match advance(&mut attempt, event) {
            AttemptAction::Dispatch => {
                self.runs += 1;
                instance.running = Some(nonce);
            }
            AttemptAction::QueryHolder(holder) => {
                finish_key(&mut instance.answers, &DIGEST, KeyState::NotRun, 1, 10);
                instance.told = Some(holder);
            }
            AttemptAction::Abandon => {
                abandon_claim(&mut instance.answers, &DIGEST, nonce);
                finish_key(&mut instance.answers, &DIGEST, KeyState::NotRun, 1, 10);
            }
            AttemptAction::ReadBack => panic!("reading back twice"),
        }
    }

    fn finish(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.running.take().is_some() {
            finish_key(&mut instance.answers, &DIGEST, KeyState::Done(()), 1, 10);
        }
    }

    fn prove_not_run(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if let Some(nonce) = instance.running.take() {
            // The server shed it, so it did not run after all.
            self.runs -= 1;
            abandon_claim(&mut instance.answers, &DIGEST, nonce);
            finish_key(&mut instance.answers, &DIGEST, KeyState::NotRun, 1, 10);
            self.log.push(ClaimEvent::Release {
                digest: DIGEST,
                nonce,
            });
        }
    }

    /// The holder releases the asked claim only if it gave that claim up.
    fn ask_holder(&mut self, index: usize) {
        let Some(holder) = self.instances[index].told.take() else {
            return;
        };
        let at: usize = holder.instance.parse().expect("names are numbers");
        let peer = &self.instances[at];
        let same = peer.incarnation == holder.incarnation;
        if same && is_abandoned(&peer.answers, &DIGEST, holder.nonce) {
            let nonce = holder.nonce;
            self.log.push(ClaimEvent::Release {
                digest: DIGEST,
                nonce,
            });
        }
    }
}

quickcheck! {
    fn runs_at_most_once(turns: Vec<Turn>) -> bool {
        let mut model = Model::new();
        turns.into_iter().all(|turn| {
            model.step(turn);
            model.runs <= 1
        })
    }

    fn done_is_never_begun_again(turns: Vec<Turn>) -> bool {
        let mut model = Model::new();
        turns.into_iter().all(|turn| {
            let index = turn.instance;
            let was_done = key_state(&model.instances[index].answers, &DIGEST) == Some(&KeyState::Done(()));
            model.step(turn);
            let crashed = matches!(turn.what, Move::Crash);
            !was_done || crashed || model.instances[index].attempt.is_none()
        })
    }
}

#[test]
fn advance_dispatch_only_after_won() {
    let mut table = ClaimReplica::new();
    let holder = Holder {
        instance: "a".into(),
        incarnation: 1,
        nonce: 5,
    };
    apply_event(
        &mut table,
        0,
        0,
        &ClaimEvent::Claim {
            digest: DIGEST,
            holder,
        },
    );
    for lost in [false, true] {
        let mut attempt = ClaimAttempt::new();
        let event = if lost {
            AttemptEvent::AppendLost
        } else {
            AttemptEvent::Appended
        };
        advance(&mut attempt, event);
        let step = advance(
            &mut attempt,
            AttemptEvent::ReadBack(claim_status(&table, &DIGEST, 5)),
        );
        assert_eq!(step, AttemptAction::Dispatch);
    }
    let mut attempt = ClaimAttempt::new();
    advance(&mut attempt, AttemptEvent::Appended);
    assert_eq!(
        advance(&mut attempt, AttemptEvent::ReadFailed),
        AttemptAction::Abandon
    );
}

#[test]
fn finish_over_the_bound_drops_oldest() {
    let mut answers: KeyTable<()> = KeyTable::default();
    let digests: Vec<KeyDigest> = (0..3).map(|number| [number; 16]).collect();
    for digest in &digests {
        assert!(begin_key(&mut answers, *digest, 0));
        finish_key(&mut answers, digest, KeyState::Done(()), 4, 8);
    }
    assert_eq!(
        key_state(&answers, &digests[0]),
        Some(&KeyState::OutcomeUnknown)
    );
    assert_eq!(key_state(&answers, &digests[2]), Some(&KeyState::Done(())));
    assert!(
        !begin_key(&mut answers, digests[0], 1),
        "a dropped answer must not let the key run again"
    );
}
