//! Settings of `rockwick serve`, from flags and environment variables.
//!
//! The command line parser builds [`ServeFlags`]; [`ServeFlags::check`] turns them into [`ServeSettings`] before any
//! socket is opened.

use std::net::SocketAddr;

use bpaf::{construct, long, Parser};

use crate::clock::Millis;
use crate::config::{check_name, parse_address, parse_process_limits, usage_error};
use crate::core::sched::deployment::Deployment;
use crate::error::Result;
use crate::http::intake::ProcessLimits;

/// The default of `config-within-ms`: the shortest that the users' deployments state.
const CONFIG_WITHIN_MS: Millis = 2_000;

/// The default of `config-outage-ms`: the shortest that the users' deployments state.
const CONFIG_OUTAGE_MS: Millis = 5_000;

/// The default of `host-move-cost-ms`: a move takes 1.5 s, in which the host serves nobody.
const HOST_MOVE_COST_MS: Millis = 1_500;

/// The flags of `rockwick serve` as given, not checked yet.
#[derive(Clone, Debug)]
pub struct ServeFlags {
    name: String,
    hall: String,
    listen: String,
    ready: String,
    metrics: String,
    cpu_share: f64,
    memory_mb: String,
    max_fds: String,
    store: String,
    hosts: String,
    advice: String,
    config_within_ms: String,
    config_outage_ms: String,
    deployment: DeploymentFlags,
}

/// The flags of a deployment's figures as given, not checked yet. Each may be empty.
#[derive(Clone, Debug)]
struct DeploymentFlags {
    remote_data_factor: String,
    host_orders_per_s: String,
    host_move_cost_ms: String,
    checkpoint_interval_s: String,
    run_stop_ms: String,
}

/// Returns the parser of the flags of `rockwick serve`.
pub fn serve_flags() -> impl Parser<ServeFlags> {
    let name = long("name")
        .env("ROCKWICK_NAME")
        .help("Name of this entry, unique among all entries")
        .argument("NAME");
    let hall = long("hall")
        .env("ROCKWICK_HALL")
        .help("Data hall that this entry runs in")
        .argument("HALL");
    let listen = long("listen")
        .env("ROCKWICK_LISTEN")
        .help("Address that callers connect to")
        .argument("IP:PORT");
    let ready = long("ready")
        .env("ROCKWICK_READY")
        .help("Address of the readiness check for the load balancer")
        .argument("IP:PORT");
    let metrics = long("metrics")
        .env("ROCKWICK_METRICS")
        .help("Address of the metrics endpoint; empty for none")
        .argument("IP:PORT")
        .fallback(String::new());
    let cpu_share = long("cpu-share")
        .env("ROCKWICK_CPU_SHARE")
        .help("Cores that this entry may use; entries with more cores own pools first")
        .argument("CORES")
        .fallback(1.0);
    let memory_mb = memory_mb_flag();
    let max_fds = max_fds_flag();
    let store = long("store")
        .env("ROCKWICK_STORE")
        .help("Address of the platform's row store")
        .argument("IP:PORT");
    let hosts = long("hosts")
        .env("ROCKWICK_HOSTS")
        .help("Address where the platform accepts orders to hosts; empty for none")
        .argument("IP:PORT")
        .fallback(String::new());
    let advice = long("advice")
        .env("ROCKWICK_ADVICE")
        .help("Address of the service that knows which workers may run a step; empty for none")
        .argument("IP:PORT")
        .fallback(String::new());
    let config_within_ms = long("config-within-ms")
        .env("ROCKWICK_CONFIG_WITHIN_MS")
        .help("Time within which an accepted configuration must be in force at every entry; an entry that can't tell whether its configuration is current accepts no calls")
        .argument("MS")
        .fallback(String::new());
    let config_outage_ms = long("config-outage-ms")
        .env("ROCKWICK_CONFIG_OUTAGE_MS")
        .help("How long calls are accepted under the last known configuration while the store can't be read for newer ones")
        .argument("MS")
        .fallback(String::new());
    let deployment = deployment_flags();
    construct!(ServeFlags {
        name,
        hall,
        listen,
        ready,
        metrics,
        cpu_share,
        memory_mb,
        max_fds,
        store,
        hosts,
        advice,
        config_within_ms,
        config_outage_ms,
        deployment
    })
}

/// Returns the parser of the flag for the memory of the process.
pub(crate) fn memory_mb_flag() -> impl Parser<String> {
    long("memory-mb")
        .env("ROCKWICK_MEMORY_MB")
        .help("Memory that the process may use, which bounds its callers' connections and request bodies (default 256)")
        .argument("MB")
        .fallback(String::new())
}

/// Returns the parser of the flag for the descriptors of the process.
pub(crate) fn max_fds_flag() -> impl Parser<String> {
    long("max-fds")
        .env("ROCKWICK_MAX_FDS")
        .help("Descriptors that the process may use, which bounds its callers' connections; empty for the system's limit")
        .argument("N")
        .fallback(String::new())
}

fn deployment_flags() -> impl Parser<DeploymentFlags> {
    let remote_data_factor = long("remote-data-factor")
        .env("ROCKWICK_REMOTE_DATA_FACTOR")
        .help("How many times as long a task takes outside the rack of its data; empty if unknown")
        .argument("FACTOR")
        .fallback(String::new());
    let host_orders_per_s = long("host-orders-per-s")
        .env("ROCKWICK_HOST_ORDERS_PER_S")
        .help("Orders to hosts that the platform accepts per second from all entries; empty if unknown")
        .argument("N")
        .fallback(String::new());
    let host_move_cost_ms = long("host-move-cost-ms")
        .env("ROCKWICK_HOST_MOVE_COST_MS")
        .help("Cost of moving a host to another pool, as the time for which a host in service costs the same")
        .argument("MS")
        .fallback(String::new());
    let checkpoint_interval_s = long("checkpoint-interval-s")
        .env("ROCKWICK_CHECKPOINT_INTERVAL_S")
        .help("Time of work after which a task renews its checkpoint; empty if unknown")
        .argument("SECONDS")
        .fallback(String::new());
    let run_stop_ms = long("run-stop-ms")
        .env("ROCKWICK_RUN_STOP_MS")
        .help("Longest time that a worker takes to stop a run; empty if unknown")
        .argument("MS")
        .fallback(String::new());
    construct!(DeploymentFlags {
        remote_data_factor,
        host_orders_per_s,
        host_move_cost_ms,
        checkpoint_interval_s,
        run_stop_ms
    })
}

/// The checked settings of an entry.
#[derive(Clone, Debug)]
pub struct ServeSettings {
    /// The name of the entry, unique among all entries.
    pub name: String,
    /// The data hall that the entry runs in.
    pub hall: String,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address of the readiness check for the balancer.
    pub ready: SocketAddr,
    /// The address of the metrics endpoint, if there is one.
    pub metrics: Option<SocketAddr>,
    /// The processor share of the entry, in thousandths of a core; an entry with a larger share claims pools earlier.
    pub cpu_milli: u64,
    /// The memory and the descriptors that the process may use.
    pub process: ProcessLimits,
    /// The address of the platform's row store.
    pub store: SocketAddr,
    /// The address that takes orders to hosts, if there is one.
    pub hosts: Option<SocketAddr>,
    /// The address of the service that knows which workers may run a step, if there is one.
    pub advice: Option<SocketAddr>,
    /// The time within which an accepted configuration must be in force at every entry.
    pub config_within_ms: Millis,
    /// How long the last known configuration stays in force while reads of the operator's table fail.
    pub config_outage_ms: Millis,
    /// Figures of the deployment for the scheduler.
    pub deployment: Deployment,
}

impl ServeFlags {
    /// Checks every flag and returns the settings, or an error that names the wrong flag.
    pub fn check(self) -> Result<ServeSettings> {
        Ok(ServeSettings {
            name: check_name("name", self.name)?,
            hall: check_name("hall", self.hall)?,
            listen: parse_address("listen", &self.listen)?,
            ready: parse_address("ready", &self.ready)?,
            metrics: parse_optional_address("metrics", &self.metrics)?,
            cpu_milli: check_cpu_share(self.cpu_share)?,
            process: parse_process_limits(&self.memory_mb, &self.max_fds)?,
            store: parse_address("store", &self.store)?,
            hosts: parse_optional_address("hosts", &self.hosts)?,
            advice: parse_optional_address("advice", &self.advice)?,
            config_within_ms: parse_time_limit_ms(
                "config-within-ms",
                &self.config_within_ms,
                CONFIG_WITHIN_MS,
            )?,
            config_outage_ms: parse_time_limit_ms(
                "config-outage-ms",
                &self.config_outage_ms,
                CONFIG_OUTAGE_MS,
            )?,
            deployment: self.deployment.check()?,
        })
    }
}

impl DeploymentFlags {
    fn check(&self) -> Result<Deployment> {
        Ok(Deployment {
            remote_data_factor_milli: parse_milli("remote-data-factor", &self.remote_data_factor)?,
            host_orders_per_s: parse_milli("host-orders-per-s", &self.host_orders_per_s)? / 1_000,
            host_move_cost_ms: match parse_milli("host-move-cost-ms", &self.host_move_cost_ms)? {
                0 => HOST_MOVE_COST_MS,
                milli => milli / 1_000,
            },
            checkpoint_interval_ms: parse_milli(
                "checkpoint-interval-s",
                &self.checkpoint_interval_s,
            )?,
            stop_ms: parse_milli("run-stop-ms", &self.run_stop_ms)? / 1_000,
        })
    }
}

/// Parses a decimal number and returns it in thousandths, or 0 for an empty value.
fn parse_milli(flag: &str, value: &str) -> Result<u64> {
    if value.is_empty() {
        return Ok(0);
    }
    match value.parse::<f64>() {
        Ok(number) if (0.0..=1e9).contains(&number) => Ok((number * 1_000.0).round() as u64),
        _ => usage_error(flag, value, "a number from 0 to 1000000000"),
    }
}

fn check_cpu_share(share: f64) -> Result<u64> {
    let milli = (share * 1_000.0).round();
    if (1.0..=1_000_000.0).contains(&milli) {
        return Ok(milli as u64);
    }
    usage_error("cpu-share", &share.to_string(), "0.001 to 1000 cores")
}

/// Parses a time limit in milliseconds, which must be long enough for a few answers of the store. Returns `fallback_ms`
/// for an empty value.
fn parse_time_limit_ms(flag: &str, value: &str, fallback_ms: Millis) -> Result<Millis> {
    if value.is_empty() {
        return Ok(fallback_ms);
    }
    match value.parse::<Millis>() {
        Ok(ms) if (200..=600_000).contains(&ms) => Ok(ms),
        _ => usage_error(flag, value, "200 to 600000 milliseconds"),
    }
}

fn parse_optional_address(flag: &str, value: &str) -> Result<Option<SocketAddr>> {
    if value.is_empty() {
        return Ok(None);
    }
    parse_address(flag, value).map(Some)
}
