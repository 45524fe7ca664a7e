//! Reads the settings object section by section. This module alone maps keys and defaults to the
//! fields of the settings.

use crate::error::ConfigError;
use crate::fields::{FieldError, Fields};
use serde_json::Value;
use std::collections::HashMap;
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency, RequestClass, RolloutPolicy, Settings, Tenant};

/// The zones of the service, and which of them the agent is in.
pub(super) struct Zones {
    pub names: Vec<String>,
    pub indices: HashMap<String, usize>,
    /// The index of the agent's own zone.
    pub local_zone: usize,
}

impl Zones {
    /// Reads the keys `zones` and `zone`.
    pub fn read(service: &Fields) -> Result<Zones, ConfigError> {
        let mut names = Vec::new();
        for name in service.array("zones")? {
            let name = name
                .as_str()
                .ok_or_else(|| FieldError::wrong_elements("zones", "names"))?;
            names.push(name.to_owned());
        }
        let indices = index_names("zones", "zone", &names)?;
        let local_zone_name = service.text("zone")?;
        let Some(local_zone) = indices.get(local_zone_name).copied() else {
            return Err(ConfigError::UndefinedZone {
                name: local_zone_name.to_owned(),
            });
        };
        Ok(Zones {
            names,
            indices,
            local_zone,
        })
    }
}

/// The request classes with their names and indices.
pub(super) struct Classes {
    pub classes: Vec<RequestClass>,
    pub names: Vec<String>,
    pub indices: HashMap<String, usize>,
    /// The longest request timeout of any class.
    pub longest_timeout: Duration,
}

impl Classes {
    /// Reads the key `classes`.
    pub fn read(service: &Fields) -> Result<Classes, ConfigError> {
        let mut classes = Vec::new();
        let mut names = Vec::new();
        let mut longest_timeout = Duration::ZERO;
        for value in service.array("classes")? {
            let fields = Fields::new(value, "classes")?;
            names.push(fields.text("name")?.to_owned());
            let timeout = fields.duration_ms_or("give-up-ms", 0.0)?;
            longest_timeout = longest_timeout.max(timeout);
            classes.push(read_class(&fields)?);
        }
        let indices = index_names("classes", "class", &names)?;
        Ok(Classes {
            classes,
            names,
            indices,
            longest_timeout,
        })
    }
}

fn read_class(fields: &Fields) -> Result<RequestClass, FieldError> {
    let idempotency = read_idempotency(fields)?;
    Ok(RequestClass {
        latency_objective: fields.duration_ms("aim-ms")?,
        priority_weight: fields.number_or("points", 1.0)?,
        idempotency,
    })
}

fn read_idempotency(fields: &Fields) -> Result<Idempotency, FieldError> {
    match fields.text("idempotency")? {
        "repeatable" => Ok(Idempotency::Idempotent),
        "once" => Ok(Idempotency::NonIdempotent),
        "by_key" => Ok(Idempotency::Keyed {
            scope: read_deduplication_scope(fields)?,
            window: fields.duration_ms("window-ms")?,
        }),
        other => Err(FieldError::unknown_value("idempotency", other)),
    }
}

fn read_deduplication_scope(fields: &Fields) -> Result<DeduplicationScope, FieldError> {
    match fields.text("dedup-scope")? {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(FieldError::unknown_value("dedup-scope", other)),
    }
}

/// The tenants, and their indices by name.
pub(super) struct Tenants {
    pub tenants: Vec<Tenant>,
    pub indices: HashMap<String, usize>,
}

impl Tenants {
    /// Reads the key `tenants`.
    pub fn read(service: &Fields) -> Result<Tenants, ConfigError> {
        let values = service.array_or_empty("tenants")?;
        let mut tenants = Vec::with_capacity(values.len());
        let mut names = Vec::with_capacity(values.len());
        for value in values {
            let fields = Fields::new(value, "tenants")?;
            let name = fields.text("name")?;
            tenants.push(read_tenant(&fields, name)?);
            names.push(name);
        }
        let indices = index_names("tenants", "tenant", &names)?;
        Ok(Tenants { tenants, indices })
    }
}

fn read_tenant(fields: &Fields, name: &str) -> Result<Tenant, ConfigError> {
    let share = fields.number_or("share", 1.0)?;
    if !(0.0..=1.0).contains(&share) {
        return Err(ConfigError::OutOfRange {
            key: "share",
            expected: format!("tenant '{name}': expected a share from 0 to 1"),
        });
    }
    Ok(Tenant { share })
}

/// The indices of the names in the list under `key`. Names must be unique.
fn index_names(
    key: &'static str,
    kind: &'static str,
    names: &[impl AsRef<str>],
) -> Result<HashMap<String, usize>, ConfigError> {
    let mut indices = HashMap::with_capacity(names.len());
    for (index, name) in names.iter().enumerate() {
        let name = name.as_ref();
        if indices.insert(name.to_owned(), index).is_some() {
            return Err(ConfigError::DuplicateName {
                key,
                kind,
                name: name.to_owned(),
            });
        }
    }
    Ok(indices)
}

/// The settings object and its nested objects.
pub(super) struct Sections<'a> {
    /// The settings object.
    pub service: &'a Fields<'a>,
    /// The agent's limits and the features that it may use.
    pub limits: Fields<'a>,
    /// Slow start and overload of endpoints, and how often the endpoint list must be polled.
    pub rules: Fields<'a>,
    /// The prices of operations: attempts that cross zones, and connection handshakes.
    pub prices: Fields<'a>,
    /// How builds are rolled out, and how votes on them are taken.
    pub domain: Fields<'a>,
}

impl<'a> Sections<'a> {
    /// Looks up the nested objects, all of which are required.
    pub fn read(service: &'a Fields<'a>) -> Result<Sections<'a>, FieldError> {
        Ok(Sections {
            service,
            limits: service.object("limits")?,
            rules: service.object("rules")?,
            prices: service.object("prices")?,
            domain: service.object("domain")?,
        })
    }

    /// The exposure cap of each rollout stage: the largest share of requests that a canary may get.
    pub fn exposure_caps(&self) -> Result<Vec<f64>, FieldError> {
        let values = self.domain.array("most-shares")?;
        let cap = |value: &Value| {
            value
                .as_f64()
                .ok_or_else(|| FieldError::wrong_elements("most-shares", "numbers"))
        };
        values.iter().map(cap).collect()
    }

    /// Reads the balancer's settings; `zone` is the index of the agent's own zone.
    pub fn settings(
        &self,
        seed: u64,
        zone: usize,
        classes: Vec<RequestClass>,
        tenants: Vec<Tenant>,
        caps: Vec<f64>,
    ) -> Result<Settings, FieldError> {
        let retry_after = self.retry_after()?;
        let agents = self.service.unsigned_or("instances", 1)? as u32;
        let discovery_is_polled = self.service.text("discovery")? == "ask";
        Ok(Settings {
            seed,
            agents,
            zone,
            classes,
            tenants,
            weight_by_work: self.service.optional_text("value-by") == Some("work"),
            list_polled: discovery_is_polled,
            shared_discovery: discovery_is_polled,
            max_poll_interval: self.rules.duration_ms_or("must-ask-in-ms", 10_000.0)?,
            hedging: self.limits.boolean_or_false("second-copies")?,
            cancellation: self.limits.boolean_or_false("cancel")?,
            retry_after,
            max_attempts: self.limits.unsigned_or("try-limit", 1)? as usize,
            cross_zone_price: self.prices.number_or("cross-zone", 0.0)?,
            slow_start_share: self.rules.number_or("cold-share", 0.1)?,
            slow_start_duration: self.rules.duration_ms_or("cold-ms", 10_000.0)?,
            overload_window: self.rules.duration_ms_or("fall-ms", 2_000.0)?,
            overload_factor: self.rules.number_or("fall-multiple", 2.0)?,
            load_probes: self.limits.boolean_or_false("probes")?,
            key_affinity: self.domain.boolean_or_false("warm-keys")?,
            timer_granularity: self.service.duration_ms_or("granularity-ms", 1.0)?,
            rollout: self.rollout_policy(caps)?,
        })
    }

    /// The longest retry-after time that a rejection may state; `None` if it may not state any.
    fn retry_after(&self) -> Result<Option<Duration>, FieldError> {
        let allowed = self.limits.boolean_or_false("retry-after")?;
        let longest = self.limits.duration_ms_or("max-retry-after-ms", 0.0)?;
        Ok(allowed.then_some(longest))
    }

    fn rollout_policy(&self, caps: Vec<f64>) -> Result<RolloutPolicy, FieldError> {
        let domain = &self.domain;
        Ok(RolloutPolicy {
            caps,
            exposure_burst: domain.number_or("spare-tries", 0.0)?,
            cap_per_class: domain.text("cap-scope")? == "class",
            guarded_stages: domain.unsigned_or("closed-stages", 0)? as usize,
            sticky_builds: domain.boolean_or_false("no-return")?,
            timed_stages: domain.text("decided-by")? == "timer",
            in_place: domain.text("swap")? == "in_place",
            votes_to_roll_back: domain.unsigned_or("noes-needed", 1)? as u32,
            platform_counts: self.platform_publishes_counts()?,
            votes_to_hold: domain.unsigned_or("votes-to-hold", 1)? as u32,
            vote_ttl: domain.duration_ms("vote-ttl-ms")?,
            vote_timeout: domain.duration_ms("vote-wait-ms")?,
            votes_per_second: domain.number_or("api-rate", 1.0)?,
            reported_error_share: domain.number_or("reported-share", 1.0)?,
        })
    }

    fn platform_publishes_counts(&self) -> Result<bool, FieldError> {
        let interval_ms = self.domain.number_or("tally-every-ms", 0.0)?;
        if interval_ms <= 0.0 {
            return Ok(false);
        }
        let counted_share = self.domain.number_or("counted-share", 0.0)?;
        Ok(counted_share > 0.0)
    }

    /// The timeout for opening a connection to an endpoint.
    pub fn connect_timeout(&self) -> Result<Duration, FieldError> {
        self.limits.duration_ms_or("dial-timeout-ms", 1000.0)
    }

    /// The time after which an endpoint closes an idle connection.
    pub fn endpoint_idle_timeout(&self) -> Result<Duration, FieldError> {
        self.limits.duration_ms_or("conn-idle-ms", 30_000.0)
    }

    /// The cost of opening a connection, in points of the service's score.
    pub fn handshake_price(&self) -> Result<f64, FieldError> {
        self.prices.number_or("handshake", 0.0)
    }
}
