//! One simulated agent. It translates between the names in the simulator's messages and the small
//! indices of a [`Balancer`].

use crate::error::AdapterError;
use crate::requests::RequestTable;
use crate::wire::{self, Command, EndpointLists, ListUpdate};
use serde_json::Value;
use std::time::Duration;
use tulipwall::{
    AttemptEnd, Balancer, Decision, EndpointEntry, PlatformCounts, Request, RolloutStatus,
};
use tulipwall_config::{
    duration_from_ms, duration_to_ms, stable_hash, ConfigError, FieldError, Fields, NameTable,
    ServiceConfig,
};

/// The value of `code` in a rollout message that replies to a vote.
const CODE_VOTE_REPLY: u64 = 1;

/// One simulated agent. Its times are relative to the first message to the process.
pub struct Instance {
    balancer: Balancer,
    config: ServiceConfig,
    start: Duration,
    endpoint_names: NameTable,
    endpoint_types: NameTable,
    requests: RequestTable,
    /// The time of the next poll for which a timer is set; `None` if no timer is set.
    next_poll: Option<Duration>,
}

impl Instance {
    /// Creates an agent with the settings in this message. `clock` and `start` are simulator times.
    pub fn open(
        clock: Duration,
        start: Duration,
        message: &Fields,
    ) -> Result<Instance, ConfigError> {
        let signed_seed = message.integer("salt").map(|seed| seed as u64);
        let seed = signed_seed.or_else(|_| message.unsigned("salt"))?;
        let config = ServiceConfig::read(&message.object("settings")?, seed)?;
        let now = clock.saturating_sub(start);
        Ok(Instance {
            balancer: Balancer::new(now, config.settings.clone()),
            config,
            start,
            endpoint_names: NameTable::default(),
            endpoint_types: NameTable::default(),
            requests: RequestTable::default(),
            next_poll: None,
        })
    }

    /// Handles one message of the given kind and appends the resulting commands.
    pub fn handle_message(
        &mut self,
        clock: Duration,
        kind: &str,
        message: &Fields,
        lists: &EndpointLists,
        commands: &mut Vec<Command>,
    ) -> Result<(), AdapterError> {
        let now = clock.saturating_sub(self.start);
        match kind {
            "Targets" => self.on_endpoint_list(now, message, lists, commands),
            "Accept" => self.on_request(now, message, commands),
            "UnderWay" => self.on_response_started(message),
            "ReportBack" => self.on_attempt_end(now, message, commands),
            "Gone" => self.on_client_gone(message),
            "DeadlineHit" => self.on_timer(now, message, commands),
            "Promotion" => self.on_rollout(now, message),
            "Flagged" => self.on_client_reported_error(now, message),
            "PeriodSums" => self.on_platform_counts(message),
            "ProbeDone" => self.on_load_report(now, message),
            "PeerData" => Ok(()),
            other => Err(AdapterError::UnknownMessage {
                found: other.to_owned(),
            }),
        }
    }

    /// Polls the balancer after the messages of a line, sends what it requests, and sets the timer
    /// for the next poll.
    pub fn poll(&mut self, clock: Duration, commands: &mut Vec<Command>) {
        let now = clock.saturating_sub(self.start);
        let result = self.balancer.poll(now);
        if result.open_watch {
            commands.push(Command::WatchEndpoints { open: true });
        }
        if let Some(vote) = result.vote {
            commands.push(Command::Vote {
                build: vote.build,
                stage: vote.stage,
                verdict: wire::verdict_code(vote.verdict),
            });
        }
        for endpoint in result.load_report_requests {
            let endpoint = self.endpoint_names.name(endpoint).to_owned();
            commands.push(Command::RequestLoadReport { endpoint });
        }
        for text in result.log_lines {
            commands.push(Command::Log { text });
        }
        let is_earlier = |set: Duration| result.next_poll < set;
        if self.next_poll.is_none_or(is_earlier) {
            self.next_poll = Some(result.next_poll);
            commands.push(self.timer(wire::POLL_TIMER.to_owned(), result.next_poll));
        }
    }

    fn on_request(
        &mut self,
        now: Duration,
        message: &Fields,
        commands: &mut Vec<Command>,
    ) -> Result<(), AdapterError> {
        let name = message.text("txn")?;
        let class_name = message.text("tier-class")?;
        let Some(class) = self.config.class_index(class_name) else {
            commands.push(Command::fatal(format!("unknown lane '{class_name}'")));
            return Ok(());
        };
        let request = self.read_request(class, message)?;
        let id = self.requests.insert(name);
        self.balancer.on_request(now, id, request);
        self.route(now, id, commands);
        Ok(())
    }

    fn read_request(&self, class: usize, message: &Fields) -> Result<Request, AdapterError> {
        let tenant = wire::optional_text(message, "owner");
        Ok(Request {
            class,
            tenant: tenant.and_then(|name| self.config.tenant_index(name)),
            key: wire::optional_text(message, "route-key").map(stable_hash),
            time_left: message.duration_ms("patience-left-ms")?,
            estimated_work: wire::optional_duration(message, "estimate-ms"),
            is_retry: message.boolean_or_false("again-by-client")?,
        })
    }

    /// Handles the start of a response to the client. From then on no other attempt may answer the
    /// request.
    fn on_response_started(&mut self, message: &Fields) -> Result<(), AdapterError> {
        let name = message.text("txn")?;
        message.unsigned("n")?;
        if let Some(id) = self.requests.id(name) {
            self.balancer.close_request(id);
        }
        Ok(())
    }

    fn on_attempt_end(
        &mut self,
        now: Duration,
        message: &Fields,
        commands: &mut Vec<Command>,
    ) -> Result<(), AdapterError> {
        let name = message.text("txn")?;
        let attempt = message.unsigned("n")? as usize;
        let end = AttemptEnd {
            outcome: wire::parse_outcome(message.text("state-code")?)?,
            latency: message.duration_ms("lag-ms")?,
            request_closed: message.boolean_or_false("finished")?,
            reported_load: wire::reported_load(message),
        };
        let Some(id) = self.requests.id(name) else {
            return Ok(());
        };
        let closed = end.request_closed;
        let decision = self.balancer.on_attempt_end(now, id, attempt, end);
        self.requests.on_attempt_end(id, closed);
        self.execute(id, decision, commands);
        Ok(())
    }

    fn on_client_gone(&mut self, message: &Fields) -> Result<(), AdapterError> {
        if let Some(id) = self.requests.id(message.text("txn")?) {
            self.balancer.close_request(id);
            self.requests.close(id);
            self.requests.remove_if_done(id);
        }
        Ok(())
    }

    fn on_timer(
        &mut self,
        now: Duration,
        message: &Fields,
        commands: &mut Vec<Command>,
    ) -> Result<(), AdapterError> {
        let timer = message.text("ctx")?;
        if timer == wire::POLL_TIMER {
            self.next_poll = None;
            return Ok(());
        }
        if let Ok(id) = timer.parse::<u64>() {
            if self.requests.awaits_response(id) {
                self.route(now, id, commands);
            }
        }
        Ok(())
    }

    fn on_rollout(&mut self, now: Duration, message: &Fields) -> Result<(), AdapterError> {
        let code = message.text("state-code")?;
        if code == "success" {
            let status = read_rollout_status(now, message)?;
            self.balancer.update_rollout(status);
        }
        if message.unsigned_or("code", 0)? == CODE_VOTE_REPLY {
            let reply = wire::parse_vote_reply(code);
            self.balancer.on_vote_reply(now, reply);
        }
        Ok(())
    }

    fn on_client_reported_error(
        &mut self,
        now: Duration,
        message: &Fields,
    ) -> Result<(), AdapterError> {
        let class = message.text("tier-class")?;
        let endpoint = self
            .endpoint_names
            .index_or_insert(message.text("appliance")?);
        if let Some(class) = self.config.class_index(class) {
            let age = message.duration_ms_or("lateness-ms", 0.0)?;
            self.balancer
                .on_client_reported_error(now, endpoint, class, age);
        }
        Ok(())
    }

    fn on_platform_counts(&mut self, message: &Fields) -> Result<(), AdapterError> {
        let Some(class) = self.config.class_index(message.text("tier-class")?) else {
            return Ok(());
        };
        self.balancer.on_platform_counts(&PlatformCounts {
            build: message.unsigned("rel")? as u32,
            class,
            attempts: message.unsigned_or("attempts", 0)? as f64,
            failed: message.unsigned_or("errors", 0)? as f64,
            mean_latency: message.duration_ms_or("lag-ms", 0.0)?,
            age: message.duration_ms_or("lateness-ms", 0.0)?,
        });
        Ok(())
    }

    fn on_load_report(&mut self, now: Duration, message: &Fields) -> Result<(), AdapterError> {
        let endpoint = self
            .endpoint_names
            .index_or_insert(message.text("appliance")?);
        let outcome = wire::parse_outcome(message.text("state-code")?)?;
        let load = wire::reported_load(message);
        self.balancer.on_load_report(now, endpoint, outcome, load);
        Ok(())
    }

    fn on_endpoint_list(
        &mut self,
        now: Duration,
        message: &Fields,
        lists: &EndpointLists,
        commands: &mut Vec<Command>,
    ) -> Result<(), AdapterError> {
        let update = wire::parse_list_update(message.text("how")?)?;
        if update == ListUpdate::Failed {
            self.balancer.on_list_failure(now);
            return Ok(());
        }
        let list = lists.get(&message.unsigned("buffer")?);
        let list = list.ok_or(AdapterError::UnknownList)?;
        match self.read_endpoints(list) {
            Ok(entries) => {
                let complete = update == ListUpdate::Complete;
                self.balancer.update_endpoints(now, &entries, complete);
                Ok(())
            }
            Err(ListError::UnknownZone(zone)) => {
                commands.push(Command::fatal(format!("unknown zone '{zone}'")));
                Ok(())
            }
            Err(ListError::Malformed(error)) => Err(error),
        }
    }

    fn read_endpoints(&mut self, list: &[Value]) -> Result<Vec<EndpointEntry>, ListError> {
        list.iter().map(|entry| self.read_endpoint(entry)).collect()
    }

    fn read_endpoint(&mut self, entry: &Value) -> Result<EndpointEntry, ListError> {
        let entry = Fields::new(entry, "nodes-list")?;
        let zone_name = entry.text("failure-domain")?;
        let zone = self.config.zone_index(zone_name);
        let zone = zone.ok_or_else(|| ListError::UnknownZone(zone_name.to_owned()))?;
        let state = wire::parse_endpoint_state(entry.text("availability")?)?;
        let started = duration_from_ms(entry.number_or("born-ms", 0.0)?);
        let name = entry.text("appliance")?;
        let endpoint_type = wire::optional_text(&entry, "hw");
        Ok(EndpointEntry {
            endpoint: self.endpoint_names.index_or_insert(name),
            zone,
            cell: entry.unsigned_or("stripe", 0)?,
            identity: stable_hash(name),
            endpoint_type: endpoint_type
                .map_or(0, |kind| self.endpoint_types.index_or_insert(kind)),
            build: entry.unsigned_or("release", 0)? as u32,
            state,
            started: (started > self.start).then(|| started - self.start),
        })
    }

    fn route(&mut self, now: Duration, id: u64, commands: &mut Vec<Command>) {
        let decision = self.balancer.route(now, id);
        self.execute(id, decision, commands);
    }

    /// Translates a decision into commands to the simulator.
    fn execute(&mut self, id: u64, decision: Decision, commands: &mut Vec<Command>) {
        let Some(request) = self.requests.name(id).map(str::to_owned) else {
            return;
        };
        match decision {
            Decision::Forward {
                endpoint,
                timeout,
                recheck_at,
            } => {
                self.requests.on_attempt_start(id);
                commands.push(Command::Forward {
                    request,
                    endpoint: self.endpoint_names.name(endpoint).to_owned(),
                    timeout_ms: duration_to_ms(timeout).max(wire::MIN_TIMEOUT_MS),
                });
                if let Some(at) = recheck_at {
                    commands.push(self.timer(id.to_string(), at));
                }
            }
            Decision::Defer { until } => commands.push(self.timer(id.to_string(), until)),
            Decision::Reject { retry_after } => {
                self.requests.close(id);
                commands.push(Command::Reject {
                    request,
                    retry_after_ms: retry_after.map(duration_to_ms),
                });
            }
            Decision::Fail => {
                self.requests.close(id);
                commands.push(Command::Fail { request });
            }
            Decision::Cancel { attempt } => commands.push(Command::Cancel { request, attempt }),
            Decision::Await => {}
        }
        self.requests.remove_if_done(id);
    }

    /// Creates the command for a timer; `at` is a time of this instance.
    fn timer(&self, timer: String, at: Duration) -> Command {
        Command::SetTimer {
            timer,
            at_ms: duration_to_ms(self.start + at),
        }
    }
}

/// The reason why an endpoint list cannot be applied.
enum ListError {
    /// The list names a zone that the settings do not define.
    UnknownZone(String),
    /// An entry of the list has a missing or invalid field.
    Malformed(AdapterError),
}

impl From<AdapterError> for ListError {
    fn from(error: AdapterError) -> ListError {
        ListError::Malformed(error)
    }
}

impl From<FieldError> for ListError {
    fn from(error: FieldError) -> ListError {
        ListError::Malformed(error.into())
    }
}

fn read_rollout_status(now: Duration, message: &Fields) -> Result<RolloutStatus, AdapterError> {
    let phase = wire::parse_rollout_phase(message.unsigned_or("course", 0)?)?;
    Ok(RolloutStatus {
        build: message.unsigned("rel")? as u32,
        stage: message.unsigned_or("wave", 0)? as usize,
        phase,
        cap: message.number_or("ceiling", 0.0)?,
        since: now.saturating_sub(message.duration_ms_or("lateness-ms", 0.0)?),
    })
}
