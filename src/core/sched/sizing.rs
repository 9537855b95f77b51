//! How many hosts a pool wants, and which it can spare: told with its owner's heartbeat.
//!
//! A spare host carries nothing and gets nothing. Once told, it stays closed until the word that it is
//! wanted again is old enough that nobody moves it on the earlier word.

use std::collections::{BTreeMap, VecDeque};

use super::book::Book;
use super::keys::WorkerKey;
use super::state::{Ctx, Timer};
use super::worker::Worker;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::Capacity;

/// How often a pool's size is looked at.
pub const LOOK_MS: Millis = 100;

/// Hosts are kept so long after they were last needed. A move costs as much as a host for 1.1 s on the
/// users' sites, and a host that was sent away comes back with another move.
const KEEP_MS: Millis = 1_500;

/// The same while another pool lacks hosts: a few looks, against the noise of single jobs.
const KEEP_PRESSED_MS: Millis = 150;

/// Share of its first hosts that a pool keeps without work, in percent: its next peak finds them, others
/// come 2.5 s later. Measured: see docs/MEASURES.md.
const FLOOR_PERCENT: u64 = 100;

/// The same while another pool lacks hosts.
const FLOOR_PRESSED_PERCENT: u64 = 0;

/// All workers are listed so long after the first start.
const SETTLE_MS: Millis = 4_000;

/// A host that is wanted again serves after so long: heartbeats older than that move nothing.
pub const WITHDRAW_MS: Millis = 2_000;

/// Hosts that a pool keeps at the least.
const HOSTS_MIN: u64 = 3;

/// Hosts beyond what is needed now, in percent: the next jobs find room while others come.
const ROOM_PERCENT: u64 = 125;

/// What a pool's owner thinks of its size.
#[derive(Clone, Debug, Default)]
pub struct Sizing {
    /// Hosts that it wants.
    pub wanted: u64,
    /// Hosts that it can spare.
    pub spare: Vec<String>,
    /// What was needed of late.
    needs: VecDeque<(Millis, Need)>,
    /// Hosts that are wanted again, since then.
    withdrawn: BTreeMap<String, Millis>,
    /// What was last told.
    told: (u64, u64, Vec<String>),
    /// Hosts that its work needs now.
    pub needed: u64,
    /// Hosts that take its work now.
    pub serving: u64,
    /// Hosts that it had when it was first owned; 0 while that is not known.
    pub warm: u64,
    /// When the pool was first looked at.
    first_ms: Option<Millis>,
}

/// Hosts that a pool could use.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    /// For work that lasts and for what can still be in time.
    in_time: u64,
    /// For all work.
    all: u64,
}

/// What a look is made with.
#[derive(Clone, Copy, Debug)]
pub struct Look {
    /// There is a pool whose hosts are off.
    pub can_park: bool,
    /// Another pool lacks hosts for the work that it has.
    pub pressed: bool,
}

/// Looks at the pool's size; says whether that should be told at once.
pub fn look(book: &mut Book, sizing: &mut Sizing, with: &Look, ctx: &mut Ctx<'_>) -> bool {
    ctx.after(LOOK_MS, Timer::Size);
    let now_ms = ctx.now.ms;
    let keep_ms = if with.pressed {
        KEEP_PRESSED_MS
    } else {
        KEEP_MS
    };
    sizing.needs.push_back((now_ms, need(book, now_ms)));
    sizing.needs.retain(|(at_ms, _)| now_ms < at_ms + keep_ms);
    let most = |hosts: fn(&Need) -> u64| sizing.needs.iter().map(|(_, n)| hosts(n)).max();
    let needed = most(|n| n.in_time).unwrap_or(HOSTS_MIN);
    let for_all = most(|n| n.all).unwrap_or(HOSTS_MIN);
    sizing.needed = needed;
    if sizing.warm == 0 {
        // At the first start all workers are listed within some seconds.
        let is_settled = now_ms >= *sizing.first_ms.get_or_insert(now_ms) + SETTLE_MS;
        let listed = book.workers.values().filter(|w| w.is_listed).count() as u64;
        sizing.warm = if is_settled { listed } else { 0 };
        sizing.wanted = sizing.needed;
        return false;
    }
    let floor_percent = if with.pressed {
        FLOOR_PRESSED_PERCENT
    } else {
        FLOOR_PERCENT
    };
    // Work that is late already waits while another pool lacks hosts for work that can be in time.
    let for_work = if with.pressed { needed } else { for_all };
    sizing.wanted = for_work.max((sizing.warm * floor_percent).div_ceil(100));
    reopen(book, sizing, now_ms);
    if with.can_park {
        choose_spare(book, sizing, now_ms);
    }
    sizing.serving = book.workers.values().filter(|w| w.is_open(now_ms)).count() as u64;
    let now_told = (sizing.wanted, sizing.needed, sizing.spare.clone());
    if sizing.told == now_told {
        return false;
    }
    ctx.tell(
        Decision::new(Code::PoolSized, Subject::Pool, &book.name, "need changed")
            .with("wanted", sizing.wanted)
            .with("needed", sizing.needed)
            .with("serving", sizing.serving)
            .with("spare", sizing.spare.len() as u64),
    );
    sizing.told = now_told;
    true
}

/// Hosts needed for what runs and waits, for what is on its way by the rate of late, and for tasks that must
/// stand apart.
fn need(book: &Book, now_ms: Millis) -> Need {
    let listed = book.workers.values().filter(|w| w.is_listed);
    let mut host = Capacity::default();
    for worker in listed.clone() {
        host.add(worker.fact.capacity);
    }
    let count = (listed.count() as u64).max(1);
    let (host_cpu, host_mem) = (host.cpu_milli / count, host.mem_mb / count);
    let hosts = |sum: Capacity| {
        let with_room = |sum: u64, host: u64| (sum * ROOM_PERCENT / 100).div_ceil(host.max(1));
        with_room(sum.cpu_milli, host_cpu).max(with_room(sum.mem_mb, host_mem))
    };
    let mut lasting = Capacity::default();
    let mut in_time = Capacity::default();
    let mut late = Capacity::default();
    for job in book.jobs.values().filter(|job| !job.state.is_final()) {
        let sum = match job.class(now_ms) {
            _ if job.spec.is_lasting() => &mut lasting,
            1 => &mut in_time,
            _ => &mut late,
        };
        sum.add(job.open_demand());
    }
    in_time.cpu_milli = in_time.cpu_milli.max(book.arriving_cpu_milli(now_ms));
    let least = (apart(book) + 1).max(HOSTS_MIN);
    in_time.add(lasting);
    late.add(in_time);
    Need {
        in_time: hosts(in_time).max(least),
        all: hosts(late).max(least),
    }
}

/// The widest lasting step, by hosts that its tasks must stand on.
fn apart(book: &Book) -> u64 {
    let live = book.jobs.values().filter(|job| !job.state.is_final());
    let steps = live.flat_map(|job| job.spec.steps.iter().filter(|s| s.lasting));
    let hosts = steps.map(|s| u64::from(s.count) / u64::from(s.per_worker_max.max(1)));
    hosts.max().unwrap_or(0)
}

/// Hosts that were wanted again long enough ago serve.
fn reopen(book: &mut Book, sizing: &mut Sizing, now_ms: Millis) {
    let over = |since: &Millis| now_ms >= since + WITHDRAW_MS;
    let ready: Vec<String> = sizing
        .withdrawn
        .iter()
        .filter(|(_, since)| over(since))
        .map(|(host, _)| host.clone())
        .collect();
    for host in ready {
        sizing.withdrawn.remove(&host);
        if let Some(key) = book.worker_on(&host) {
            book.workers[key].is_spare = false;
            book.wants_placing = true;
        }
    }
}

/// Closes as many hosts as are not wanted, those with the least work first, and tells them as spare once
/// they are empty; opens them again where they are wanted.
fn choose_spare(book: &mut Book, sizing: &mut Sizing, now_ms: Millis) {
    // Whoever moved away is in the books no more, or is back as another life.
    let is_spare = |host: &String| {
        book.worker_on(host)
            .is_some_and(|k| book.workers[k].is_spare)
    };
    sizing.spare.retain(is_spare);
    let serving = book.workers.values().filter(|w| w.is_open(now_ms)).count() as u64;
    if serving < sizing.wanted {
        open_some(book, sizing, (sizing.wanted - serving) as usize, now_ms);
    } else {
        close_some(book, (serving - sizing.wanted) as usize, now_ms);
    }
    for worker in book.workers.values() {
        let host = &worker.fact.host;
        let is_told = sizing.spare.contains(host) || sizing.withdrawn.contains_key(host);
        if worker.is_spare && worker.is_listed && worker.tasks.is_empty() && !is_told {
            sizing.spare.push(host.clone());
        }
    }
}

fn open_some(book: &mut Book, sizing: &mut Sizing, count: usize, now_ms: Millis) {
    let mut left = count;
    // Hosts that were closed and never told can serve at once.
    for worker in book.workers.values_mut() {
        let host = &worker.fact.host;
        let is_told = sizing.spare.contains(host) || sizing.withdrawn.contains_key(host);
        if left > 0 && worker.is_spare && !is_told {
            worker.is_spare = false;
            book.wants_placing = true;
            left -= 1;
        }
    }
    for _ in 0..left {
        let Some(host) = sizing.spare.pop() else {
            break;
        };
        sizing.withdrawn.insert(host, now_ms);
    }
}

fn close_some(book: &mut Book, count: usize, now_ms: Millis) {
    let mut idle: Vec<(u64, WorkerKey)> = book
        .workers
        .iter()
        .filter(|(_, w)| w.is_open(now_ms) && !carries_lasting(book, w))
        .map(|(key, w)| (w.used.cpu_milli, key))
        .collect();
    idle.sort_unstable();
    for (_, key) in idle.into_iter().take(count) {
        book.workers[key].is_spare = true;
    }
}

fn carries_lasting(book: &Book, worker: &Worker) -> bool {
    let mut tasks = worker.tasks.iter();
    tasks.any(|key| book.step_spec(*key).is_some_and(|s| s.lasting))
}
