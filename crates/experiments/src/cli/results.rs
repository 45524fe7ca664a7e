//! Subcommands on stored records: `table`, `compare` and `plot`.

use super::{CliError, Outcome};
use std::path::Path;
use tulipwall_experiments::{records, report};

pub(super) fn table(path: &Path, figures: &[String]) -> Result<Outcome, CliError> {
    let (_, records) = records::read(path)?;
    print!("{}", report::table(&records, figures));
    Ok(Outcome::Done)
}

pub(super) fn compare(path: &Path, other: Option<&Path>) -> Result<Outcome, CliError> {
    let (_, records) = records::read(path)?;
    match other {
        Some(other) => {
            let (_, other_records) = records::read(other)?;
            print!("{}", report::compare(&records, &other_records));
        }
        None => print!("{}", report::compare_within(&records)),
    }
    Ok(Outcome::Done)
}

pub(super) fn plot(path: &Path, out: &Path) -> Result<Outcome, CliError> {
    let (header, records) = records::read(path)?;
    let page = report::page(&header, &records)?;
    std::fs::write(out, page).map_err(|source| CliError::Write {
        path: out.to_owned(),
        source,
    })?;
    println!("{}: written", out.display());
    Ok(Outcome::Done)
}
