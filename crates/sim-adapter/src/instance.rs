//! One instance: the wire's names on one side, a `Balancer` with its small indices on the other.

use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tulipwall::*;
use tulipwall_config::{
    duration_from_ms, duration_to_ms, stable_hash, ConfigError, Fields, NameTable, ServiceConfig,
};

pub const KNOWN: [&str; 10] = [
    "Targets",
    "Accept",
    "UnderWay",
    "ReportBack",
    "Gone",
    "DeadlineHit",
    "ProbeDone",
    "PeerData",
    "Promotion",
    "PeriodSums",
];

pub struct Instance {
    choice: Balancer,
    start: Duration,
    site: ServiceConfig,
    endpoints: NameTable,
    kinds: NameTable,
    commands: HashMap<String, u64>,
    indices_in_use: BTreeMap<u64, IndicesInUse>,
    taken: u64,
    wake: Option<Duration>,
}

/// A request in hand: its wire name, and how many attempts are still out.
struct IndicesInUse {
    name: String,
    out: usize,
    closed: bool,
}

impl Instance {
    pub fn open(now: Duration, start: Duration, item: &Fields) -> Result<Instance, ConfigError> {
        let seed = item
            .integer("salt")
            .map(|n| n as u64)
            .or_else(|_| item.unsigned("salt"))?;
        let site = ServiceConfig::read(&item.object("settings")?, seed)?;
        Ok(Instance {
            choice: Balancer::new(now.saturating_sub(start), site.settings.clone()),
            start,
            site,
            endpoints: NameTable::default(),
            kinds: NameTable::default(),
            commands: HashMap::new(),
            indices_in_use: BTreeMap::new(),
            taken: 0,
            wake: None,
        })
    }

    pub fn tell(
        &mut self,
        clock: Duration,
        kind: &str,
        item: &Fields,
        sheets: &crate::Sheets,
        said: &mut Vec<Value>,
    ) -> Result<(), String> {
        let now = clock.saturating_sub(self.start);
        match kind {
            "Targets" => self.targets(now, item, sheets, said)?,
            "Accept" => {
                let (name, class) = (item.text("txn")?, item.text("tier-class")?);
                let Some(class) = self.site.class_index(class) else {
                    said.push(
                        json!({"t": "Fatal", "note-text": format!("unknown lane '{class}'")}),
                    );
                    return Ok(());
                };
                let owner = item.optional("owner").and_then(Value::as_str);
                let tenant = owner.and_then(|o| self.site.tenant_index(o));
                let key = item
                    .optional("route-key")
                    .and_then(Value::as_str)
                    .map(stable_hash);
                let left = item.duration_ms("patience-left-ms")?;
                let id = self.taken;
                self.taken += 1;
                self.commands.insert(name.to_owned(), id);
                self.indices_in_use.insert(
                    id,
                    IndicesInUse {
                        name: name.to_owned(),
                        out: 0,
                        closed: false,
                    },
                );
                let work = item
                    .optional("estimate-ms")
                    .and_then(Value::as_f64)
                    .map(duration_from_ms);
                let again = item.boolean_or_false("again-by-client")?;
                self.choice.on_request(
                    now,
                    id,
                    Request {
                        class,
                        tenant,
                        key,
                        time_left: left,
                        estimated_work: work,
                        is_retry: again,
                    },
                );
                let answer = self.choice.route(now, id);
                self.write(id, answer, said);
            }
            "UnderWay" => {
                let (name, _) = (item.text("txn")?, item.unsigned("n")?);
                if let Some(id) = self.commands.get(name) {
                    self.choice.close_request(*id);
                }
            }
            "ReportBack" => {
                let (name, n) = (item.text("txn")?, item.unsigned("n")? as usize);
                let outcome = match outcome(item.text("state-code")?) {
                    Some(outcome) => outcome,
                    None => return Err("field state-code: unknown outcome".into()),
                };
                let (took, finished) = (
                    item.duration_ms("lag-ms")?,
                    item.boolean_or_false("finished")?,
                );
                let Some(id) = self.commands.get(name).copied() else {
                    return Ok(());
                };
                let end = AttemptEnd {
                    outcome,
                    latency: took,
                    request_closed: finished,
                    reported_load: held(item),
                };
                let answer = self.choice.on_attempt_end(now, id, n, end);
                if let Some(c) = self.indices_in_use.get_mut(&id) {
                    c.out = c.out.saturating_sub(1);
                    c.closed |= finished;
                }
                self.write(id, answer, said);
            }
            "Gone" => {
                if let Some(id) = self.commands.get(item.text("txn")?).copied() {
                    self.choice.close_request(id);
                    self.done(id);
                }
            }
            "DeadlineHit" => {
                let ctx = item.text("ctx")?;
                if ctx == "wait" {
                    self.wake = None;
                } else if let Ok(id) = ctx.parse::<u64>() {
                    if self.indices_in_use.get(&id).is_some_and(|c| !c.closed) {
                        let answer = self.choice.route(now, id);
                        self.write(id, answer, said);
                    }
                }
            }
            "Promotion" => self.promotion(now, item)?,
            "Flagged" => {
                let class = item.text("tier-class")?;
                let endpoint = self.endpoints.index_or_insert(item.text("appliance")?);
                if let Some(class) = self.site.class_index(class) {
                    self.choice.on_client_reported_error(
                        now,
                        endpoint,
                        class,
                        item.duration_ms_or("lateness-ms", 0.0)?,
                    );
                }
            }
            "PeriodSums" => {
                if let Some(class) = self.site.class_index(item.text("tier-class")?) {
                    self.choice.on_platform_counts(&PlatformCounts {
                        build: item.unsigned("rel")? as u32,
                        class,
                        attempts: item.unsigned_or("attempts", 0)? as f64,
                        failed: item.unsigned_or("errors", 0)? as f64,
                        mean_latency: item.duration_ms_or("lag-ms", 0.0)?,
                        age: item.duration_ms_or("lateness-ms", 0.0)?,
                    });
                }
            }
            "ProbeDone" => {
                let endpoint = self.endpoints.index_or_insert(item.text("appliance")?);
                let outcome =
                    outcome(item.text("state-code")?).ok_or("field state-code: unknown outcome")?;
                self.choice
                    .on_load_report(now, endpoint, outcome, held(item));
            }
            "PeerData" => {}
            other => return Err(format!("field t: unknown message '{other}'")),
        }
        Ok(())
    }

    /// After an instance's events: whatever the choice has due, and the timer for the next look.
    pub fn settle(&mut self, clock: Duration, said: &mut Vec<Value>) {
        let now = clock.saturating_sub(self.start);
        let due = self.choice.poll(now);
        if due.open_watch {
            said.push(json!({"t": "Listen", "want": true}));
        }
        if let Some(v) = due.vote {
            let code = match v.verdict {
                Verdict::Hold => 2,
                Verdict::RollBack => 3,
                Verdict::Withdraw => 0,
            };
            said.push(json!({"t": "Verdict", "rel": v.build, "wave": v.stage, "code": code}));
        }
        for endpoint in due.load_report_requests {
            said.push(json!({"t": "AskLoad", "appliance": self.endpoints.name(endpoint)}));
        }
        for note in due.log_lines {
            said.push(json!({"t": "Debug", "note-text": note}));
        }
        if self.wake.is_none_or(|w| due.next_poll < w) {
            self.wake = Some(due.next_poll);
            self.timer("wait".into(), due.next_poll, said);
        }
    }

    fn timer(&self, ctx: String, at: Duration, said: &mut Vec<Value>) {
        said.push(
            json!({"t": "Remind", "ctx": ctx, "instant-ms": duration_to_ms(self.start + at)}),
        );
    }

    fn write(&mut self, id: u64, answer: Decision, said: &mut Vec<Value>) {
        let Some(c) = self.indices_in_use.get_mut(&id) else {
            return;
        };
        let name = c.name.clone();
        match answer {
            Decision::Forward {
                endpoint,
                timeout,
                recheck_at: look,
            } => {
                c.out += 1;
                let endpoint = self.endpoints.name(endpoint);
                let ms = duration_to_ms(timeout).max(0.001);
                said.push(json!({"t": "Place", "txn": name, "appliance": endpoint, "give-up-after-ms": ms}));
                if let Some(at) = look {
                    self.timer(id.to_string(), at, said);
                }
            }
            Decision::Defer { until } => self.timer(id.to_string(), until, said),
            Decision::Reject { retry_after } => {
                c.closed = true;
                let ms = retry_after.map(duration_to_ms);
                said.push(json!({"t": "Deny", "txn": name, "cool-down-ms": ms}));
            }
            Decision::Fail => {
                c.closed = true;
                said.push(json!({"t": "RespondError", "txn": name}));
            }
            Decision::Cancel { attempt } => {
                said.push(json!({"t": "DropAttempt", "txn": name, "n": attempt}))
            }
            Decision::Await => {}
        }
        if self
            .indices_in_use
            .get(&id)
            .is_some_and(|c| c.closed && c.out == 0)
        {
            self.done(id);
        }
    }

    fn done(&mut self, id: u64) {
        let Some(c) = self.indices_in_use.get_mut(&id) else {
            return;
        };
        c.closed = true;
        if c.out == 0 {
            self.commands.remove(&c.name);
            self.indices_in_use.remove(&id);
        }
    }

    fn targets(
        &mut self,
        now: Duration,
        item: &Fields,
        sheets: &crate::Sheets,
        said: &mut Vec<Value>,
    ) -> Result<(), String> {
        let complete = match item.text("how")? {
            "FAILED" => {
                self.choice.on_list_failure(now);
                return Ok(());
            }
            "INCREMENTAL" => false,
            "FULL" | "SAVED" => true,
            other => return Err(format!("field how: unknown value '{other}'")),
        };
        let sheet = sheets
            .get(&item.unsigned("buffer")?)
            .ok_or("field buffer: no such list")?;
        let mut entries = Vec::new();
        for entry in sheet {
            let e = Fields::new(entry, "nodes-list")?;
            let zone = e.text("failure-domain")?;
            let Some(zone) = self.site.zone_index(zone) else {
                said.push(json!({"t": "Fatal", "note-text": format!("unknown zone '{zone}'")}));
                return Ok(());
            };
            let standing = match e.text("availability")? {
                "Running" => EndpointState::Running,
                "Stopping" => EndpointState::Draining,
                "Deleted" => EndpointState::Gone,
                other => return Err(format!("field availability: unknown value '{other}'")),
            };
            let born = duration_from_ms(e.number_or("born-ms", 0.0)?);
            entries.push(EndpointEntry {
                endpoint: self.endpoints.index_or_insert(e.text("appliance")?),
                zone,
                cell: e.unsigned_or("stripe", 0)?,
                identity: stable_hash(e.text("appliance")?),
                endpoint_type: e
                    .optional("hw")
                    .and_then(Value::as_str)
                    .map_or(0, |k| self.kinds.index_or_insert(k)),
                build: e.unsigned_or("release", 0)? as u32,
                state: standing,
                started: (born > self.start).then(|| born.saturating_sub(self.start)),
            });
        }
        self.choice.update_endpoints(now, &entries, complete);
        Ok(())
    }

    fn promotion(&mut self, now: Duration, item: &Fields) -> Result<(), String> {
        let state = item.text("state-code")?;
        if state == "success" {
            let phase = match item.unsigned_or("course", 0)? {
                0 => RolloutPhase::Canary,
                1 => RolloutPhase::RollingBack,
                2 => RolloutPhase::Released,
                3 => RolloutPhase::RolledBack,
                other => return Err(format!("field course: unknown value {other}")),
            };
            self.choice.update_rollout(RolloutStatus {
                build: item.unsigned("rel")? as u32,
                stage: item.unsigned_or("wave", 0)? as usize,
                phase,
                cap: item.number_or("ceiling", 0.0)?,
                since: now.saturating_sub(item.duration_ms_or("lateness-ms", 0.0)?),
            });
        }
        if item.unsigned_or("code", 0)? == 1 {
            let reply = match state {
                "success" => VoteReply::Counted,
                "void" => VoteReply::Moot,
                "timed_out" => VoteReply::Unknown,
                _ => VoteReply::Refused,
            };
            self.choice.on_vote_reply(now, reply);
        }
        Ok(())
    }
}

/// What a load report says of the requests that an endpoint holds.
fn held(item: &Fields) -> Option<f64> {
    item.optional("pressure")
        .and_then(|p| p.get("concurrent"))
        .and_then(Value::as_f64)
}

fn outcome(code: &str) -> Option<Outcome> {
    Some(match code {
        "success" => Outcome::Succeeded,
        "failure" => Outcome::Failed,
        "overloaded" => Outcome::Rejected,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::ConnectFailed,
        "broken" => Outcome::ConnectionLost,
        "withdrawn" => Outcome::Cancelled,
        "void" => Outcome::NotSent,
        _ => return None,
    })
}
