//! Decides whether a task waits for room in the rack of its data, and in which racks a pool's hosts should be.
//!
//! The load that this handles: many tasks name a rack, and elsewhere they take several times as long. If each of them
//! runs elsewhere as soon as its rack is full, the longer runs fill the pool and make others late, too; if each waits,
//! a rack that most tasks name makes them late beside idle hosts. So a task compares when it would end in either place
//! (delay scheduling). [`super::place`] asks for each task that finds room only elsewhere; [`super::sizing`] notes the
//! demand by rack and closes and opens hosts by it; [`super::moves`] picks hosts of the racks that a pool lacks.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::deployment::Deployment;
use super::job::StepSpec;
use super::keys::{StepKey, TaskKey, WorkerKey};
use super::pool_state::PoolState;
use super::state::Ctx;
use super::tasks::Phase;
use super::worker::Worker;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};

/// How long the view of a rack is used. Placement runs hundreds of times a second in a busy pool.
const VIEW_KEPT_MS: Millis = 50;

/// Longest wait for a rack. The platform expects a job to run within 3 s where there is room.
const WAIT_MAX_MS: Millis = 2_000;

/// How long the highest demand for a rack counts, as for the pool's size.
const DEMAND_WINDOW_MS: Millis = 300;

/// How long a rack that was named is wanted with one host at least.
const NAMED_KEPT_MS: Millis = 10_000;

/// Most racks that are tracked and, of these, published as lacking hosts.
const RACKS_MAX: usize = 64;
const LACKING_MAX: usize = 8;

/// Wanted hosts of a rack as a percentage of its demand, as for the pool's size.
const HEADROOM_PERCENT: u64 = 125;

/// A rack is sought while its demand takes more than this percentage of its open hosts.
const SOUGHT_PERCENT: u64 = 50;

/// Hosts that a pool may need in addition for the sake of racks: one in this many, and [`MORE_HOSTS_MIN`].
const HOSTS_PER_MORE: u64 = 4;
const MORE_HOSTS_MIN: u64 = 2;

/// A run that has taken longer than expected is expected to take this much of its time so far in addition.
const OVERDUE_DIVISOR: u64 = 4;

/// What a pool's owner knows about the racks that its tasks name. Empty in a pool whose jobs name none.
#[derive(Clone, Debug, Default)]
pub struct DataRacks {
    demands: BTreeMap<String, Demand>,
    sought: BTreeSet<String>,
    views: HashMap<String, RackView>,
    /// Tasks that wait although a worker elsewhere had room, and since when.
    waiting_since_ms: HashMap<TaskKey, Millis>,
}

/// Demand for one rack.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    named_ms: Millis,
    /// Highest number of hosts recently, and when that was.
    hosts: u64,
    peak_ms: Millis,
}

/// When a rack's runs are expected to end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RackView {
    at_ms: Millis,
    /// Expected ends in order, and the processors released by then, in thousandths of a core.
    releases: Vec<(Millis, u64)>,
    /// Processors wanted by tasks that wait for the rack and come first.
    ahead_cpu_milli: u64,
}

impl RackView {
    /// Creates the view of a rack whose runs end and release processors as in `ends`.
    pub fn new(at_ms: Millis, mut ends: Vec<(Millis, u64)>) -> Self {
        ends.sort_unstable();
        let mut sum = 0;
        for (_, cpu_milli) in &mut ends {
            sum += *cpu_milli;
            *cpu_milli = sum;
        }
        Self {
            at_ms,
            releases: ends,
            ahead_cpu_milli: 0,
        }
    }

    /// Returns when a task that needs `cpu_milli` is expected to start. Once all present runs are over, the tasks ahead
    /// are taken to run in turns of `run_ms`.
    pub fn expected_start_ms(&self, cpu_milli: u64, run_ms: Millis, now_ms: Millis) -> Millis {
        let Some((_, whole)) = self.releases.last().filter(|(_, cpu)| *cpu > 0) else {
            return now_ms + run_ms;
        };
        let wanted = (self.ahead_cpu_milli + cpu_milli).max(1);
        let turns = (wanted - 1) / whole;
        let rest = wanted - turns * whole;
        let at = self.releases.partition_point(|(_, cpu)| *cpu < rest);
        self.releases[at].0.max(now_ms) + turns * run_ms
    }

    /// Adds a task that waits for the rack.
    pub fn add_waiting(&mut self, cpu_milli: u64) {
        self.ahead_cpu_milli += cpu_milli;
    }
}

/// When a task is expected to end near its data and elsewhere, and when it must end for its job to be in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ends {
    /// Expected end in the rack of its data.
    pub near_ms: Millis,
    /// Expected end elsewhere.
    pub elsewhere_ms: Millis,
    /// Latest end for the job to be in time.
    pub latest_ms: Millis,
}

impl Ends {
    /// Returns whether the task should wait for its rack. If it is late in either place, it waits: the longer run
    /// elsewhere would only take capacity from others.
    pub fn is_near_better(&self) -> bool {
        let is_near_in_time = self.near_ms <= self.latest_ms;
        let is_elsewhere_in_time = self.elsewhere_ms <= self.latest_ms;
        match (is_near_in_time, is_elsewhere_in_time) {
            (true, true) => self.near_ms <= self.elsewhere_ms,
            (false, true) => false,
            (_, false) => true,
        }
    }
}

/// Returns when a run is expected to end that began at `begun_ms` and was expected to take `expected_ms`.
pub fn expected_end_ms(begun_ms: Millis, expected_ms: Millis, now_ms: Millis) -> Millis {
    let elapsed_ms = now_ms.saturating_sub(begun_ms);
    let left_ms = expected_ms.saturating_sub(elapsed_ms);
    now_ms + left_ms.max(elapsed_ms / OVERDUE_DIVISOR)
}

impl DataRacks {
    /// Begins a pass of placement, in which the tasks that wait are counted anew.
    pub fn begin_pass(&mut self) {
        for view in self.views.values_mut() {
            view.ahead_cpu_milli = 0;
        }
    }

    /// Returns whether tasks that don't need the rack should leave its room to those that do.
    pub fn is_sought(&self, rack: &str) -> bool {
        self.sought.contains(rack)
    }

    /// Returns whether any rack is sought.
    pub fn has_sought(&self) -> bool {
        !self.sought.is_empty()
    }

    /// Returns whether a task waits for room in the rack of its data although there is room elsewhere.
    pub(super) fn is_awaiting(&self, task: TaskKey) -> bool {
        self.waiting_since_ms.contains_key(&task)
    }

    fn wanted_hosts(&self, rack: &str) -> u64 {
        self.demands.get(rack).map_or(0, |demand| demand.hosts)
    }

    fn is_idle(&self) -> bool {
        self.demands.is_empty() && self.waiting_since_ms.is_empty()
    }
}

/// Returns whether a task waits for room in the rack of its data rather than run on `worker`, which has room now.
pub(super) fn should_wait(
    pool_state: &mut PoolState,
    key: TaskKey,
    worker: WorkerKey,
    ctx: &mut Ctx<'_>,
) -> bool {
    let (Some(spec), Some(task)) = (pool_state.step_spec(key), pool_state.task(key)) else {
        return false;
    };
    let Some(rack) = spec.data_rack.clone() else {
        return false;
    };
    let here = pool_state.workers[worker].rack();
    let is_slower_here = ctx.deployment.remote_data_factor_milli > 1_000 && here != rack;
    if !is_slower_here || spec.lasting || task.is_crash_suspect() {
        pool_state.data_racks.waiting_since_ms.remove(&key);
        return false;
    }
    let (demand, now_ms) = (spec.demand(), ctx.now.ms);
    let run_ms = pool_state.jobs[key.job].step_ms[usize::from(key.step)];
    let elsewhere_ms = ctx.deployment.task_ms(run_ms, Some(&rack), here);
    let is_stale = |view: &RackView| now_ms >= view.at_ms + VIEW_KEPT_MS;
    let views = &pool_state.data_racks.views;
    if views.get(&rack).is_none_or(is_stale) {
        refresh_view(pool_state, &rack, &ctx.deployment, now_ms);
    }
    let has_worker = has_worker_in(pool_state, key, &rack, now_ms);
    let latest_ms = latest_end_ms(pool_state, key);
    let data_racks = &mut pool_state.data_racks;
    let Some(view) = data_racks.views.get_mut(&rack) else {
        return false;
    };
    let ends = Ends {
        near_ms: view.expected_start_ms(demand.cpu_milli, run_ms, now_ms) + run_ms,
        elsewhere_ms: now_ms + elsewhere_ms,
        latest_ms,
    };
    let since_ms = data_racks.waiting_since_ms.get(&key).copied();
    let most_ms = elsewhere_ms.min(WAIT_MAX_MS);
    let is_over = since_ms.is_some_and(|since_ms| now_ms >= since_ms + most_ms);
    let waits = has_worker && !is_over && ends.is_near_better();
    if waits {
        view.add_waiting(demand.cpu_milli);
        data_racks.waiting_since_ms.entry(key).or_insert(now_ms);
    } else {
        data_racks.waiting_since_ms.remove(&key);
    }
    if !waits || since_ms.is_none() {
        log_choice(pool_state, key, &rack, &ends, waits, ctx);
    }
    waits
}

fn log_choice(
    pool_state: &PoolState,
    key: TaskKey,
    rack: &str,
    ends: &Ends,
    waits: bool,
    ctx: &mut Ctx<'_>,
) {
    let (code, reason) = match waits {
        true => (Code::DataRackAwaited, "the task waits for its data rack"),
        false => (Code::DataRackLeft, "the task runs outside its data rack"),
    };
    let since_ms = pool_state.data_racks.waiting_since_ms.get(&key);
    ctx.log(
        Decision::new(code, Subject::Job, &pool_state.jobs[key.job].id, reason)
            .with_name("rack", rack)
            .with("step", u64::from(key.step))
            .with("task", u64::from(key.index))
            .with("near_ms", ends.near_ms.saturating_sub(ctx.now.ms))
            .with("elsewhere_ms", ends.elsewhere_ms.saturating_sub(ctx.now.ms))
            .with("left_ms", ends.latest_ms.saturating_sub(ctx.now.ms))
            .with("since_ms", since_ms.copied().unwrap_or(ctx.now.ms)),
    );
}

/// Returns whether some worker in a rack could take the task once it has room.
fn has_worker_in(pool_state: &PoolState, key: TaskKey, rack: &str, now_ms: Millis) -> bool {
    let (Some(spec), Some(task)) = (pool_state.step_spec(key), pool_state.task(key)) else {
        return false;
    };
    let has_label = |worker: &Worker| {
        let label = spec.label.as_ref();
        label.is_none_or(|label| worker.info.labels.contains(label))
    };
    let mut in_rack = pool_state.free_index.rack_workers_with_free(rack, 0);
    in_rack.any(|slot| {
        let worker = &pool_state.workers[slot.worker];
        let step = StepKey::from(key);
        let is_allowed = has_label(worker)
            && task.failed_on != Some(slot.worker)
            && !pool_state.advice.is_ruled_out(step, slot.worker);
        is_allowed && worker.is_open(now_ms) && worker.is_large_enough(spec.demand())
    })
}

/// Returns when the task must end for the steps after it to be in time.
fn latest_end_ms(pool_state: &PoolState, key: TaskKey) -> Millis {
    let job = &pool_state.jobs[key.job];
    let Some(round) = job.rounds.get(&key.round) else {
        return 0;
    };
    let is_left = |n: usize| round.steps[n].tasks_left > 0;
    let left_ms = job.spec.longest_chain_ms(&job.step_ms, is_left);
    let after_ms = left_ms.saturating_sub(job.step_ms[usize::from(key.step)]);
    round.due_ms.saturating_sub(after_ms)
}

fn refresh_view(pool_state: &mut PoolState, rack: &str, deployment: &Deployment, now_ms: Millis) {
    let in_rack = pool_state.free_index.rack_workers_with_free(rack, 0);
    let workers = in_rack.map(|slot| &pool_state.workers[slot.worker]);
    let mut ends = Vec::new();
    for worker in workers.filter(|w| w.is_open(now_ms)) {
        let tasks = worker.tasks.iter();
        ends.extend(tasks.filter_map(|key| release(pool_state, *key, rack, deployment, now_ms)));
    }
    let mut view = RackView::new(now_ms, ends);
    let data_racks = &mut pool_state.data_racks;
    let before = data_racks.views.get(rack);
    view.ahead_cpu_milli = before.map_or(0, |view| view.ahead_cpu_milli);
    if data_racks.views.len() >= RACKS_MAX {
        data_racks
            .views
            .retain(|_, view| now_ms < view.at_ms + VIEW_KEPT_MS);
    }
    data_racks.views.insert(rack.to_string(), view);
}

/// Returns when a task in a rack is expected to end, and the processors that it then releases.
fn release(
    pool_state: &PoolState,
    key: TaskKey,
    rack: &str,
    deployment: &Deployment,
    now_ms: Millis,
) -> Option<(Millis, u64)> {
    let (spec, task) = (pool_state.step_spec(key)?, pool_state.task(key)?);
    if spec.lasting {
        return None;
    }
    let run_ms = pool_state.jobs[key.job].step_ms[usize::from(key.step)];
    let expected_ms = deployment.task_ms(run_ms, spec.data_rack.as_deref(), rack);
    let begun_ms = task.begun_ms.unwrap_or(task.since_ms);
    let end_ms = expected_end_ms(begun_ms, expected_ms, now_ms);
    Some((end_ms, spec.demand().cpu_milli))
}

/// Notes the demand by rack, in a pool whose hosts have `host_cpu_milli` on average. Returns the hosts that the pool
/// needs beyond `needed` because those it has are in other racks.
pub(super) fn note_demand(
    pool_state: &mut PoolState,
    host_cpu_milli: u64,
    needed: u64,
    now_ms: Millis,
) -> u64 {
    let demand = demand_by_rack(pool_state);
    if demand.is_empty() && pool_state.data_racks.is_idle() {
        return 0;
    }
    let open = open_by_rack(pool_state, now_ms);
    let open_hosts: BTreeMap<String, u64> = open
        .iter()
        .map(|(rack, (hosts, _))| (rack.to_string(), *hosts))
        .collect();
    let is_sought = |rack: &str, cpu_milli: u64| {
        let open_cpu_milli = open.get(rack).map_or(0, |(_, cpu)| *cpu);
        cpu_milli * 100 > open_cpu_milli * SOUGHT_PERCENT
    };
    let sought = demand.iter().filter(|(rack, cpu)| is_sought(rack, **cpu));
    let sought: BTreeSet<String> = sought.map(|(rack, _)| rack.clone()).collect();
    let mut waiting_since_ms = std::mem::take(&mut pool_state.data_racks.waiting_since_ms);
    let is_ready = |key: &TaskKey| {
        let task = pool_state.task(*key);
        task.is_some_and(|t| t.phase == Phase::Ready)
    };
    waiting_since_ms.retain(|key, _| is_ready(key));
    let data_racks = &mut pool_state.data_racks;
    data_racks.waiting_since_ms = waiting_since_ms;
    data_racks.sought = sought;
    data_racks.note(demand, host_cpu_milli, now_ms);
    let lacking: u64 = data_racks
        .demands
        .iter()
        .map(|(rack, d)| {
            d.hosts
                .saturating_sub(open_hosts.get(rack).copied().unwrap_or(0))
        })
        .sum();
    lacking.min((needed / HOSTS_PER_MORE).max(MORE_HOSTS_MIN))
}

impl DataRacks {
    fn note(&mut self, demand: BTreeMap<String, u64>, host_cpu_milli: u64, now_ms: Millis) {
        self.demands
            .retain(|_, demand| now_ms < demand.named_ms + NAMED_KEPT_MS);
        for known in self.demands.values_mut() {
            if now_ms >= known.peak_ms + DEMAND_WINDOW_MS {
                known.hosts = 1;
            }
        }
        for (rack, cpu_milli) in demand {
            if self.demands.len() >= RACKS_MAX && !self.demands.contains_key(&rack) {
                continue;
            }
            let hosts = (cpu_milli * HEADROOM_PERCENT / 100).div_ceil(host_cpu_milli.max(1));
            let known = self.demands.entry(rack).or_default();
            known.named_ms = now_ms;
            if hosts.max(1) >= known.hosts {
                known.hosts = hosts.max(1);
                known.peak_ms = now_ms;
            }
        }
    }
}

/// Returns the processors that open steps need, by the rack of their data.
fn demand_by_rack(pool_state: &PoolState) -> BTreeMap<String, u64> {
    let mut demand: BTreeMap<String, u64> = BTreeMap::new();
    for job in pool_state.jobs.values().filter(|j| !j.state.is_final()) {
        let names_rack = |spec: &StepSpec| spec.data_rack.is_some() && !spec.lasting;
        if !job.spec.steps.iter().any(names_rack) {
            continue;
        }
        for round in job.rounds.values() {
            let steps = job.spec.steps.iter().zip(&round.steps);
            for (spec, step) in steps.filter(|(spec, step)| step.is_open && names_rack(spec)) {
                let cpu_milli = spec.demand().cpu_milli * step.tasks_left as u64;
                let rack = spec.data_rack.as_deref().unwrap_or_default();
                match demand.get_mut(rack) {
                    Some(sum) => *sum += cpu_milli,
                    None if cpu_milli > 0 => {
                        demand.insert(rack.to_string(), cpu_milli);
                    }
                    None => {}
                }
            }
        }
    }
    demand
}

/// Returns the number and the processors of the open hosts by rack.
fn open_by_rack(pool_state: &PoolState, now_ms: Millis) -> HashMap<&str, (u64, u64)> {
    let mut open: HashMap<&str, (u64, u64)> = HashMap::new();
    for worker in pool_state.workers.values().filter(|w| w.is_open(now_ms)) {
        let (hosts, cpu_milli) = open.entry(worker.rack()).or_default();
        *hosts += 1;
        *cpu_milli += worker.info.capacity.cpu_milli;
    }
    open
}

/// Returns the racks that lack hosts, those that lack most if there are many, and how many they lack.
pub fn lacking(pool_state: &PoolState, now_ms: Millis) -> BTreeMap<String, u64> {
    let demands = &pool_state.data_racks.demands;
    if demands.is_empty() {
        return BTreeMap::new();
    }
    let open = open_by_rack(pool_state, now_ms);
    let mut lacking: Vec<(u64, &String)> = demands
        .iter()
        .map(|(rack, demand)| {
            let (hosts, _) = open.get(rack.as_str()).copied().unwrap_or_default();
            (demand.hosts.saturating_sub(hosts), rack)
        })
        .filter(|(hosts, _)| *hosts > 0)
        .collect();
    lacking.sort_by_key(|(hosts, _)| Reverse(*hosts));
    lacking.truncate(LACKING_MAX);
    let lacking = lacking.into_iter();
    lacking.map(|(hosts, rack)| (rack.clone(), hosts)).collect()
}

/// Orders hosts that may be closed: those that their racks need come last.
pub(super) fn order_for_closing(
    pool_state: &PoolState,
    idle: Vec<WorkerKey>,
    now_ms: Millis,
) -> Vec<WorkerKey> {
    let data_racks = &pool_state.data_racks;
    if data_racks.demands.is_empty() {
        return idle;
    }
    let mut open = open_by_rack(pool_state, now_ms);
    let is_surplus = |key: &WorkerKey| {
        let rack = pool_state.workers[*key].rack();
        let Some((hosts, _)) = open.get_mut(rack) else {
            return true;
        };
        let is_surplus = *hosts > data_racks.wanted_hosts(rack);
        *hosts -= u64::from(is_surplus);
        is_surplus
    };
    let (mut order, needed): (Vec<_>, Vec<_>) = idle.into_iter().partition(is_surplus);
    order.extend(needed);
    order
}

/// Returns whether a worker's rack is among those that the pool's tasks name.
pub(super) fn is_named(pool_state: &PoolState, worker: &Worker) -> bool {
    pool_state.data_racks.demands.contains_key(worker.rack())
}

/// Removes and returns an item of a rack that lacks hosts, and counts it off; `None` if there is none.
pub(super) fn take_lacking<'a, T>(
    items: &mut Vec<T>,
    lacking: &mut BTreeMap<String, u64>,
    rack_of: impl Fn(&T) -> Option<&'a str>,
) -> Option<T> {
    let lacks = |item: &T| {
        let hosts = rack_of(item).and_then(|rack| lacking.get(rack));
        hosts.is_some_and(|hosts| *hosts > 0)
    };
    let at = items.iter().position(lacks)?;
    if let Some(hosts) = rack_of(&items[at]).and_then(|rack| lacking.get_mut(rack)) {
        *hosts -= 1;
    }
    Some(items.swap_remove(at))
}
