//! The one place where a deployment's settings are read, checked and given defaults. A fault names
//! its key.

mod document;
mod fields;
mod installation;
mod instance;
mod renewal;
mod service;

pub use document::{ConfigDiagnostic, Reader, SourceLocation};
pub use fields::{millis, span, Fields};
pub use installation::{Door, Installation, LogForm, UNNAMED};
pub use instance::Instance;
use serde_json::Value;
pub use service::read_service;
use std::collections::HashMap;
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency, RequestClass, RolloutPolicy, Settings, Tenant};

/// Names met at the door, numbered in the order they came.
#[derive(Default)]
pub struct Names(HashMap<String, usize>, Vec<String>);

impl Names {
    pub fn number(&mut self, name: &str) -> usize {
        if let Some(n) = self.0.get(name) {
            return *n;
        }
        self.0.insert(name.to_owned(), self.1.len());
        self.1.push(name.to_owned());
        self.1.len() - 1
    }
    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.get(name).copied()
    }
    pub fn name(&self, number: usize) -> &str {
        &self.1[number]
    }
}

/// The number that equal names share, at every agent and in every version (FNV-1a, 64 bits).
pub fn number(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |n, b| {
        (n ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// What is wrong with the settings.
#[derive(Debug, PartialEq)]
pub enum ConfigError {
    /// A key is missing or of the wrong form.
    Key(String),
    /// A name is used that the settings themselves do not define.
    Undefined(String),
}

impl From<String> for ConfigError {
    fn from(what: String) -> ConfigError {
        ConfigError::Key(what)
    }
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let (ConfigError::Key(what) | ConfigError::Undefined(what)) = self;
        f.write_str(what)
    }
}

/// A deployment with the names that stand for its indices, and what connections are held to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    pub settings: Settings,
    /// By number, with those whose names have gone.
    pub classes: Vec<String>,
    /// By number, with those whose names have gone.
    pub zones: Vec<String>,
    pub connect_timeout: Duration,
    pub max_idle: Duration,
    /// What a connection opened for each request would cost, in points of service; 0 where
    /// connections cost nothing.
    pub handshake_price: f64,
    pub longest_timeout: Duration,
    class_indices: HashMap<String, usize>,
    tenant_indices: HashMap<String, usize>,
    zone_indices: HashMap<String, usize>,
    retired_classes: Vec<usize>, // classes in which only requests in hand count
}

/// The names of a list of settings by number; a name that stands there twice is at fault.
fn numbers<'a>(
    key: &str,
    what: &str,
    names: impl ExactSizeIterator<Item = &'a str>,
) -> Result<HashMap<String, usize>, String> {
    let mut numbers = HashMap::with_capacity(names.len());
    for (n, name) in names.enumerate() {
        if numbers.insert(name.to_owned(), n).is_some() {
            return Err(format!("field {key}: the {what} '{name}' stands twice"));
        }
    }
    Ok(numbers)
}

impl ServiceConfig {
    pub fn read(s: &Fields, seed: u64) -> Result<ServiceConfig, ConfigError> {
        let zones = names(s.array("zones")?)?;
        let zone_numbers = numbers("zones", "zone", zones.iter().map(String::as_str))?;
        let zone = s.text("zone")?;
        let Some(zone) = zone_numbers.get(zone).copied() else {
            return Err(ConfigError::Undefined(format!("unknown zone '{zone}'")));
        };
        let (mut classes, mut class_names, mut longest_expiry) =
            (Vec::new(), Vec::new(), Duration::ZERO);
        for class in s.array("classes")? {
            let c = Fields::of(class, "classes")?;
            class_names.push(c.text("name")?.to_owned());
            longest_expiry = longest_expiry.max(c.span_or("give-up-ms", 0.0)?);
            let idempotency = match c.text("idempotency")? {
                "repeatable" => Idempotency::Idempotent,
                "once" => Idempotency::NonIdempotent,
                "by_key" => Idempotency::Keyed {
                    scope: group(&c)?,
                    window: c.span("window-ms")?,
                },
                other => return Err(format!("field idempotency: unknown value '{other}'").into()),
            };
            classes.push(RequestClass {
                latency_objective: c.span("aim-ms")?,
                priority_weight: c.number_or("points", 1.0)?,
                idempotency,
            });
        }
        let class_indices = numbers("classes", "class", class_names.iter().map(String::as_str))?;
        let tenant_fields = s.array_or_none("tenants")?;
        let mut tenants = Vec::with_capacity(tenant_fields.len());
        let mut tenant_names = Vec::new();
        for tenant in tenant_fields {
            let t = Fields::of(tenant, "tenants")?;
            let (name, share) = (t.text("name")?, t.number_or("share", 1.0)?);
            if !(0.0..=1.0).contains(&share) {
                return Err(
                    format!("field share: tenant '{name}': a share from 0 to 1 is wanted").into(),
                );
            }
            tenant_names.push(name);
            tenants.push(Tenant { share });
        }
        let tenant_indices = numbers("tenants", "tenant", tenant_names.into_iter())?;
        let (limits, rules, prices) = (s.inner("limits")?, s.inner("rules")?, s.inner("prices")?);
        let domain = s.inner("domain")?;
        let mut caps = Vec::new();
        for cap in domain.array("most-shares")? {
            caps.push(
                cap.as_f64()
                    .ok_or("field most-shares: numbers are wanted".to_owned())?,
            );
        }
        check(s, &domain, &rules, caps.len())?;
        let retry_after = limits
            .flag("retry-after")?
            .then_some(limits.span_or("max-retry-after-ms", 0.0)?);
        let settings = Settings {
            seed,
            agents: s.whole_or("instances", 1)? as u32,
            zone,
            classes,
            tenants,
            weight_by_work: s.maybe("value-by").and_then(Value::as_str) == Some("work"),
            list_polled: s.text("discovery")? == "ask",
            shared_discovery: s.text("discovery")? == "ask",
            max_poll_interval: rules.span_or("must-ask-in-ms", 10_000.0)?,
            hedging: limits.flag("second-copies")?,
            cancellation: limits.flag("cancel")?,
            retry_after,
            max_attempts: limits.whole_or("try-limit", 1)? as usize,
            cross_zone_price: prices.number_or("cross-zone", 0.0)?,
            slow_start_share: rules.number_or("cold-share", 0.1)?,
            slow_start_duration: rules.span_or("cold-ms", 10_000.0)?,
            overload_window: rules.span_or("fall-ms", 2_000.0)?,
            overload_factor: rules.number_or("fall-multiple", 2.0)?,
            load_probes: limits.flag("probes")?,
            key_affinity: domain.flag("warm-keys")?,
            timer_granularity: s.span_or("granularity-ms", 1.0)?,
            rollout: RolloutPolicy {
                caps,
                exposure_burst: domain.number_or("spare-tries", 0.0)?,
                cap_per_class: domain.text("cap-scope")? == "class",
                guarded_stages: domain.whole_or("closed-stages", 0)? as usize,
                sticky_builds: domain.flag("no-return")?,
                timed_stages: domain.text("decided-by")? == "timer",
                in_place: domain.text("swap")? == "in_place",
                votes_to_roll_back: domain.whole_or("noes-needed", 1)? as u32,
                platform_counts: domain.number_or("tally-every-ms", 0.0)? > 0.0
                    && domain.number_or("counted-share", 0.0)? > 0.0,
                votes_to_hold: domain.whole_or("votes-to-hold", 1)? as u32,
                vote_ttl: domain.span("vote-ttl-ms")?,
                vote_timeout: domain.span("vote-wait-ms")?,
                votes_per_second: domain.number_or("api-rate", 1.0)?,
                reported_error_share: domain.number_or("reported-share", 1.0)?,
            },
        };
        Ok(ServiceConfig {
            settings,
            classes: class_names,
            zones,
            connect_timeout: limits.span_or("dial-timeout-ms", 1000.0)?,
            max_idle: limits.span_or("conn-idle-ms", 30_000.0)?,
            handshake_price: prices.number_or("handshake", 0.0)?,
            longest_timeout: longest_expiry,
            class_indices,
            tenant_indices,
            zone_indices: zone_numbers,
            retired_classes: Vec::new(),
        })
    }

    pub fn class(&self, name: &str) -> Option<usize> {
        self.class_indices.get(name).copied()
    }

    /// Whether requests of this class have a key by which repeats are told.
    pub fn is_keyed(&self, class: usize) -> bool {
        matches!(
            self.settings.classes[class].idempotency,
            Idempotency::Keyed { .. }
        )
    }

    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.tenant_indices.get(name).copied()
    }

    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zone_indices.get(name).copied()
    }

    /// How many classes, tenants and zones have names.
    pub fn named_counts(&self) -> [usize; 3] {
        [
            self.class_indices.len(),
            self.tenant_indices.len(),
            self.zone_indices.len(),
        ]
    }
}

/// What is in no range gets one line that names its key.
fn check(s: &Fields, domain: &Fields, rules: &Fields, stages: usize) -> Result<(), String> {
    let wrong = |key: &str, what: String| Err(format!("field {key}: {what}"));
    let limits = s.inner("limits")?;
    for (of, key) in [
        (s, "instances"),
        (domain, "noes-needed"),
        (&limits, "try-limit"),
    ] {
        if of.whole_or(key, 1)? == 0 {
            return wrong(key, "one at least is wanted".into());
        }
    }
    if domain.whole_or("closed-stages", 0)? as usize > stages {
        return wrong("closed-stages", format!("there are {stages} stages"));
    }
    for (of, key) in [
        (domain, "reported-share"),
        (domain, "counted-share"),
        (rules, "cold-share"),
    ] {
        if !(0.0..=1.0).contains(&of.number_or(key, 0.0)?) {
            return wrong(key, "a share from 0 to 1 is wanted".into());
        }
    }
    for cap in domain.array("most-shares")? {
        if !cap.as_f64().is_some_and(|c| (0.0..=1.0).contains(&c)) {
            return wrong("most-shares", "shares from 0 to 1 are wanted".into());
        }
    }
    let spans = [
        (s, "granularity-ms"),
        (rules, "must-ask-in-ms"),
        (&limits, "dial-timeout-ms"),
        (&limits, "conn-idle-ms"),
    ];
    for (of, key) in spans {
        if of.number_or(key, 1.0)? <= 0.0 {
            return wrong(key, "more than 0 is wanted".into());
        }
    }
    if rules.number_or("fall-multiple", 2.0)? < 1.0 {
        return wrong("fall-multiple", "1 or more is wanted".into());
    }
    Ok(())
}

fn group(c: &Fields) -> Result<DeduplicationScope, String> {
    Ok(match c.text("dedup-scope")? {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        other => return Err(format!("field dedup-scope: unknown value '{other}'")),
    })
}

fn names(list: &[Value]) -> Result<Vec<String>, String> {
    let text = |v: &Value| {
        v.as_str()
            .map(str::to_owned)
            .ok_or_else(|| "field zones: names are wanted".to_owned())
    };
    list.iter().map(text).collect()
}
