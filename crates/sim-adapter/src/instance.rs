//! One instance: the wire's names on one side, a `Choice` with its small indices on the other.

use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tulipwall::*;
use tulipwall_config::{millis, number, span, Fault, Fields, Names, Site};

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
    choice: Choice,
    start: Duration,
    site: Site,
    appliances: Names,
    kinds: Names,
    commands: HashMap<String, u64>,
    in_hand: BTreeMap<u64, InHand>,
    taken: u64,
    wake: Option<Duration>,
}

/// A command in hand: its wire name, and how many deliveries are still out.
struct InHand {
    name: String,
    out: usize,
    closed: bool,
}

impl Instance {
    pub fn open(now: Duration, start: Duration, item: &Fields) -> Result<Instance, Fault> {
        let seed = item
            .integer("salt")
            .map(|n| n as u64)
            .or_else(|_| item.whole("salt"))?;
        let site = Site::read(&item.inner("settings")?, seed)?;
        Ok(Instance {
            choice: Choice::new(now.saturating_sub(start), site.deployment.clone()),
            start,
            site,
            appliances: Names::default(),
            kinds: Names::default(),
            commands: HashMap::new(),
            in_hand: BTreeMap::new(),
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
                let Some(lane) = self.site.lane(class) else {
                    said.push(
                        json!({"t": "Fatal", "note-text": format!("unknown lane '{class}'")}),
                    );
                    return Ok(());
                };
                let owner = item.maybe("owner").and_then(Value::as_str);
                let customer = owner.and_then(|o| self.site.customer(o));
                let key = item.maybe("route-key").and_then(Value::as_str).map(number);
                let left = item.span("patience-left-ms")?;
                let id = self.taken;
                self.taken += 1;
                self.commands.insert(name.to_owned(), id);
                self.in_hand.insert(
                    id,
                    InHand {
                        name: name.to_owned(),
                        out: 0,
                        closed: false,
                    },
                );
                let work = item.maybe("estimate-ms").and_then(Value::as_f64).map(span);
                let again = item.flag("again-by-client")?;
                self.choice.take(
                    now,
                    id,
                    Command {
                        lane,
                        customer,
                        key,
                        left,
                        work,
                        again,
                    },
                );
                let answer = self.choice.place(now, id);
                self.write(id, answer, said);
            }
            "UnderWay" => {
                let (name, _) = (item.text("txn")?, item.whole("n")?);
                if let Some(id) = self.commands.get(name) {
                    self.choice.left(*id);
                }
            }
            "ReportBack" => {
                let (name, n) = (item.text("txn")?, item.whole("n")? as usize);
                let outcome = match outcome(item.text("state-code")?) {
                    Some(outcome) => outcome,
                    None => return Err("field state-code: unknown outcome".into()),
                };
                let (took, finished) = (item.span("lag-ms")?, item.flag("finished")?);
                let Some(id) = self.commands.get(name).copied() else {
                    return Ok(());
                };
                let end = End {
                    outcome,
                    took,
                    closed: finished,
                    held: held(item),
                };
                let answer = self.choice.after(now, id, n, end);
                if let Some(c) = self.in_hand.get_mut(&id) {
                    c.out = c.out.saturating_sub(1);
                    c.closed |= finished;
                }
                self.write(id, answer, said);
            }
            "Gone" => {
                if let Some(id) = self.commands.get(item.text("txn")?).copied() {
                    self.choice.left(id);
                    self.done(id);
                }
            }
            "DeadlineHit" => {
                let ctx = item.text("ctx")?;
                if ctx == "wait" {
                    self.wake = None;
                } else if let Ok(id) = ctx.parse::<u64>() {
                    if self.in_hand.get(&id).is_some_and(|c| !c.closed) {
                        let answer = self.choice.place(now, id);
                        self.write(id, answer, said);
                    }
                }
            }
            "Promotion" => self.promotion(now, item)?,
            "Flagged" => {
                let class = item.text("tier-class")?;
                let appliance = self.appliances.number(item.text("appliance")?);
                if let Some(lane) = self.site.lane(class) {
                    self.choice
                        .flag(now, appliance, lane, item.span_or("lateness-ms", 0.0)?);
                }
            }
            "PeriodSums" => {
                if let Some(lane) = self.site.lane(item.text("tier-class")?) {
                    self.choice.tally(&Tally {
                        build: item.whole("rel")? as u32,
                        lane,
                        deliveries: item.whole_or("attempts", 0)? as f64,
                        failed: item.whole_or("errors", 0)? as f64,
                        took: item.span_or("lag-ms", 0.0)?,
                        age: item.span_or("lateness-ms", 0.0)?,
                    });
                }
            }
            "ProbeDone" => {
                let appliance = self.appliances.number(item.text("appliance")?);
                let outcome =
                    outcome(item.text("state-code")?).ok_or("field state-code: unknown outcome")?;
                self.choice.told(now, appliance, outcome, held(item));
            }
            "PeerData" => {}
            other => return Err(format!("field t: unknown message '{other}'")),
        }
        Ok(())
    }

    /// After an instance's events: whatever the choice has due, and the timer for the next look.
    pub fn settle(&mut self, clock: Duration, said: &mut Vec<Value>) {
        let now = clock.saturating_sub(self.start);
        let due = self.choice.wait(now);
        if due.watch {
            said.push(json!({"t": "Listen", "want": true}));
        }
        if let Some(v) = due.vote {
            let code = match v.verdict {
                Verdict::Hold => 2,
                Verdict::Back => 3,
                Verdict::None => 0,
            };
            said.push(json!({"t": "Verdict", "rel": v.build, "wave": v.stage, "code": code}));
        }
        for appliance in due.asks {
            said.push(json!({"t": "AskLoad", "appliance": self.appliances.name(appliance)}));
        }
        for note in due.notes {
            said.push(json!({"t": "Debug", "note-text": note}));
        }
        if self.wake.is_none_or(|w| due.until < w) {
            self.wake = Some(due.until);
            self.timer("wait".into(), due.until, said);
        }
    }

    fn timer(&self, ctx: String, at: Duration, said: &mut Vec<Value>) {
        said.push(json!({"t": "Remind", "ctx": ctx, "instant-ms": millis(self.start + at)}));
    }

    fn write(&mut self, id: u64, answer: Answer, said: &mut Vec<Value>) {
        let Some(c) = self.in_hand.get_mut(&id) else {
            return;
        };
        let name = c.name.clone();
        match answer {
            Answer::Send {
                appliance,
                time_out,
                look,
            } => {
                c.out += 1;
                let appliance = self.appliances.name(appliance);
                let ms = millis(time_out).max(0.001);
                said.push(json!({"t": "Place", "txn": name, "appliance": appliance, "give-up-after-ms": ms}));
                if let Some(at) = look {
                    self.timer(id.to_string(), at, said);
                }
            }
            Answer::NotYet { until } => self.timer(id.to_string(), until, said),
            Answer::Deny { come_back } => {
                c.closed = true;
                let ms = come_back.map(millis);
                said.push(json!({"t": "Deny", "txn": name, "cool-down-ms": ms}));
            }
            Answer::Scrap => {
                c.closed = true;
                said.push(json!({"t": "RespondError", "txn": name}));
            }
            Answer::Withdraw { delivery } => {
                said.push(json!({"t": "DropAttempt", "txn": name, "n": delivery}))
            }
            Answer::Wait => {}
        }
        if self
            .in_hand
            .get(&id)
            .is_some_and(|c| c.closed && c.out == 0)
        {
            self.done(id);
        }
    }

    fn done(&mut self, id: u64) {
        let Some(c) = self.in_hand.get_mut(&id) else {
            return;
        };
        c.closed = true;
        if c.out == 0 {
            self.commands.remove(&c.name);
            self.in_hand.remove(&id);
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
                self.choice.list_failed(now);
                return Ok(());
            }
            "INCREMENTAL" => false,
            "FULL" | "SAVED" => true,
            other => return Err(format!("field how: unknown value '{other}'")),
        };
        let sheet = sheets
            .get(&item.whole("buffer")?)
            .ok_or("field buffer: no such list")?;
        let mut entries = Vec::new();
        for entry in sheet {
            let e = Fields::of(entry, "nodes-list")?;
            let zone = e.text("failure-domain")?;
            let Some(zone) = self.site.zone(zone) else {
                said.push(json!({"t": "Fatal", "note-text": format!("unknown zone '{zone}'")}));
                return Ok(());
            };
            let standing = match e.text("availability")? {
                "Running" => Standing::Running,
                "Stopping" => Standing::Draining,
                "Deleted" => Standing::Gone,
                other => return Err(format!("field availability: unknown value '{other}'")),
            };
            let born = span(e.number_or("born-ms", 0.0)?);
            entries.push(Listed {
                appliance: self.appliances.number(e.text("appliance")?),
                zone,
                cell: e.whole_or("stripe", 0)?,
                mark: number(e.text("appliance")?),
                kind: e
                    .maybe("hw")
                    .and_then(Value::as_str)
                    .map_or(0, |k| self.kinds.number(k)),
                build: e.whole_or("release", 0)? as u32,
                standing,
                started: (born > self.start).then(|| born.saturating_sub(self.start)),
            });
        }
        self.choice.list(now, &entries, complete);
        Ok(())
    }

    fn promotion(&mut self, now: Duration, item: &Fields) -> Result<(), String> {
        let state = item.text("state-code")?;
        if state == "success" {
            let phase = match item.whole_or("course", 0)? {
                0 => Phase::Trial,
                1 => Phase::GoingBack,
                2 => Phase::Released,
                3 => Phase::Withdrawn,
                other => return Err(format!("field course: unknown value {other}")),
            };
            self.choice.news(News {
                build: item.whole("rel")? as u32,
                stage: item.whole_or("wave", 0)? as usize,
                phase,
                cap: item.number_or("ceiling", 0.0)?,
                began: now.saturating_sub(item.span_or("lateness-ms", 0.0)?),
            });
        }
        if item.whole_or("code", 0)? == 1 {
            let reply = match state {
                "success" => Reply::Counted,
                "void" => Reply::Moot,
                "timed_out" => Reply::Unknown,
                _ => Reply::Refused,
            };
            self.choice.reply(now, reply);
        }
        Ok(())
    }
}

/// What a load report says of the commands that an appliance holds.
fn held(item: &Fields) -> Option<f64> {
    item.maybe("pressure")
        .and_then(|p| p.get("concurrent"))
        .and_then(Value::as_f64)
}

fn outcome(code: &str) -> Option<Outcome> {
    Some(match code {
        "success" => Outcome::Satisfied,
        "failure" => Outcome::Failed,
        "overloaded" => Outcome::TurnedAway,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::NoConnection,
        "broken" => Outcome::Broken,
        "withdrawn" => Outcome::Withdrawn,
        "void" => Outcome::NotSent,
        _ => return None,
    })
}
