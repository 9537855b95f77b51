//! Configuration, jobs and workers that the tests share.

use super::*;

/// Returns a configuration with one queue on the pool, which all worlds use.
pub(crate) fn config(version: u64) -> FleetConfig {
    FleetConfig {
        version,
        queues: [(
            QUEUE.to_string(),
            QueueConfig {
                name: QUEUE.to_string(),
                host: "host".to_string(),
                path_prefix: "/q/".to_string(),
                pool: POOL.to_string(),
                priority: 0,
                attempts_max: 3,
                target_ms: 600,
                stretch_milli: 1_600,
                is_public: true,
                advice: None,
            },
        )]
        .into(),
        accounts: Default::default(),
        pools: [(POOL.to_string(), PoolConfig::default())].into(),
        body_bytes: 1 << 18,
        header_ms: 3_000,
        idle_ms: 15_000,
    }
}

/// Returns a job of one step with these demands for each of its tasks.
pub(crate) fn job(count: u16, cpu_milli: u64, estimate_ms: u64) -> JobSpec {
    JobSpec {
        pool: None,
        queue: QUEUE.to_string(),
        account: None,
        payload: "work".to_string(),
        steps: vec![StepSpec {
            count,
            cpu_milli,
            mem_mb: 100,
            estimate_ms,
            ..StepSpec::default()
        }],
        schedule: None,
        policy: None,
        accepted_wall_ms: WALL_MS,
    }
}

/// Returns a job of lasting tasks, at most one a worker, of which orders may end `away_max` at a time.
pub(crate) fn lasting(count: u16, away_max: u16) -> JobSpec {
    let mut spec = job(count, 500, 700);
    spec.steps[0].lasting = true;
    spec.steps[0].per_worker_max = 1;
    spec.steps[0].away_max = Some(away_max);
    spec
}

/// Returns a worker of 16 cores and 32 GB on a host, as the platform lists it.
pub(crate) fn listed_worker(id: &str, host: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.to_string(),
        born_wall_ms: None,
        host: host.to_string(),
        pool: POOL.to_string(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000)),
        hall: "hall".to_string(),
        labels: Vec::new(),
        capacity: Capacity {
            cpu_milli: 16_000,
            mem_mb: 32_000,
            gpu: 0,
        },
        is_draining: false,
    }
}

/// Adds a schedule to a job: `rounds` rounds, the first one due at `first_wall_ms`.
pub(crate) fn with_schedule(
    spec: JobSpec,
    rounds: u32,
    first_wall_ms: u64,
    interval_ms: u64,
) -> JobSpec {
    JobSpec {
        schedule: Some(Schedule {
            rounds,
            first_wall_ms,
            interval_ms,
        }),
        ..spec
    }
}
