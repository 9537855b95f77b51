//! The configuration: services, accounts, pool templates and the parameters that accounts fill in.
//!
//! Operators write it as TOML. [`parse`] checks a whole text, which an entry accepts from an operator or adopts from
//! the table.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use toml::Spanned;

use crate::clock::{Millis, DAY_MS};

const MINUTE_MS: Millis = 60_000;

/// How urgent a request or a job is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Goes before all other classes.
    Urgent,
    /// The default for requests.
    #[default]
    Normal,
    /// Goes after all other classes and never takes the last slots.
    Batch,
}

impl Class {
    /// Parses a lower-case name, as in the `Rockwick-Class` header.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "urgent" => Some(Class::Urgent),
            "normal" => Some(Class::Normal),
            "batch" => Some(Class::Batch),
            _ => None,
        }
    }

    /// Returns the lower-case name.
    pub fn as_str(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Normal => "normal",
            Class::Batch => "batch",
        }
    }
}

/// The failure for which a pool keeps hosts in reserve beyond its minimum of serving hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reserve {
    /// No failure.
    None,
    /// The failure of any one host.
    #[default]
    Host,
    /// The failure of any one rack.
    Rack,
}

/// A daily window in UTC in which maintenance is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// Start, in milliseconds after midnight.
    pub from_ms: Millis,
    /// End, in milliseconds after midnight; less than `from_ms` if the window passes midnight.
    pub to_ms: Millis,
}

impl Window {
    /// Parses `HH:MM-HH:MM`. A window that ends as it begins would never be open and is refused.
    pub fn parse(text: &str) -> Option<Self> {
        let (from, to) = text.split_once('-')?;
        let window = Self {
            from_ms: time_of_day(from)?,
            to_ms: time_of_day(to)?,
        };
        (window.from_ms != window.to_ms).then_some(window)
    }

    /// Whether the window is open at a wall-clock time.
    pub fn contains(&self, wall_ms: Millis) -> bool {
        let t = wall_ms % DAY_MS;
        if self.from_ms <= self.to_ms {
            self.from_ms <= t && t < self.to_ms
        } else {
            t >= self.from_ms || t < self.to_ms
        }
    }
}

fn time_of_day(text: &str) -> Option<Millis> {
    let (h, m) = text.trim().split_once(':')?;
    let (h, m): (Millis, Millis) = (h.parse().ok()?, m.parse().ok()?);
    let valid = m < 60 && (h < 24 || (h == 24 && m == 0));
    valid.then_some((h * 60 + m) * MINUTE_MS)
}

/// Whether one of the windows is open; an empty list allows any time.
pub fn any_open(windows: &[Window], wall_ms: Millis) -> bool {
    windows.is_empty() || windows.iter().any(|w| w.contains(wall_ms))
}

/// The settings of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name in the path of its requests.
    pub name: String,
    /// Whether all of its requests may be sent twice.
    pub repeatable: bool,
    /// Maximum time for one request, queueing included.
    pub timeout_ms: Millis,
    /// Maximum number of requests that wait at one entry.
    pub queue_max: usize,
}

impl Service {
    /// Creates a service with the default settings.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_string(),
            repeatable: false,
            timeout_ms: 30_000,
            queue_max: 256,
        }
    }
}

/// The settings of a caller's account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name, unique among accounts.
    pub name: String,
    /// SHA-256 of its token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Maximum requests per second over all entries; 0 for no limit.
    pub rate_per_s: u64,
    /// Maximum number of requests at once after an idle time, over all entries.
    pub burst: u64,
}

/// The settings of a pool: its template with the account's parameters filled in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Name, unique among pools.
    pub name: String,
    /// Name of the account that set its parameters.
    pub account: String,
    /// Names of the services whose backend servers its hosts run.
    pub services: Vec<String>,
    /// Wanted number of hosts.
    pub hosts: usize,
    /// Minimum number of serving hosts.
    pub serving_min: usize,
    /// The failure that must still leave `serving_min` hosts.
    pub reserve: Reserve,
    /// Windows in which its hosts may leave for maintenance; empty for any time.
    pub windows: Vec<Window>,
    /// How many hosts a wave may take at once, as a percentage of those that the budget can spare.
    pub pace_percent: u64,
}

/// A whole configuration that has been checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
}

/// An error in a configuration text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Line, counted from 1; 0 if it is unknown.
    pub line: usize,
    /// What is wrong, and what is allowed.
    pub reason: String,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.reason)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    #[serde(default)]
    service: Vec<RawService>,
    #[serde(default)]
    account: Vec<RawAccount>,
    #[serde(default)]
    template: Vec<RawTemplate>,
    #[serde(default)]
    pool: Vec<RawPool>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    name: Spanned<String>,
    #[serde(default)]
    repeatable: bool,
    timeout_ms: Option<Spanned<i64>>,
    queue_max: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAccount {
    name: Spanned<String>,
    token_sha256: Spanned<String>,
    rate_per_s: Option<Spanned<i64>>,
    burst: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTemplate {
    name: Spanned<String>,
    #[serde(default)]
    fields: BTreeMap<Spanned<String>, RawField>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawField {
    min: Option<i64>,
    max: Option<i64>,
    allowed: Option<Vec<String>>,
    default: Option<Spanned<toml::Value>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPool {
    name: Spanned<String>,
    account: Spanned<String>,
    template: Spanned<String>,
    services: Vec<Spanned<String>>,
    #[serde(default)]
    parameters: BTreeMap<Spanned<String>, Spanned<toml::Value>>,
}

/// The type of a template's field.
#[derive(Clone, Copy, PartialEq)]
enum FieldType {
    Integer { min: i64, max: i64 },
    Choice(&'static [&'static str]),
    Windows,
}

/// The fields of a pool template: name, type with its widest range, and default.
const FIELDS: [(&str, FieldType, &str); 6] = [
    ("hosts", FieldType::Integer { min: 1, max: 500 }, "1"),
    ("serving_min", FieldType::Integer { min: 0, max: 500 }, "0"),
    (
        "serving_percent",
        FieldType::Integer { min: 0, max: 100 },
        "0",
    ),
    (
        "reserve",
        FieldType::Choice(&["none", "host", "rack"]),
        "host",
    ),
    ("windows", FieldType::Windows, ""),
    (
        "pace_percent",
        FieldType::Integer { min: 1, max: 100 },
        "100",
    ),
];

struct Checker<'a> {
    text: &'a str,
}

type Checked<T> = Result<T, ConfigError>;

impl Checker<'_> {
    fn line_at(&self, offset: usize) -> usize {
        let upto = offset.min(self.text.len());
        1 + self.text.as_bytes()[..upto]
            .iter()
            .filter(|b| **b == b'\n')
            .count()
    }

    fn error_at<T, V>(&self, at: &Spanned<V>, reason: impl Into<String>) -> Checked<T> {
        Err(ConfigError {
            line: self.line_at(at.span().start),
            reason: reason.into(),
        })
    }

    fn check_name(&self, name: &Spanned<String>) -> Checked<String> {
        let s = name.get_ref();
        let fits = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        if s.is_empty() || s.len() > 64 || !s.bytes().all(fits) {
            return self.error_at(
                name,
                format!("name {s:?}: must be 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'"),
            );
        }
        Ok(s.clone())
    }

    fn check_unique_name<V>(
        &self,
        seen: &BTreeMap<String, V>,
        name: &Spanned<String>,
    ) -> Checked<String> {
        let checked = self.check_name(name)?;
        if seen.contains_key(&checked) {
            return self.error_at(name, format!("{checked:?} is defined twice"));
        }
        Ok(checked)
    }

    fn check_range(
        &self,
        value: &Option<Spanned<i64>>,
        what: &str,
        range: std::ops::RangeInclusive<i64>,
        default: u64,
    ) -> Checked<u64> {
        let Some(v) = value else {
            return Ok(default);
        };
        if !range.contains(v.get_ref()) {
            let (min, max) = range.into_inner();
            return self.error_at(
                v,
                format!("{what} = {}: must be {min} to {max}", v.get_ref()),
            );
        }
        Ok(u64::try_from(*v.get_ref()).unwrap_or(default))
    }

    fn check_service(
        &self,
        raw: &RawService,
        seen: &BTreeMap<String, Service>,
    ) -> Checked<Service> {
        let name = self.check_unique_name(seen, &raw.name)?;
        let defaults = Service::new(&name);
        let timeout_ms = self.check_range(
            &raw.timeout_ms,
            "timeout_ms",
            10..=3_600_000,
            defaults.timeout_ms,
        )?;
        let queue_max = self.check_range(&raw.queue_max, "queue_max", 0..=65_536, 256)?;
        Ok(Service {
            name,
            repeatable: raw.repeatable,
            timeout_ms,
            queue_max: usize::try_from(queue_max).unwrap_or(usize::MAX),
        })
    }

    fn check_account(
        &self,
        raw: &RawAccount,
        seen: &BTreeMap<String, Account>,
    ) -> Checked<Account> {
        let name = self.check_unique_name(seen, &raw.name)?;
        let hash = raw.token_sha256.get_ref().to_ascii_lowercase();
        if hash.len() != 64 || !hash.bytes().all(|b| b.is_ascii_hexdigit()) {
            return self.error_at(
                &raw.token_sha256,
                "token_sha256: must be 64 hexadecimal digits",
            );
        }
        let rate_per_s = self.check_range(&raw.rate_per_s, "rate_per_s", 0..=1_000_000, 0)?;
        let burst = self.check_range(&raw.burst, "burst", 1..=1_000_000, rate_per_s.max(1))?;
        Ok(Account {
            name,
            token_sha256: hash,
            rate_per_s,
            burst,
        })
    }

    fn check_pool(
        &self,
        raw: &RawPool,
        templates: &HashMap<String, &RawTemplate>,
        config: &Config,
    ) -> Checked<Pool> {
        let name = self.check_unique_name(&config.pools, &raw.name)?;
        let account = raw.account.get_ref().clone();
        if !config.accounts.contains_key(&account) {
            return self.error_at(&raw.account, format!("no account {account:?}"));
        }
        let Some(template) = templates.get(raw.template.get_ref()) else {
            let reason = format!("no template {:?}", raw.template.get_ref());
            return self.error_at(&raw.template, reason);
        };
        let mut services = Vec::new();
        for service in &raw.services {
            if !config.services.contains_key(service.get_ref()) {
                return self.error_at(service, format!("no service {:?}", service.get_ref()));
            }
            services.push(service.get_ref().clone());
        }
        for key in raw.parameters.keys() {
            if !template.fields.contains_key(key.get_ref().as_str()) {
                let t = raw.template.get_ref();
                let reason = format!("template {t:?} has no field {:?}", key.get_ref());
                return self.error_at(key, reason);
            }
        }
        let hosts = self.read_integer(raw, template, 0)?;
        let least = self.read_integer(raw, template, 1)?;
        let percent = self.read_integer(raw, template, 2)?;
        let serving_min = least.max((hosts * percent).div_ceil(100));
        if serving_min > hosts {
            let reason = format!("{serving_min} hosts must serve, but the pool has {hosts}");
            return self.error_at(&raw.name, reason);
        }
        let reserve = match self.read_value(raw, template, 3)?.as_str() {
            "none" => Reserve::None,
            "rack" => Reserve::Rack,
            _ => Reserve::Host,
        };
        let windows = self.read_value(raw, template, 4)?;
        Ok(Pool {
            name,
            account,
            services,
            hosts,
            serving_min,
            reserve,
            windows: windows
                .split_whitespace()
                .filter_map(Window::parse)
                .collect(),
            pace_percent: self.read_integer(raw, template, 5)? as u64,
        })
    }

    fn read_integer(&self, raw: &RawPool, template: &RawTemplate, field: usize) -> Checked<usize> {
        let text = self.read_value(raw, template, field)?;
        Ok(text.parse().unwrap_or(0))
    }

    /// Returns the value of a field as text: the account's parameter, else the template's default, else the default in
    /// `FIELDS`.
    fn read_value(&self, raw: &RawPool, template: &RawTemplate, field: usize) -> Checked<String> {
        let (name, kind, default) = FIELDS[field];
        let limits = template.fields.get(name);
        if let Some(given) = raw.parameters.get(name) {
            return self.check_value(name, kind, limits, given);
        }
        match limits.and_then(|l| l.default.as_ref()) {
            Some(given) => self.check_value(name, kind, limits, given),
            None => {
                self.check_own_default(raw, name, kind, limits, default)?;
                Ok(default.to_string())
            }
        }
    }

    /// Checks that the product's own default of a field, which a pool uses, is within the range to which its template
    /// narrows the field.
    fn check_own_default(
        &self,
        raw: &RawPool,
        name: &str,
        kind: FieldType,
        limits: Option<&RawField>,
        default: &str,
    ) -> Checked<()> {
        let Some(limits) = limits else {
            return Ok(());
        };
        let is_allowed = match kind {
            FieldType::Integer { .. } => {
                let (min, max) = (limits.min.unwrap_or(0), limits.max.unwrap_or(i64::MAX));
                default
                    .parse::<i64>()
                    .is_ok_and(|n| (min..=max).contains(&n))
            }
            FieldType::Choice(_) => {
                let allowed = limits.allowed.as_ref();
                allowed.is_none_or(|allowed| allowed.iter().any(|value| value == default))
            }
            FieldType::Windows => true,
        };
        if is_allowed {
            return Ok(());
        }
        let reason = format!(
            "{name}: the default of {default} is not allowed by the template; name a value"
        );
        self.error_at(&raw.name, reason)
    }

    fn check_value(
        &self,
        name: &str,
        kind: FieldType,
        limits: Option<&RawField>,
        given: &Spanned<toml::Value>,
    ) -> Checked<String> {
        match (kind, given.get_ref()) {
            (FieldType::Integer { min, max }, toml::Value::Integer(n)) => {
                let min = limits.and_then(|l| l.min).unwrap_or(min).max(min);
                let max = limits.and_then(|l| l.max).unwrap_or(max).min(max);
                if !(min..=max).contains(n) {
                    return self.error_at(given, format!("{name} = {n}: must be {min} to {max}"));
                }
                Ok(n.to_string())
            }
            (FieldType::Choice(all), toml::Value::String(s)) => {
                let narrowed = limits.and_then(|l| l.allowed.as_ref());
                let allowed: Vec<&str> = match narrowed {
                    Some(list) => list.iter().map(String::as_str).collect(),
                    None => all.to_vec(),
                };
                if !allowed.contains(&s.as_str()) || !all.contains(&s.as_str()) {
                    return self
                        .error_at(given, format!("{name} = {s:?}: must be one of {allowed:?}"));
                }
                Ok(s.clone())
            }
            (FieldType::Windows, toml::Value::Array(list)) => {
                let mut spans = Vec::new();
                for item in list {
                    match item.as_str().filter(|s| Window::parse(s).is_some()) {
                        Some(s) => spans.push(s.to_string()),
                        None => {
                            return self.error_at(
                                given,
                                format!("{name}: must be \"HH:MM-HH:MM\", not {item}"),
                            )
                        }
                    }
                }
                Ok(spans.join(" "))
            }
            (FieldType::Integer { .. }, v) => {
                self.error_at(given, format!("{name} = {v}: must be an integer"))
            }
            (FieldType::Choice(_), v) => {
                self.error_at(given, format!("{name} = {v}: must be a string"))
            }
            (FieldType::Windows, v) => {
                self.error_at(given, format!("{name} = {v}: must be a list"))
            }
        }
    }
}

/// Parses and checks a whole configuration text.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    let checker = Checker { text };
    let raw: RawFile = toml::from_str(text).map_err(|e| ConfigError {
        line: e.span().map_or(0, |s| checker.line_at(s.start)),
        reason: match e.message().replace('\n', " ") {
            empty if empty.is_empty() => "not valid TOML".to_string(),
            message => message,
        },
    })?;
    let mut config = Config::default();
    for s in &raw.service {
        let service = checker.check_service(s, &config.services)?;
        config.services.insert(service.name.clone(), service);
    }
    for a in &raw.account {
        let account = checker.check_account(a, &config.accounts)?;
        config.accounts.insert(account.name.clone(), account);
    }
    let templates = check_templates(&checker, &raw)?;
    for p in &raw.pool {
        let pool = checker.check_pool(p, &templates, &config)?;
        config.pools.insert(pool.name.clone(), pool);
    }
    Ok(config)
}

fn check_templates<'a>(
    checker: &Checker<'_>,
    raw: &'a RawFile,
) -> Checked<HashMap<String, &'a RawTemplate>> {
    let mut templates = HashMap::new();
    for t in &raw.template {
        let name = checker.check_name(&t.name)?;
        for (field, limits) in &t.fields {
            let Some((_, kind, _)) = FIELDS.iter().find(|(n, _, _)| n == field.get_ref()) else {
                let known: Vec<&str> = FIELDS.iter().map(|(n, _, _)| *n).collect();
                let reason = format!("field {:?}: must be one of {known:?}", field.get_ref());
                return checker.error_at(field, reason);
            };
            if let Some(default) = &limits.default {
                checker.check_value(field.get_ref(), *kind, Some(limits), default)?;
            }
        }
        if templates.insert(name.clone(), t).is_some() {
            return checker.error_at(&t.name, format!("{name:?} is defined twice"));
        }
    }
    Ok(templates)
}

/// Returns one line for each service, account and pool that differs between two configurations.
pub fn differences(old: &Config, new: &Config) -> Vec<String> {
    let mut lines = Vec::new();
    compare("service", &old.services, &new.services, &mut lines);
    compare("account", &old.accounts, &new.accounts, &mut lines);
    compare("pool", &old.pools, &new.pools, &mut lines);
    lines
}

fn compare<T: PartialEq>(
    what: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    lines: &mut Vec<String>,
) {
    for (name, value) in new {
        match old.get(name) {
            None => lines.push(format!("{what} {name}: added")),
            Some(before) if before != value => lines.push(format!("{what} {name}: changed")),
            Some(_) => {}
        }
    }
    for name in old.keys().filter(|n| !new.contains_key(*n)) {
        lines.push(format!("{what} {name}: removed"));
    }
}
