//! `tulipwall-agent report`: fetches the reports of one or more agents, merges and prints them.

pub mod client;
mod plot;
pub mod tables;

use super::INCOMPLETE_REPORT;
use clap::Args;
use client::{fetch_divergences, fetch_zone_report, FetchError, NamedCounts};
use plot::PlotError;
use serde_json::{Map, Value};
use std::path::PathBuf;
use std::process::ExitCode;
use tulipwall::Divergences;
use tulipwall_config::AdminAddress;
use tulipwall_zones::Document;

/// Options of `tulipwall-agent report`.
#[derive(Args)]
pub struct ReportCommand {
    /// Admin endpoints of agents: 127.0.0.1:PORT or unix:PATH. Their reports are merged.
    #[arg(required = true, value_name = "ADDRESS", value_parser = AdminAddress::parse)]
    addresses: Vec<AdminAddress>,
    /// Print the whole report as one JSON document.
    #[arg(long, conflicts_with = "svg")]
    json: bool,
    /// Write a plot over time to this SVG file, with a panel for each budget.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// Print a row for each build.
    #[arg(long)]
    builds: bool,
    /// Print how often the watched settings would have decided differently, instead of cross-zone
    /// traffic.
    #[arg(long, conflicts_with_all = ["svg", "builds"])]
    watch: bool,
}

/// Why a fetched report could not be printed or plotted.
#[derive(Debug, thiserror::Error)]
enum OutputError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Plot(#[from] PlotError),
}

impl ReportCommand {
    /// Fetches and prints the reports; the exit code says whether every agent's report is included.
    pub fn run(self) -> ExitCode {
        if self.watch {
            self.report_divergences()
        } else {
            self.report_zones()
        }
    }

    fn report_zones(&self) -> ExitCode {
        let reports = self.fetch_all(fetch_zone_report);
        let complete = reports.len() == self.addresses.len();
        let merged =
            reports
                .into_iter()
                .map(|(_, document)| document)
                .reduce(|mut all, document| {
                    all.merge(document);
                    all
                });
        let Some(document) = merged else {
            return INCOMPLETE_REPORT.into();
        };
        match self.print_zones(&document) {
            Ok(()) => exit_code(complete),
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        }
    }

    fn print_zones(&self, document: &Document) -> Result<(), OutputError> {
        if self.json {
            println!("{}", serde_json::to_string_pretty(document)?);
        } else if let Some(path) = &self.svg {
            plot::write(document, path)?;
            println!("{}: written", path.display());
        } else {
            print!("{}", tables::zone_report(document, self.builds));
        }
        Ok(())
    }

    /// Prints the divergences of each agent and, for several agents, their sum.
    fn report_divergences(&self) -> ExitCode {
        let mut rows = self.fetch_all(fetch_divergences);
        let complete = rows.len() == self.addresses.len();
        if rows.len() > 1 {
            let sum = sum_counts(&rows);
            rows.push(("all".to_owned(), sum));
        }
        if self.json {
            let agents: Map<String, Value> = rows
                .into_iter()
                .map(|(agent, counts)| (agent, json_object(&counts)))
                .collect();
            println!("{:#}", Value::Object(agents));
        } else if let Some(table) = tables::divergences(&rows) {
            println!("{table}");
        }
        exit_code(complete)
    }

    /// Returns the reports that could be fetched, each with its agent's address, and prints the
    /// errors of the others to standard error.
    fn fetch_all<T>(
        &self,
        fetch: impl Fn(&AdminAddress) -> Result<T, FetchError>,
    ) -> Vec<(String, T)> {
        let mut reports = Vec::new();
        for address in &self.addresses {
            match fetch(address) {
                Ok(report) => reports.push((display_address(address), report)),
                Err(error) => eprintln!("{}: {error}", display_address(address)),
            }
        }
        reports
    }
}

fn exit_code(complete: bool) -> ExitCode {
    if complete {
        ExitCode::SUCCESS
    } else {
        INCOMPLETE_REPORT.into()
    }
}

fn sum_counts(rows: &[(String, NamedCounts)]) -> NamedCounts {
    let mut sums = Divergences::default().named();
    for (_, counts) in rows {
        for ((_, sum), (_, count)) in sums.iter_mut().zip(counts) {
            *sum = sum.saturating_add(*count);
        }
    }
    sums
}

fn json_object(counts: &NamedCounts) -> Value {
    let fields = counts.map(|(kind, count)| (kind.to_owned(), count.into()));
    Value::Object(fields.into_iter().collect())
}

fn display_address(address: &AdminAddress) -> String {
    match address {
        AdminAddress::Tcp(address) => address.to_string(),
        AdminAddress::Unix(path) => format!("unix:{}", path.display()),
    }
}
