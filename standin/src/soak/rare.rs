//! Rare faults, injected beside those of [`super::faults`], which calls this module. Each kind has its own random
//! generator, so that a new kind does not change what saved seeds draw.

use fastrand::Rng;

use rockwick::core::sched::rows::{shard_part, SHARDS};
use standin::fleet::{HallCut, OrderFault, StoreFault};

use super::POOL;

/// Each kind comes with one in this many of the other faults: once or twice in a run of 20 s.
const ONE_IN: u32 = 20;

/// Names a rare fault; the values are its parameters.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RareFault {
    /// Kills and restarts all entries at once, while the store refuses most calls.
    Dawn(StoreFault),
    /// Kills the owner and restarts it at once, while its orders are delayed.
    Bounce(OrderFault),
    /// Blocks the answers of one worker, and delays lease renewals to all workers.
    HalfCut(OrderFault),
    /// Makes the store apply some writes seconds late, without an answer.
    Belated,
    /// Suspends the owner while the answer to its renewal is on its way.
    FrozenRenewal,
    /// Crashes a worker; its host starts another instance at once, and the former one stays listed for this number of
    /// milliseconds.
    Reborn(u64),
    /// Cuts orders, or their answers, between the halls.
    Halls(HallCut),
    /// Cuts orders between the halls, and the owner's hall from the store.
    OwnerAlone,
    /// Makes the pool's partitions from this shard on refuse all calls.
    Parts(usize),
    /// Sends SIGTERM to the owner.
    Handover,
    /// Makes the store refuse all calls while all workers leave its list; they return this number of milliseconds
    /// after the store does.
    Lapse(u64),
    /// Takes a worker off the list while it still serves, and crashes it later.
    Withdrawn,
    /// Crashes this number of workers at once; they restart under their ids after this number of milliseconds.
    Restarts(usize, u64),
    /// Makes workers that end, by a crash or by maintenance, restart under their ids.
    KeptIds,
    /// Makes a worker announce its end; it serves on for this number of milliseconds.
    Drain(u64),
}

/// Number of kinds; halls cut one way and both ways count as one.
const KINDS: usize = 15;

/// The kind of drains, which has a frequency of its own.
const DRAIN_KIND: usize = 14;

/// Holds the random generators.
pub(crate) struct RareFaults {
    rngs: Vec<Rng>,
    /// A drain comes with one in this many of the other faults.
    drain_one_in: u32,
}

impl RareFaults {
    /// Creates one generator for each kind.
    pub(crate) fn new(seed: u64, drain_one_in: u32) -> Self {
        let of =
            |kind: usize| Rng::with_seed((seed ^ 0x5EED_FA17).rotate_left(5 * kind as u32 + 3));
        Self {
            rngs: (0..KINDS).map(of).collect(),
            drain_one_in,
        }
    }

    /// Draws the rare faults to inject now, each with its duration in milliseconds.
    pub(crate) fn draw(&mut self) -> Vec<(RareFault, u64)> {
        let mut all = Vec::new();
        for (kind, rng) in self.rngs.iter_mut().enumerate() {
            let one_in = match kind {
                DRAIN_KIND => self.drain_one_in,
                _ => ONE_IN,
            };
            if rng.u32(..one_in.max(1)) == 0 {
                let rare_fault = draw_kind(kind, rng);
                all.push((rare_fault, rng.u64(1_000..8_000)));
            }
        }
        all
    }
}

fn draw_kind(kind: usize, rng: &mut Rng) -> RareFault {
    match kind {
        0 => RareFault::Dawn(StoreFault::Choosy(rng.u32(60..95))),
        1 => RareFault::Bounce(OrderFault {
            very_late: rng.u32(20..60),
            ..OrderFault::default()
        }),
        2 => RareFault::HalfCut(OrderFault {
            late_holds: rng.u32(20..80),
            ..OrderFault::default()
        }),
        3 => RareFault::Belated,
        4 => RareFault::FrozenRenewal,
        5 => RareFault::Reborn(rng.u64(..5_000)),
        6 if rng.bool() => RareFault::Halls(HallCut::BothWays),
        6 => RareFault::Halls(HallCut::Answers),
        7 => RareFault::OwnerAlone,
        8 => RareFault::Parts(rng.usize(1..SHARDS)),
        9 => RareFault::Handover,
        10 => RareFault::Lapse(rng.u64(..2_000)),
        11 => RareFault::Withdrawn,
        12 => RareFault::Restarts(rng.usize(1..5), rng.u64(20..3_000)),
        13 => RareFault::KeptIds,
        _ => RareFault::Drain(rng.u64(3_000..14_000)),
    }
}

/// Returns the partitions of the pool's shards from number `first` on.
pub(crate) fn partitions_from(first: usize) -> Vec<String> {
    (first..SHARDS).map(|n| shard_part(POOL, n)).collect()
}
