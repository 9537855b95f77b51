//! Faults that came later than those of [`super::faults`]: each is drawn by a generator of its own, so that seeds that
//! failed before play the older ones as they did.

use fastrand::Rng;

use rockwick::core::sched::rows::{shard_part, SHARDS};
use standin::fleet::{HallCut, OrderFault, StoreFault};

use super::POOL;

/// With one in so many of the older faults, each of these comes, too: once or twice in a day of 20 s.
const ONE_IN: u32 = 20;

/// One that comes beside the older faults.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Rare {
    /// All entries are killed and started at once, while the store turns most calls away.
    Dawn(StoreFault),
    /// The owner is killed and started at once, while its orders are late.
    Bounce(OrderFault),
    /// A worker hears and is not heard, and holds reach all workers late.
    HalfCut(OrderFault),
    /// Writes of the store are done and not answered, seconds later.
    Belated,
    /// The owner stands still while the answer to its renewal is on its way.
    FrozenRenewal,
    /// A worker crashes, and its host has another life at once, while the former one stays in the list for so long.
    Reborn(u64),
    /// Orders do not pass between the halls.
    Halls(HallCut),
    /// The same, and the owner's hall does not reach the store.
    OwnerAlone,
    /// Some of the pool's partitions refuse all calls.
    Parts(usize),
    /// The owner is told to stop.
    Handover,
    /// The store is away, and all workers lapse from its list meanwhile; they are back so long after it is.
    Lapse(u64),
    /// A worker leaves the list without a word, serves on for a while and is gone.
    Withdrawn,
    /// So many workers crash at once, and start again under their ids so much later.
    Restarts(usize, u64),
    /// Lives that end, by a crash or an upkeep, come again under their ids.
    KeptIds,
}

/// How many kinds there are.
const KINDS: usize = 14;

/// The generators.
pub(crate) struct Rares {
    rngs: Vec<Rng>,
}

impl Rares {
    /// One generator for each kind.
    pub(crate) fn new(seed: u64) -> Self {
        let of =
            |kind: usize| Rng::with_seed((seed ^ 0x5EED_FA17).rotate_left(5 * kind as u32 + 3));
        Self {
            rngs: (0..KINDS).map(of).collect(),
        }
    }

    /// What comes now, and for how long.
    pub(crate) fn draw(&mut self) -> Vec<(Rare, u64)> {
        let mut all = Vec::new();
        for (kind, rng) in self.rngs.iter_mut().enumerate() {
            if rng.u32(..ONE_IN) == 0 {
                let rare = of_kind(kind, rng);
                all.push((rare, rng.u64(1_000..8_000)));
            }
        }
        all
    }
}

fn of_kind(kind: usize, rng: &mut Rng) -> Rare {
    match kind {
        0 => Rare::Dawn(StoreFault::Choosy(rng.u32(60..95))),
        1 => Rare::Bounce(OrderFault {
            very_late: rng.u32(20..60),
            ..OrderFault::default()
        }),
        2 => Rare::HalfCut(OrderFault {
            late_holds: rng.u32(20..80),
            ..OrderFault::default()
        }),
        3 => Rare::Belated,
        4 => Rare::FrozenRenewal,
        5 => Rare::Reborn(rng.u64(..5_000)),
        6 if rng.bool() => Rare::Halls(HallCut::BothWays),
        6 => Rare::Halls(HallCut::Answers),
        7 => Rare::OwnerAlone,
        8 => Rare::Parts(rng.usize(1..SHARDS)),
        9 => Rare::Handover,
        10 => Rare::Lapse(rng.u64(..2_000)),
        11 => Rare::Withdrawn,
        12 => Rare::Restarts(rng.usize(1..5), rng.u64(20..3_000)),
        _ => Rare::KeptIds,
    }
}

/// The partitions of the pool's shards, from one on.
pub(crate) fn parts_from(first: usize) -> Vec<String> {
    (first..SHARDS).map(|n| shard_part(POOL, n)).collect()
}
