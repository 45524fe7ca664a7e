//! Asks agents for their accounts, brings these together and prints them.

use super::{plot, NO_REPORT};
use clap::Args;
use comfy_table::{presets, CellAlignment, Table};
use serde_json::{Map, Value};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tulipwall::Divergences;
use tulipwall_config::Door;
use tulipwall_zones::{BudgetLine, Document, LinkLine, ReportLine};

const WITHIN: Duration = Duration::from_secs(5);
/// What a report may hold at most, in bytes.
const MOST: u64 = 1 << 30;

#[derive(Args)]
pub struct Ask {
    /// Doors of agents: 127.0.0.1:PORT or unix:PATH. Several are added up.
    #[arg(required = true, value_parser = Door::parse)]
    doors: Vec<Door>,
    /// All of it as one JSON document.
    #[arg(long, conflicts_with = "svg")]
    json: bool,
    /// A plot over time with a line for each budget, written to this file.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// A row for each build.
    #[arg(long)]
    builds: bool,
    /// Where the watched settings would have decided otherwise, instead of what crosses.
    #[arg(long, conflicts_with_all = ["svg", "builds"])]
    watch: bool,
}

impl Ask {
    pub fn print(self) -> ExitCode {
        if self.watch {
            return self.print_watch();
        }
        let (mut document, mut missing) = (None::<Document>, false);
        for door in &self.doors {
            match ask(door) {
                Ok(d) => match document.as_mut() {
                    Some(all) => all.merge(d),
                    None => document = Some(d),
                },
                Err(what) => {
                    eprintln!("{}: {what}", name(door));
                    missing = true;
                }
            }
        }
        let Some(document) = document else {
            return NO_REPORT.into();
        };
        let printed = if self.json {
            serde_json::to_string_pretty(&document)
                .map_err(|e| e.to_string())
                .map(|text| println!("{text}"))
        } else if let Some(path) = &self.svg {
            plot::write(&document, path).map(|()| println!("{}: written", path.display()))
        } else {
            print!("{}", tables(&document, self.builds));
            Ok(())
        };
        match printed {
            Err(what) => {
                eprintln!("{what}");
                ExitCode::FAILURE
            }
            Ok(()) if missing => NO_REPORT.into(),
            Ok(()) => ExitCode::SUCCESS,
        }
    }

    /// The counts of each agent's watch, and of all.
    fn print_watch(&self) -> ExitCode {
        let mut told = Vec::new();
        for door in &self.doors {
            match counts(door) {
                Ok(counts) => told.push((name(door), counts)),
                Err(what) => eprintln!("{}: {what}", name(door)),
            }
        }
        let whole = told.len() == self.doors.len();
        if told.len() > 1 {
            let mut all = Divergences::default().named();
            for (_, counts) in &told {
                all.iter_mut()
                    .zip(counts)
                    .for_each(|(sum, (_, n))| sum.1 = sum.1.saturating_add(*n));
            }
            told.push(("all".to_owned(), all));
        }
        if self.json {
            let told: Map<_, _> = told
                .into_iter()
                .map(|(door, c)| (door, object(&c)))
                .collect();
            println!("{:#}", Value::Object(told));
        } else if let Some((_, first)) = told.first() {
            let mut table = table(&[&["door"][..], &first.map(|(kind, _)| kind)].concat());
            for (door, counts) in &told {
                table.add_row(
                    [
                        vec![door.clone()],
                        counts.map(|(_, n)| n.to_string()).to_vec(),
                    ]
                    .concat(),
                );
            }
            println!("{table}");
        }
        if whole {
            ExitCode::SUCCESS
        } else {
            NO_REPORT.into()
        }
    }
}

type Counts = [(&'static str, u64); 5];

fn object(counts: &Counts) -> Value {
    Value::Object(
        counts
            .iter()
            .map(|(kind, n)| ((*kind).to_owned(), (*n).into()))
            .collect(),
    )
}

/// The counts of the watch behind a door.
fn counts(door: &Door) -> Result<Counts, String> {
    let mut counts = Divergences::default().named();
    let mut told = false;
    get(door, "/watch", |line| {
        let line: Value =
            serde_json::from_str(line).map_err(|e| format!("a line that is no report: {e}"))?;
        for (kind, n) in &mut counts {
            *n = line
                .get(*kind)
                .and_then(Value::as_u64)
                .ok_or_else(|| format!("it does not count '{kind}'"))?;
        }
        told = true;
        Ok(())
    })?;
    told.then_some(counts)
        .ok_or_else(|| "the report stops short of its end".into())
}

fn name(door: &Door) -> String {
    match door {
        Door::Tcp(address) => address.to_string(),
        Door::Unix(path) => format!("unix:{}", path.display()),
    }
}

/// The whole report behind a door.
pub fn ask(door: &Door) -> Result<Document, String> {
    let mut document = Document::default();
    get(door, "/zones", |line| {
        let line: ReportLine =
            serde_json::from_str(line).map_err(|e| format!("a line that is no report: {e}"))?;
        document.add_line(line).map_err(|e| e.to_string())
    })?;
    if document.is_complete() {
        Ok(document)
    } else {
        Err("the report stops short of its end".into())
    }
}

/// Asks a door for this, and hands on what it says line by line.
fn get(
    door: &Door,
    path: &str,
    each: impl FnMut(&str) -> Result<(), String>,
) -> Result<(), String> {
    match door {
        Door::Tcp(address) => {
            let stream = TcpStream::connect_timeout(address, WITHIN).map_err(|e| e.to_string())?;
            let limited = stream
                .set_read_timeout(Some(WITHIN))
                .and(stream.set_write_timeout(Some(WITHIN)));
            limited.map_err(|e| e.to_string())?;
            read(stream, path, each)
        }
        Door::Unix(file) => {
            let stream = UnixStream::connect(file).map_err(|e| e.to_string())?;
            let limited = stream
                .set_read_timeout(Some(WITHIN))
                .and(stream.set_write_timeout(Some(WITHIN)));
            limited.map_err(|e| e.to_string())?;
            read(stream, path, each)
        }
    }
}

fn read(
    mut stream: impl Read + Write,
    path: &str,
    mut each: impl FnMut(&str) -> Result<(), String>,
) -> Result<(), String> {
    let broken = |e: io::Error| e.to_string();
    let asked = format!("GET {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n");
    stream.write_all(asked.as_bytes()).map_err(broken)?;
    let mut lines = BufReader::new(stream.take(MOST)).lines();
    let status = lines
        .next()
        .ok_or("it closed without a word")?
        .map_err(broken)?;
    for head in lines.by_ref() {
        if head.map_err(broken)?.is_empty() {
            break;
        }
    }
    if status.split(' ').nth(1) != Some("200") {
        let why = lines.next().and_then(Result::ok).unwrap_or_default();
        return Err(format!("{status}: {why}"));
    }
    lines.try_for_each(|line| each(&line.map_err(broken)?))
}

/// The account as tables for people.
pub fn tables(d: &Document, builds: bool) -> String {
    let mut text = String::new();
    for head in &d.heads {
        let taken: u64 = head.requests.values().sum();
        text += &format!(
            "{} in {}: {taken} commands taken in {:.0} s\n",
            head.agent, head.zone, head.uptime_s
        );
    }
    let budgets: Vec<(&str, &BudgetLine)> = d
        .heads
        .iter()
        .flat_map(|h| h.budgets.iter().map(|b| (h.agent.as_str(), b)))
        .collect();
    if !budgets.is_empty() {
        let mut table = table(&[
            "budget",
            "agent",
            "holds for",
            "in",
            "limit",
            "its part",
            "used",
            "over, and why",
        ]);
        for (agent, b) in budgets {
            let scope = match (&b.to, &b.class) {
                (None, None) => "all that crosses".to_owned(),
                (Some(to), None) => format!("to {to}"),
                (None, Some(class)) => class.clone(),
                (Some(to), Some(class)) => format!("{class} to {to}"),
            };
            let limit = if b.unit == "share" {
                format!("{} of taken", shown(b.limit))
            } else {
                format!("{} {}", shown(b.limit), b.unit)
            };
            let over: u64 = b.over_budget.values().sum();
            let why: Vec<String> = b
                .over_budget
                .iter()
                .map(|(why, n)| format!("{why} {n}"))
                .collect();
            let over = if over > 0 {
                format!("{over}: {}", why.join(", "))
            } else {
                "-".into()
            };
            let row = [
                b.name.clone(),
                agent.into(),
                scope,
                span(b.window_s),
                limit,
                shown(b.agent_limit),
                shown(b.used),
                over,
            ];
            table.add_row(row);
        }
        text += &format!("\n{table}\n");
    }
    let headings = [
        "from",
        "to",
        "lane",
        "build",
        "deliveries",
        "never ran",
        "withdrawn",
        "spoilt",
        "half",
        "second",
        "further",
        "over",
        "bytes out",
        "bytes in",
        "cost",
        "adds ms",
        "p50 ms",
        "p99 ms",
    ];
    let mut table = table(&headings);
    for n in 4..headings.len() {
        table
            .column_mut(n)
            .into_iter()
            .for_each(|c| c.set_cell_alignment(CellAlignment::Right));
    }
    let rows = if builds {
        d.links.clone()
    } else {
        d.by_class()
    };
    for l in &rows {
        let time = |part| {
            d.latency_quantile_ms(l, part)
                .map_or("-".to_owned(), |ms| format!("{ms:.1}"))
        };
        let build = match (builds, l.build) {
            (false, _) => "all".to_owned(),
            (_, 0) => "gone".to_owned(),
            (_, n) => n.to_string(),
        };
        let adds = if l.compared_responses > 0 {
            format!("{:.1}", l.added_latency_ms)
        } else {
            "-".into()
        };
        table.add_row([
            l.from.clone(),
            l.to.clone(),
            l.class.clone(),
            build,
            l.attempts.to_string(),
            l.never_ran.to_string(),
            ended(l, "withdrawn"),
            l.malformed.to_string(),
            l.truncated.to_string(),
            l.hedges.to_string(),
            l.retries.to_string(),
            l.over_budget_total().to_string(),
            l.bytes_sent.to_string(),
            l.bytes_received.to_string(),
            shown(l.cost),
            adds,
            time(0.5),
            time(0.99),
        ]);
    }
    text + &format!("\n{table}\n")
}

fn table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(headings);
    table
}

fn ended(l: &LinkLine, how: &str) -> String {
    l.outcomes.get(how).copied().unwrap_or_default().to_string()
}

fn shown(n: f64) -> String {
    if n == n.trunc() && n.abs() < 1e15 {
        format!("{n:.0}")
    } else if n.abs() < 0.001 {
        format!("{n:.3e}")
    } else {
        format!("{n:.4}")
    }
}

fn span(seconds: f64) -> String {
    let units = [(86_400.0, "d"), (3600.0, "h"), (60.0, "m"), (1.0, "s")];
    let unit = units
        .into_iter()
        .find(|(s, _)| seconds >= *s && seconds % s == 0.0);
    unit.map_or_else(
        || format!("{seconds} s"),
        |(s, u)| format!("{:.0} {u}", seconds / s),
    )
}
