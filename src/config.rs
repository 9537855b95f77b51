//! Settings of `rockwick entry`, read from flags and environment variables.
//!
//! All values are checked before the entry opens a file or a socket. The checks of single values are shared with the
//! settings of `rockwick serve`.

use std::net::SocketAddr;

use bpaf::{construct, long, Parser};

use crate::clock::Millis;
use crate::error::{Error, Result};
use crate::http::intake::{allowed_fds, ProcessLimits};
use crate::platform::SET_BY_PLATFORM;
use crate::serve::settings::{max_fds_flag, memory_mb_flag};

/// Prefix of all environment variables.
const PREFIX: &str = "ROCKWICK_";

/// All environment variables that some command reads.
const KNOWN_VARIABLES: [&str; 32] = [
    "ROCKWICK_CONFIG_OUTAGE_MS",
    "ROCKWICK_CONFIG_WITHIN_MS",
    "ROCKWICK_NAME",
    "ROCKWICK_HALL",
    "ROCKWICK_LISTEN",
    "ROCKWICK_ADMIN",
    "ROCKWICK_PEER_LISTEN",
    "ROCKWICK_PEERS",
    "ROCKWICK_PLATFORM",
    "ROCKWICK_THREADS",
    "ROCKWICK_BODY_BYTES",
    "ROCKWICK_ANSWER_BYTES",
    "ROCKWICK_GRACE_MS",
    "ROCKWICK_STOP_MS",
    "ROCKWICK_DRAIN_MS",
    "ROCKWICK_REPLACE_MS",
    "ROCKWICK_OPERATOR_TOKEN_SHA256",
    "ROCKWICK_ENTRY",
    "ROCKWICK_TOKEN",
    "ROCKWICK_READY",
    "ROCKWICK_METRICS",
    "ROCKWICK_STORE",
    "ROCKWICK_HOSTS",
    "ROCKWICK_ADVICE",
    "ROCKWICK_CPU_SHARE",
    "ROCKWICK_MAX_FDS",
    "ROCKWICK_MEMORY_MB",
    "ROCKWICK_REMOTE_DATA_FACTOR",
    "ROCKWICK_HOST_ORDERS_PER_S",
    "ROCKWICK_HOST_MOVE_COST_MS",
    "ROCKWICK_CHECKPOINT_INTERVAL_S",
    "ROCKWICK_RUN_STOP_MS",
];

/// The flags as given, before they are checked.
#[derive(Clone, Debug)]
pub struct EntryFlags {
    name: String,
    hall: String,
    listen: String,
    admin: String,
    peer_listen: String,
    peers: String,
    platform: String,
    threads: String,
    memory_mb: String,
    max_fds: String,
    body_bytes: String,
    answer_bytes: String,
    grace_ms: String,
    stop_ms: String,
    drain_ms: String,
    replace_ms: String,
    operator_token_sha256: Option<String>,
}

/// Returns the parser of the flags of `rockwick entry`.
pub fn entry_flags() -> impl Parser<EntryFlags> {
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
    let admin = long("admin")
        .env("ROCKWICK_ADMIN")
        .help("Address that operators connect to")
        .argument("IP:PORT");
    let peer_listen = long("peer-listen")
        .env("ROCKWICK_PEER_LISTEN")
        .help("Address that other entries connect to")
        .argument("IP:PORT");
    let peers = long("peers")
        .env("ROCKWICK_PEERS")
        .help("Addresses of the other entries; empty if there are none")
        .argument("IP:PORT,...")
        .fallback(String::new());
    let platform = long("platform")
        .env("ROCKWICK_PLATFORM")
        .help("Address of the platform's service")
        .argument("IP:PORT");
    let threads = long("threads")
        .env("ROCKWICK_THREADS")
        .help("Number of threads that serve callers, 1 to 64 (default 4)")
        .argument("N")
        .fallback("4".to_string());
    let memory_mb = memory_mb_flag();
    let max_fds = max_fds_flag();
    let body_bytes = long("body-bytes")
        .env("ROCKWICK_BODY_BYTES")
        .help("Maximum size of a request's body (default 8388608)")
        .argument("BYTES")
        .fallback("8388608".to_string());
    let answer_bytes = long("answer-bytes")
        .env("ROCKWICK_ANSWER_BYTES")
        .help("Maximum size of an answer's body (default 16777216)")
        .argument("BYTES")
        .fallback("16777216".to_string());
    let grace_ms = long("grace-ms")
        .env("ROCKWICK_GRACE_MS")
        .help("How long new requests are still accepted after SIGTERM (default 2000)")
        .argument("MS")
        .fallback("2000".to_string());
    let stop_ms = long("stop-ms")
        .env("ROCKWICK_STOP_MS")
        .help("How long requests in flight are waited for after --grace-ms (default 60000)")
        .argument("MS")
        .fallback("60000".to_string());
    let drain_ms = long("drain-ms")
        .env("ROCKWICK_DRAIN_MS")
        .help("A host's drain that takes longer than this is reported (default 600000)")
        .argument("MS")
        .fallback("600000".to_string());
    let replace_ms = long("replace-ms")
        .env("ROCKWICK_REPLACE_MS")
        .help("A host that is gone for this long is replaced (default 300000)")
        .argument("MS")
        .fallback("300000".to_string());
    let operator_token_sha256 = long("operator-token-sha256")
        .env("ROCKWICK_OPERATOR_TOKEN_SHA256")
        .help("SHA-256 of the operators' token; without it, --admin must be a loopback address")
        .argument("HEX")
        .optional();
    construct!(EntryFlags {
        name,
        hall,
        listen,
        admin,
        peer_listen,
        peers,
        platform,
        threads,
        memory_mb,
        max_fds,
        body_bytes,
        answer_bytes,
        grace_ms,
        stop_ms,
        drain_ms,
        replace_ms,
        operator_token_sha256
    })
}

/// Checked settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the entry, unique among all entries.
    pub name: String,
    /// Data hall that the entry runs in.
    pub hall: String,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address that operators connect to.
    pub admin: SocketAddr,
    /// Address that other entries connect to.
    pub peer_listen: SocketAddr,
    /// Addresses of the other entries.
    pub peers: Vec<SocketAddr>,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Number of threads that serve callers.
    pub threads: usize,
    /// Memory and descriptors that the process may use.
    pub process: ProcessLimits,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Maximum size of an answer's body.
    pub answer_bytes: usize,
    /// How long the entry still accepts new requests after SIGTERM.
    pub grace_ms: Millis,
    /// How long the entry waits for requests in flight after `grace_ms`.
    pub stop_ms: Millis,
    /// Duration from which a host's drain is reported as too long.
    pub drain_ms: Millis,
    /// Duration of absence after which a host is replaced.
    pub replace_ms: Millis,
    /// SHA-256 of the operators' token, in lower-case hexadecimal; `None` if no token is required.
    pub operator_token_sha256: Option<String>,
}

impl EntryFlags {
    /// Checks every flag and returns the settings.
    ///
    /// Without an operators' token, the admin address must be on loopback, since anybody who reaches it may make
    /// changes.
    pub fn check(self) -> Result<Settings> {
        let admin = parse_address("admin", &self.admin)?;
        if self.operator_token_sha256.is_none() && !admin.ip().is_loopback() {
            let text = format!(
                "--admin {admin}: must be a loopback address unless --operator-token-sha256 is set"
            );
            return Err(Error::Usage(text));
        }
        let peers = self
            .peers
            .split(',')
            .map(str::trim)
            .filter(|p| !p.is_empty())
            .map(|p| parse_address("peers", p))
            .collect::<Result<Vec<_>>>()?;
        Ok(Settings {
            name: check_name("name", self.name)?,
            hall: check_name("hall", self.hall)?,
            listen: parse_address("listen", &self.listen)?,
            admin,
            peer_listen: parse_address("peer-listen", &self.peer_listen)?,
            peers,
            platform: parse_address("platform", &self.platform)?,
            threads: parse_number("threads", &self.threads, 1, 64)? as usize,
            process: parse_process_limits(&self.memory_mb, &self.max_fds)?,
            body_bytes: parse_number("body-bytes", &self.body_bytes, 1, 1 << 30)? as usize,
            answer_bytes: parse_number("answer-bytes", &self.answer_bytes, 1, 1 << 30)? as usize,
            grace_ms: parse_number("grace-ms", &self.grace_ms, 0, 600_000)?,
            stop_ms: parse_number("stop-ms", &self.stop_ms, 0, 86_400_000)?,
            drain_ms: parse_number("drain-ms", &self.drain_ms, 1_000, 86_400_000)?,
            replace_ms: parse_number("replace-ms", &self.replace_ms, 1_000, 86_400_000)?,
            operator_token_sha256: self.operator_token_sha256.map(check_hash).transpose()?,
        })
    }
}

/// Memory that the process may use unless a flag says otherwise, in megabytes.
const MEMORY_MB: &str = "256";

/// Number of descriptors that the process may use if neither a flag nor the system says.
const FDS: u64 = 1_024;

/// Parses the memory and the descriptors that the process may use; either may be empty.
pub(crate) fn parse_process_limits(memory_mb: &str, max_fds: &str) -> Result<ProcessLimits> {
    let memory_mb = if memory_mb.is_empty() {
        MEMORY_MB
    } else {
        memory_mb
    };
    Ok(ProcessLimits {
        memory_bytes: parse_number("memory-mb", memory_mb, 16, 1 << 24)? * 1_000_000,
        fds: match max_fds {
            "" => allowed_fds().unwrap_or(FDS),
            _ => parse_number("max-fds", max_fds, 64, 1 << 24)?,
        },
    })
}

/// Returns the usage error for a flag whose value is not `allowed`.
pub(crate) fn usage_error<T>(flag: &str, value: &str, allowed: &str) -> Result<T> {
    Err(Error::Usage(format!(
        "--{flag} {value:?}: must be {allowed}"
    )))
}

/// Parses the value of a flag as an IP address and a port.
pub(crate) fn parse_address(flag: &str, value: &str) -> Result<SocketAddr> {
    match value.parse::<SocketAddr>() {
        Ok(addr) => Ok(addr),
        Err(_) => usage_error(flag, value, "an IP address and a port, as in 10.0.0.1:8080"),
    }
}

/// Checks the value of a flag as a name: 1 to 64 letters, digits, `-`, `_` and `.`.
pub(crate) fn check_name(flag: &str, value: String) -> Result<String> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if value.is_empty() || value.len() > 64 || !value.bytes().all(is_allowed) {
        return usage_error(flag, &value, "1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'");
    }
    Ok(value)
}

fn parse_number(flag: &str, value: &str, min: u64, max: u64) -> Result<u64> {
    match value.parse::<u64>() {
        Ok(n) if (min..=max).contains(&n) => Ok(n),
        _ => usage_error(flag, value, &format!("a whole number from {min} to {max}")),
    }
}

fn check_hash(value: String) -> Result<String> {
    if value.len() != 64 || !value.bytes().all(|b| b.is_ascii_hexdigit()) {
        return usage_error("operator-token-sha256", &value, "64 hexadecimal digits");
    }
    Ok(value.to_ascii_lowercase())
}

/// Returns the names of environment variables that have the prefix of settings but that no command reads.
pub fn unknown_variables() -> Vec<String> {
    std::env::vars_os()
        .filter_map(|(name, _)| name.into_string().ok())
        .filter(|name| name.starts_with(PREFIX) && !is_known_variable(name))
        .collect()
}

/// Returns whether some command reads this variable, or the platform sets it.
pub fn is_known_variable(name: &str) -> bool {
    KNOWN_VARIABLES.contains(&name) || SET_BY_PLATFORM.contains(&name)
}
