//! Random faults of a fleet, for tests in simulated time.

use {
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{env, ops::Range},
};

/// Environment variable that replaces the seed of the random runs.
const SEED_VARIABLE: &str = "CATKINHITCH_TEST_SEED";
/// Environment variable that replaces the number of random runs.
const COUNT_VARIABLE: &str = "CATKINHITCH_TEST_COUNT";
const DEFAULT_SEED: u64 = 18;

/// A fault of some instances for some time.
#[derive(Clone, Debug)]
pub struct Fault<Kind> {
    /// What goes wrong.
    pub kind: Kind,
    /// Begin, in milliseconds.
    pub at_ms: u64,
    /// Duration, in milliseconds.
    pub for_ms: u64,
    /// Instances that it affects.
    pub instances: Vec<usize>,
}

impl<Kind> Fault<Kind> {
    /// Returns the end, in milliseconds.
    pub fn end_ms(&self) -> u64 {
        self.at_ms + self.for_ms
    }

    /// Returns whether the fault affects the instance at `now_ms`.
    pub fn is_active(&self, instance: usize, now_ms: u64) -> bool {
        (self.at_ms..self.end_ms()).contains(&now_ms) && self.instances.contains(&instance)
    }

    /// Returns whether the fault affects the instance at `now_ms` or did in the `stable_ms` before.
    pub fn is_recent(&self, instance: usize, now_ms: u64, stable_ms: u64) -> bool {
        (self.at_ms..=self.end_ms() + stable_ms).contains(&now_ms)
            && self.instances.contains(&instance)
    }
}

/// Ranges of random faults.
#[derive(Clone, Debug)]
pub struct FaultTerms {
    /// Begin, in milliseconds; at most 65 s long.
    pub begin_ms: Range<u64>,
    /// Duration, in milliseconds; at most 65 s long.
    pub duration_ms: Range<u64>,
    /// Number of instances.
    pub instances: usize,
    /// Most instances that a fault affects.
    pub affected_max: usize,
    /// Step from one affected instance to the next; coprime to the number of instances.
    pub stride: usize,
}

/// A random fault, which shrinks towards few instances and a short time.
#[derive(Clone, Debug)]
pub struct RandomFault {
    kind: u8,
    at: u16,
    duration: u16,
    first: u8,
    affected: u8,
}

impl Arbitrary for RandomFault {
    fn arbitrary(gen: &mut Gen) -> Self {
        Self {
            kind: u8::arbitrary(gen),
            at: u16::arbitrary(gen),
            duration: u16::arbitrary(gen),
            first: u8::arbitrary(gen),
            affected: u8::arbitrary(gen),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let (fault, other) = (self.clone(), self.clone());
        let shorter = self.duration.shrink().map(move |duration| Self {
            duration,
            ..fault.clone()
        });
        let fewer = self.affected.shrink().map(move |affected| Self {
            affected,
            ..other.clone()
        });
        Box::new(shorter.chain(fewer))
    }
}

impl RandomFault {
    /// Returns the fault's kind out of `kinds`, which must not be empty.
    pub fn kind<Kind>(&self, kinds: &[Kind]) -> Kind
    where
        Kind: Copy,
    {
        kinds[usize::from(self.kind) % kinds.len()]
    }

    /// Returns the fault within these ranges.
    pub fn to_fault<Kind>(&self, kind: Kind, terms: &FaultTerms) -> Fault<Kind> {
        let affected = usize::from(self.affected) % (terms.affected_max + 1);
        let instance = |step| (usize::from(self.first) + step * terms.stride) % terms.instances;
        Fault {
            kind,
            at_ms: value_in(&terms.begin_ms, self.at),
            for_ms: value_in(&terms.duration_ms, self.duration),
            instances: (0..affected).map(instance).collect(),
        }
    }
}

fn value_in(range: &Range<u64>, random: u16) -> u64 {
    range.start + u64::from(random) % (range.end - range.start)
}

/// Returns a runner of random cases of size `size`, `count` of them. The environment variables `CATKINHITCH_TEST_SEED` and
/// `CATKINHITCH_TEST_COUNT` replace seed and number.
pub fn seeded_runner(size: usize, count: u64) -> QuickCheck {
    QuickCheck::new()
        .tests(variable(COUNT_VARIABLE, count))
        .rng(Gen::from_size_and_seed(
            size,
            variable(SEED_VARIABLE, DEFAULT_SEED),
        ))
}

fn variable(name: &str, default: u64) -> u64 {
    let set = env::var(name).ok().and_then(|text| text.parse().ok());
    set.unwrap_or(default)
}
