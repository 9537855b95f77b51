//! Settings of `rockwick serve`: flags and environment, checked before anything is opened.

use std::net::SocketAddr;

use bpaf::{construct, long, Parser};

use crate::clock::Millis;
use crate::config::{address, bad, name};
use crate::error::Result;

/// The shortest bound on a configuration that the users' deployments state.
const CONFIG_WITHIN_MS: Millis = 2_000;

/// The shortest time by which a failing store lengthens that bound on the users' deployments.
const CONFIG_OUTAGE_MS: Millis = 5_000;

/// The flags as given, not checked yet.
#[derive(Clone, Debug)]
pub struct ServeFlags {
    name: String,
    hall: String,
    listen: String,
    ready: String,
    metrics: String,
    cpu_share: f64,
    store: String,
    hosts: String,
    config_within_ms: String,
    config_outage_ms: String,
}

/// The parser of the command's flags.
pub fn serve_flags() -> impl Parser<ServeFlags> {
    let name = long("name")
        .env("ROCKWICK_NAME")
        .help("Name of this entry, unique among all")
        .argument("NAME");
    let hall = long("hall")
        .env("ROCKWICK_HALL")
        .help("Data hall that it stands in")
        .argument("HALL");
    let listen = long("listen")
        .env("ROCKWICK_LISTEN")
        .help("Where callers reach it")
        .argument("IP:PORT");
    let ready = long("ready")
        .env("ROCKWICK_READY")
        .help("Where the balancer asks whether it is ready")
        .argument("IP:PORT");
    let metrics = long("metrics")
        .env("ROCKWICK_METRICS")
        .help("Where it tells its figures; empty for nowhere")
        .argument("IP:PORT")
        .fallback(String::new());
    let cpu_share = long("cpu-share")
        .env("ROCKWICK_CPU_SHARE")
        .help("Cores that it may use; entries with more of them own pools first")
        .argument("CORES")
        .fallback(1.0);
    let store = long("store")
        .env("ROCKWICK_STORE")
        .help("The platform's row store")
        .argument("IP:PORT");
    let hosts = long("hosts")
        .env("ROCKWICK_HOSTS")
        .help("Where the platform takes orders to hosts; empty for nowhere")
        .argument("IP:PORT")
        .fallback(String::new());
    let config_within_ms = long("config-within-ms")
        .env("ROCKWICK_CONFIG_WITHIN_MS")
        .help("Within how long an accepted configuration must be in force everywhere; an entry that can't know takes no calls")
        .argument("MS")
        .fallback(String::new());
    let config_outage_ms = long("config-outage-ms")
        .env("ROCKWICK_CONFIG_OUTAGE_MS")
        .help("For how long calls go on by the last configuration while the store fails to tell of newer ones")
        .argument("MS")
        .fallback(String::new());
    construct!(ServeFlags {
        name,
        hall,
        listen,
        ready,
        metrics,
        cpu_share,
        store,
        hosts,
        config_within_ms,
        config_outage_ms
    })
}

/// The settings, checked.
#[derive(Clone, Debug)]
pub struct ServeSettings {
    /// Name, unique among entries.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    /// Where figures are told.
    pub metrics: Option<SocketAddr>,
    /// Thousandths of a core that it may use.
    pub cpu_milli: u64,
    /// The row store.
    pub store: SocketAddr,
    /// Where orders to hosts go.
    pub hosts: Option<SocketAddr>,
    /// Within how long an accepted configuration must be in force everywhere.
    pub config_within_ms: Millis,
    /// For how long calls go on by the last configuration while the store fails to tell of newer ones.
    pub config_outage_ms: Millis,
}

impl ServeFlags {
    /// Checks every flag and makes them into settings.
    pub fn check(self) -> Result<ServeSettings> {
        Ok(ServeSettings {
            name: name("name", self.name)?,
            hall: name("hall", self.hall)?,
            listen: address("listen", &self.listen)?,
            ready: address("ready", &self.ready)?,
            metrics: optional("metrics", &self.metrics)?,
            cpu_milli: cpu_milli(self.cpu_share)?,
            store: address("store", &self.store)?,
            hosts: optional("hosts", &self.hosts)?,
            config_within_ms: bound("config-within-ms", &self.config_within_ms, CONFIG_WITHIN_MS)?,
            config_outage_ms: bound("config-outage-ms", &self.config_outage_ms, CONFIG_OUTAGE_MS)?,
        })
    }
}

fn cpu_milli(share: f64) -> Result<u64> {
    let milli = (share * 1_000.0).round();
    if (1.0..=1_000_000.0).contains(&milli) {
        return Ok(milli as u64);
    }
    bad("cpu-share", &share.to_string(), "0.001 to 1000 cores")
}

/// A bound in milliseconds, long enough for a few answers of a store; empty where a deployment states none.
fn bound(flag: &str, value: &str, fallback_ms: Millis) -> Result<Millis> {
    if value.is_empty() {
        return Ok(fallback_ms);
    }
    match value.parse::<Millis>() {
        Ok(ms) if (200..=600_000).contains(&ms) => Ok(ms),
        _ => bad(flag, value, "200 to 600000 milliseconds"),
    }
}

fn optional(flag: &str, value: &str) -> Result<Option<SocketAddr>> {
    if value.is_empty() {
        return Ok(None);
    }
    address(flag, value).map(Some)
}
