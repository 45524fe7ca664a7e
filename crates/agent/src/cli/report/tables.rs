//! Formats reports as text tables, without any input or output.

use super::client::NamedCounts;
use comfy_table::{presets, CellAlignment, Table};
use tulipwall_zones::{BudgetLine, Document, LinkLine};

/// The content of a cell without a value.
const NO_VALUE: &str = "-";
const BUDGET_HEADINGS: [&str; 8] = [
    "budget",
    "agent",
    "applies to",
    "window",
    "limit",
    "agent limit",
    "used",
    "over, and why",
];
const LINK_HEADINGS: [&str; 18] = [
    "from",
    "to",
    "class",
    "build",
    "attempts",
    "never ran",
    "cancelled",
    "malformed",
    "truncated",
    "hedges",
    "retries",
    "over",
    "bytes sent",
    "bytes received",
    "cost",
    "added ms",
    "p50 ms",
    "p99 ms",
];
/// Number of columns that identify a link; the columns after them are numeric.
const LINK_NAME_COLUMNS: usize = 4;

/// Formats the report on cross-zone traffic, with a row for each build if `by_build`.
pub fn zone_report(document: &Document, by_build: bool) -> String {
    let mut text = String::new();
    for head in &document.heads {
        let taken: u64 = head.requests.values().sum();
        text += &format!(
            "{} in {}: {taken} requests taken in {:.0} s\n",
            head.agent, head.zone, head.uptime_s
        );
    }
    if let Some(budgets) = budget_table(document) {
        text += &format!("\n{budgets}\n");
    }
    let links = link_table(document, by_build);
    text + &format!("\n{links}\n")
}

/// Formats the counts of diverging decisions with a row for each agent; `None` without rows.
pub fn divergences(rows: &[(String, NamedCounts)]) -> Option<String> {
    let (_, first) = rows.first()?;
    let kinds = first.map(|(kind, _)| kind);
    let mut table = new_table(&[&["agent"][..], &kinds].concat());
    for (agent, counts) in rows {
        let mut cells = vec![agent.clone()];
        cells.extend(counts.map(|(_, count)| count.to_string()));
        table.add_row(cells);
    }
    Some(table.to_string())
}

/// The table of all agents' budgets; `None` if there are none.
fn budget_table(document: &Document) -> Option<Table> {
    let mut table = new_table(&BUDGET_HEADINGS);
    for head in &document.heads {
        for budget in &head.budgets {
            table.add_row([
                budget.name.clone(),
                head.agent.clone(),
                budget_scope(budget),
                format_time_span(budget.window_s),
                budget_limit(budget),
                format_number(budget.agent_limit),
                format_number(budget.used),
                over_budget(budget),
            ]);
        }
    }
    (!table.is_empty()).then_some(table)
}

fn budget_scope(budget: &BudgetLine) -> String {
    match (&budget.to, &budget.class) {
        (None, None) => "all cross-zone traffic".to_owned(),
        (Some(to), None) => format!("to {to}"),
        (None, Some(class)) => class.clone(),
        (Some(to), Some(class)) => format!("{class} to {to}"),
    }
}

fn budget_limit(budget: &BudgetLine) -> String {
    let limit = format_number(budget.limit);
    if budget.unit == "share" {
        format!("{limit} of taken")
    } else {
        format!("{limit} {}", budget.unit)
    }
}

/// The number of attempts over the budget, in total and by reason.
fn over_budget(budget: &BudgetLine) -> String {
    let total: u64 = budget.over_budget.values().sum();
    if total == 0 {
        return NO_VALUE.to_owned();
    }
    let reasons: Vec<String> = budget
        .over_budget
        .iter()
        .map(|(reason, count)| format!("{reason} {count}"))
        .collect();
    format!("{total}: {}", reasons.join(", "))
}

fn link_table(document: &Document, by_build: bool) -> Table {
    let mut table = new_table(&LINK_HEADINGS);
    for column in LINK_NAME_COLUMNS..LINK_HEADINGS.len() {
        if let Some(column) = table.column_mut(column) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    let links = if by_build {
        document.links.clone()
    } else {
        document.by_class()
    };
    for link in &links {
        table.add_row(link_row(document, link, by_build));
    }
    table
}

fn link_row(document: &Document, link: &LinkLine, by_build: bool) -> [String; 18] {
    let latency = |quantile| match document.latency_quantile_ms(link, quantile) {
        Some(ms) => format!("{ms:.1}"),
        None => NO_VALUE.to_owned(),
    };
    let added_latency = if link.compared_responses > 0 {
        format!("{:.1}", link.added_latency_ms)
    } else {
        NO_VALUE.to_owned()
    };
    let cancelled = link.outcomes.get("withdrawn").copied().unwrap_or_default();
    [
        link.from.clone(),
        link.to.clone(),
        link.class.clone(),
        build_name(link.build, by_build),
        link.attempts.to_string(),
        link.never_ran.to_string(),
        cancelled.to_string(),
        link.malformed.to_string(),
        link.truncated.to_string(),
        link.hedges.to_string(),
        link.retries.to_string(),
        link.over_budget_total().to_string(),
        link.bytes_sent.to_string(),
        link.bytes_received.to_string(),
        format_number(link.cost),
        added_latency,
        latency(0.5),
        latency(0.99),
    ]
}

/// The name of a build in the table. Build 0 stands for all builds that no endpoint runs any more.
fn build_name(build: u32, by_build: bool) -> String {
    match build {
        _ if !by_build => "all".to_owned(),
        0 => "gone".to_owned(),
        build => build.to_string(),
    }
}

fn new_table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(headings);
    table
}

fn format_number(n: f64) -> String {
    if n == n.trunc() && n.abs() < 1e15 {
        format!("{n:.0}")
    } else if n.abs() < 0.001 {
        format!("{n:.3e}")
    } else {
        format!("{n:.4}")
    }
}

/// Formats a time span in the largest unit that divides it evenly.
fn format_time_span(seconds: f64) -> String {
    let units = [(86_400.0, "d"), (3600.0, "h"), (60.0, "m"), (1.0, "s")];
    for (unit_seconds, name) in units {
        if seconds >= unit_seconds && seconds % unit_seconds == 0.0 {
            return format!("{:.0} {name}", seconds / unit_seconds);
        }
    }
    format!("{seconds} s")
}
