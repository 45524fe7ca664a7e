//! Subcommand `load`: loads a real agent at given rates, or searches for the highest rate that it
//! sustains.

use super::Outcome;
use clap::Args;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tulipwall_experiments::arguments::{number_in, InvalidArgument};
use tulipwall_experiments::load::{LoadClass, Plan, Step};

/// A search covers rates up to at least this multiple of the first rate.
const SEARCH_FACTOR: f64 = 64.0;
const SEED: u64 = 1;

/// Errors of loading an agent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LoadError {
    /// The agent does not accept connections.
    #[error("{agent}")]
    Unreachable {
        agent: SocketAddr,
        source: io::Error,
    },
}

#[derive(Args)]
pub(crate) struct Options {
    agent: SocketAddr,
    /// Request class with its weight, `NAME` or `NAME=WEIGHT`; with `NAME=WEIGHT+k`, requests carry
    /// an idempotency key.
    #[arg(long = "lane", required = true, value_parser = class)]
    class: Vec<ClassArgument>,
    /// Requests per second; several rates are run as steps one after another.
    #[arg(long, default_values_t = [100.0], num_args = 1.., value_parser = rate)]
    rate: Vec<f64>,
    /// Duration of each step, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// How long clients wait for a response, in milliseconds.
    #[arg(long, default_value_t = 1500, value_parser = clap::value_parser!(u64).range(1..=600_000))]
    expiry: u64,
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u16).range(1..=20_000))]
    connections: u16,
    /// Search for the highest rate that keeps this p99 latency, in milliseconds, from the first
    /// rate up to the highest one, or to 64 times the first if that is more.
    #[arg(long, value_name = "MS")]
    limit: Option<f64>,
    /// Print one line of JSON for each step.
    #[arg(long)]
    json: bool,
}

/// A request class as given on the command line.
#[derive(Clone)]
struct ClassArgument {
    name: String,
    weight: f64,
    keyed: bool,
}

fn rate(text: &str) -> Result<f64, InvalidArgument> {
    let expected = "expected requests per second from 0.1 to 1000000";
    number_in(text, 0.1..=1e6, expected)
}

fn class(text: &str) -> Result<ClassArgument, InvalidArgument> {
    let (name, weight) = text.split_once('=').unwrap_or((text, "1"));
    let unkeyed = weight.strip_suffix("+k");
    let expected = "expected NAME, NAME=WEIGHT or NAME=WEIGHT+k";
    let weight = unkeyed.unwrap_or(weight).parse::<f64>().ok();
    let weight = weight.filter(|w| w.is_finite() && *w > 0.0);
    Ok(ClassArgument {
        name: name.to_owned(),
        weight: weight.ok_or_else(|| InvalidArgument::expected(expected))?,
        keyed: unkeyed.is_some(),
    })
}

impl Options {
    pub(super) fn run(self) -> Result<Outcome, LoadError> {
        let plan = self.plan();
        let agent = self.agent;
        TcpStream::connect(agent).map_err(|source| LoadError::Unreachable { agent, source })?;
        let duration = Duration::from_secs(self.seconds);
        match self.limit {
            None => {
                for rate in &self.rate {
                    self.print(&plan.step(*rate, duration));
                }
            }
            Some(p99_ms) => self.search(&plan, duration, p99_ms),
        }
        Ok(Outcome::Done)
    }

    fn plan(&self) -> Plan {
        let class = |class: &ClassArgument| LoadClass {
            name: class.name.clone(),
            weight: class.weight,
            deadline: Duration::from_millis(self.expiry),
            keyed: class.keyed,
        };
        Plan {
            agent: self.agent,
            classes: self.class.iter().map(class).collect(),
            connections: usize::from(self.connections),
            seed: SEED,
        }
    }

    fn search(&self, plan: &Plan, duration: Duration, p99_ms: f64) {
        let from = self.rate[0];
        let to = self
            .rate
            .iter()
            .copied()
            .fold(from * SEARCH_FACTOR, f64::max);
        let found = plan.highest_rate(from, to, duration, p99_ms, |step| self.print(step));
        match found {
            Some(rate) => {
                println!("highest rate with p99 within {p99_ms} ms: {rate:.0} per second");
            }
            None => {
                println!(
                    "the lowest rate, {from} per second, does not keep p99 within {p99_ms} ms"
                );
            }
        }
    }

    fn print(&self, step: &Step) {
        if self.json {
            println!("{}", step.to_json());
        } else {
            println!("{}", step.summary());
        }
    }
}
