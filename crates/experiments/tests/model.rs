//! Checks the simulation against published formulas, against itself, and with injected faults that
//! deliberately violate its rules.

use std::collections::BTreeMap;
use std::time::Duration;
use tulipwall::*;
use tulipwall_experiments::records::{self, Header, RecordFile};
use tulipwall_experiments::run;
use tulipwall_experiments::scenario::Scenario;
use tulipwall_testkit::simulation::{ScenarioEvent, SimulationReport};

fn scenario(body: &str) -> Scenario {
    let text = format!("experiment \"t\" {{\n{body}\n}}\n");
    Scenario::read(&text).unwrap_or_else(|all| panic!("{all:?}"))
}

const CLASSES: &str = "lane \"view\" { weight 0.45; benefit 3; }
lane \"send\" { repeats \"deduplicated\"; weight 0.45; benefit 3; }
lane \"payment\" { repeats \"unrepeatable\"; weight 0.1; work \"30ms\"; benefit 9; expiry \"2s\"; quoted \"750ms\"; }";

fn two_zones(more: &str) -> Scenario {
    scenario(&format!(
        "span \"20s\"; rate 600\nzone \"a\" {{ appliances 4; cores 4; }}\nzone \"b\" {{ appliances 4; cores 4; }}\n\
         way \"a\" \"b\" {{ delay \"2ms\"; }}\nway \"b\" \"a\" {{ delay \"2ms\"; }}\n{CLASSES}\n{more}"
    ))
}

#[test]
fn one_endpoint_waits_as_the_pollaczek_khinchine_formula_says() {
    // One core and Poisson arrivals. 0.4 of the mean work is constant and 0.6 exponential, which
    // gives a squared coefficient of variation of 0.36.
    let parsed_scenario = scenario(
        "span \"400s\"; rate 30; agents 1; seeds 1\nzone \"a\" { appliances 1; cores 1; }\n\
         lane \"view\" { work \"20ms\"; quoted \"100s\"; expiry \"200s\"; repeats \"unrepeatable\"; }",
    );
    let report = run::build_simulation(&parsed_scenario, 3).run();
    assert!(
        report.violations.is_empty() && report.rejected + report.failed == 0,
        "{:?} {} {}",
        report.violations,
        report.rejected,
        report.failed
    );
    let (work, load) = (0.020, 30.0 * 0.020);
    let wait = load * work * (1.0 + 0.36) / (2.0 * (1.0 - load));
    let expected = (work + wait + 0.0003) * 1000.0;
    let mean = report.latencies.mean() / 1000.0;
    assert!(
        (mean / expected - 1.0).abs() < 0.05,
        "mean latency {mean:.2} ms, expected {expected:.2} ms by the formula"
    );
}

/// Probability that a request waits if `c` cores share an offered load of `a` (Erlang C formula).
fn erlang(c: usize, a: f64) -> f64 {
    let term = |n: usize| (1..=n).fold(1.0, |t, k| t * a / k as f64);
    let last = term(c) * c as f64 / (c as f64 - a);
    last / ((0..c).map(term).sum::<f64>() + last)
}

#[test]
fn one_and_eight_cores_wait_as_the_erlang_c_formula_says() {
    for (cores, rate) in [(1usize, 30.0), (8, 320.0)] {
        let parsed_scenario = scenario(&format!(
            "span \"400s\"; rate {rate}; agents 1; steady 0\nzone \"a\" {{ appliances 1; cores {cores}; }}\n\
             lane \"view\" {{ work \"20ms\"; quoted \"100s\"; expiry \"200s\"; repeats \"unrepeatable\"; }}"
        ));
        let report = run::build_simulation(&parsed_scenario, 5).run();
        assert!(
            report.violations.is_empty() && report.rejected + report.failed == 0,
            "{cores}: {} {}",
            report.rejected,
            report.failed
        );
        let (work, load) = (0.020, rate * 0.020);
        let wait = erlang(cores, load) * work / (cores as f64 - load);
        let (expected, mean) = (
            (work + wait + 0.0003) * 1000.0,
            report.latencies.mean() / 1000.0,
        );
        assert!(
            (mean / expected - 1.0).abs() < 0.06,
            "{cores} cores: mean latency {mean:.2} ms, expected {expected:.2} ms by the formula"
        );
    }
}

#[test]
fn message_loss_and_late_notifications_add_latency_but_violate_no_rule() {
    let figures = |more: &str| {
        let rollout = "offer { at \"5s\"; stages 0.1 1; step \"4s\"; appliances 4; }\n\
            fault { at \"8s\"; for \"4s\"; zone \"a\"; kind \"drain\"; }";
        let record = run::run(&two_zones(&format!("{rollout}\n{more}")), 0, &[], 3);
        assert!(
            record.violations.is_empty(),
            "{more}: {:?}",
            record.violations
        );
        record.figures
    };
    let (calm, loss, late) = (
        figures(""),
        figures("loss 0.05"),
        figures("told-late \"1s\""),
    );
    assert!(
        loss["p99_ms"] > calm["p99_ms"] * 1.3,
        "{} and {}",
        loss["p99_ms"],
        calm["p99_ms"]
    );
    assert!(
        loss["good"] > 0.9 && late["good"] > 0.9,
        "{loss:?} {late:?}"
    );
    assert!(late["released"] == 1.0, "{late:?}");
}

#[test]
fn two_random_choices_leave_shorter_queues_than_one() {
    // Ten endpoints of one core at a utilization of 0.7. With one random choice each is an M/G/1
    // queue. With two choices, requests wait far less (Mitzenmacher 2001: the longest queue falls
    // from log n to log log n).
    let parsed_scenario = scenario(
        "span \"60s\"; rate 350; agents 1\nzone \"a\" { appliances 10; cores 1; }\n\
         lane \"view\" { work \"20ms\"; quoted \"100s\"; expiry \"200s\"; repeats \"unrepeatable\"; }",
    );
    let report = run::build_simulation(&parsed_scenario, 4).run();
    let (work, load) = (0.020, 0.7);
    let single_choice_wait_ms = load * work * 1.36 / (2.0 * (1.0 - load)) * 1000.0;
    let mean_wait_ms = report.latencies.mean() / 1000.0 - 20.3;
    assert!(
        mean_wait_ms < single_choice_wait_ms * 0.5,
        "mean wait {mean_wait_ms:.2} ms, {single_choice_wait_ms:.2} ms with a single random choice"
    );
}

#[test]
fn equal_seeds_give_equal_records_and_other_seeds_do_not() {
    let parsed_scenario = two_zones("routing \"near-first\"; share 0.05");
    let values = Vec::new();
    let (one, two) = (
        run::run(&parsed_scenario, 0, &values, 7),
        run::run(&parsed_scenario, 0, &values, 7),
    );
    assert_eq!(one, two);
    assert_ne!(one.digest, run::run(&parsed_scenario, 0, &values, 8).digest);
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let parsed_scenario = parsed_scenario.clone();
            std::thread::spawn(move || run::run(&parsed_scenario, 0, &[], 7).digest)
        })
        .collect();
    assert!(
        threads.into_iter().all(|t| t.join().unwrap() == one.digest),
        "the digest depends on the number of threads"
    );
}

fn violates(report: &SimulationReport, rule: &str) -> bool {
    report
        .violations
        .iter()
        .any(|b| b.to_string().starts_with(rule))
}

#[test]
fn catches_a_deliberate_violation_of_each_rule() {
    let run_without_faults =
        |parsed_scenario: &Scenario| run::build_simulation(parsed_scenario, 1).run();
    assert!(run_without_faults(&two_zones("")).violations.is_empty());
    // Rule 1: an agent stalls past the deadline of its requests and is killed while it stalls.
    let mut faulty_simulation = run::build_simulation(&two_zones(""), 1);
    faulty_simulation.events.push((
        Duration::from_secs(19),
        ScenarioEvent::StallAgent(0, Duration::from_secs(60)),
    ));
    assert!(
        violates(&faulty_simulation.run(), "rule 1"),
        "not reported: a request without an answer"
    );
    // Rule 2: the decisions treat payments as idempotent; the checker does not.
    let mut faulty_simulation =
        run::build_simulation(&two_zones("fault { at \"2s\"; fail 0.5; }"), 1);
    faulty_simulation.injected_faults.idempotency = BTreeMap::from([(2, Idempotency::Idempotent)]);
    assert!(
        violates(&faulty_simulation.run(), "rule 2"),
        "not reported: a payment that runs twice"
    );
    // Rule 3: drains are hidden from the agents.
    let mut faulty_simulation = run::build_simulation(
        &two_zones("fault { at \"2s\"; kind \"drain\"; appliances 2; }"),
        1,
    );
    faulty_simulation.injected_faults.hide_drains = true;
    assert!(
        violates(&faulty_simulation.run(), "rule 3"),
        "not reported: an attempt at a draining endpoint"
    );
    // Rule 4: cold starts are hidden from the agents, of which there are too many for each to
    // observe them by itself.
    let cold = "agents 80\nfault { at \"2s\"; for \"1s\"; kind \"gone\"; appliances 3; }\nfault { at \"3s\"; burst 3; }";
    let mut faulty_simulation = run::build_simulation(&two_zones(cold), 1);
    (
        faulty_simulation.injected_faults.hide_cold_starts,
        faulty_simulation.settings.slow_start_share,
        faulty_simulation.settings.slow_start_duration,
    ) = (true, 0.01, Duration::from_secs(20));
    assert!(
        violates(&faulty_simulation.run(), "rule 4"),
        "not reported: a cold endpoint that gets too many requests"
    );
    // Rule 5: the cap reported to the agents is higher than the one in force.
    let rollout = "offer { at \"2s\"; stages 0.05 1; appliances 4; step \"8s\"; }";
    let mut faulty_simulation = run::build_simulation(&two_zones(rollout), 1);
    faulty_simulation.injected_faults.reported_cap = Some(1.0);
    assert!(
        violates(&faulty_simulation.run(), "rule 5"),
        "not reported: a canary that gets more than its cap"
    );
}

#[test]
fn naive_retries_prolong_an_overload_and_careful_ones_do_not() {
    let run_with_clients = |clients: &str| {
        let parsed_scenario = two_zones(&format!(
            "clients \"{clients}\"\nfault {{ at \"6s\"; for \"4s\"; slow 6; }}"
        ));
        let record = run::run(&parsed_scenario, 0, &[], 2);
        assert!(record.violations.is_empty(), "{:?}", record.violations);
        (record.figures["good"], record.figures["taken_over_asked"])
    };
    let ((naive, naive_attempt_ratio), (careful, careful_attempt_ratio)) =
        (run_with_clients("naive"), run_with_clients("careful"));
    assert!(
        naive_attempt_ratio > careful_attempt_ratio + 0.1,
        "{naive_attempt_ratio} and {careful_attempt_ratio} attempts received per request"
    );
    assert!(careful > naive - 0.02, "{careful} and {naive}");
}

#[test]
fn simulates_a_thousand_agents_and_more_agents_than_requests() {
    let parsed_scenario = scenario(
        "span \"2s\"; rate 4000; agents 1000\nzone \"a\" { appliances 250; cores 4; }\n\
         zone \"b\" { appliances 250; cores 4; }\nlane \"view\" { work \"10ms\"; }",
    );
    let record = run::run(&parsed_scenario, 0, &[], 1);
    assert!(
        record.violations.is_empty() && record.figures["good"] > 0.99,
        "{:?}",
        record.figures
    );
    let few = scenario(
        "span \"5s\"; rate 20; agents 2000\nzone \"a\" { appliances 4; cores 1; }\nlane \"view\" { }",
    );
    let record = run::run(&few, 0, &[], 1);
    assert!(
        record.violations.is_empty() && record.figures["good"] > 0.98,
        "{:?}",
        record.figures
    );
}

#[test]
fn resumes_a_file_of_records_and_drops_damaged_lines() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("r.records");
    let parsed_scenario = two_zones("");
    let header = || Header::of("t", "text");
    let mut file = RecordFile::open(&path, header()).unwrap();
    for seed in 1..=3 {
        file.add(run::run(&parsed_scenario, 0, &[], seed)).unwrap();
    }
    let all = file.records.clone();
    drop(file);
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() - 40]).unwrap();
    let file = RecordFile::open(&path, header()).unwrap();
    assert_eq!(file.records, all[..2]);
    assert!(file.has(0, 2) && !file.has(0, 3));
    let other = RecordFile::open(&path, Header::of("t", "another text"));
    assert!(other.is_err_and(|e| e.to_string().contains("another scenario")));
    assert_eq!(records::read(&path).unwrap().1.len(), 2);
    std::fs::write(&path, "nonsense\n").unwrap();
    assert!(records::read(&path).is_err_and(|e| e.to_string().contains(":1: no head")));
}

#[test]
fn reports_line_column_and_key_of_scenario_errors() {
    let text = "experiment \"x\" {\n  rte 5\n  zone \"a\" { appliances -1; }\n  way \"a\" \"c\" { delay \"1ms\"; }\n\
        \n  fault { at \"2s\"; }\n  vary \"agnts\" 1 2\n  vary \"slowness\" 1 2\n  clients \"wild\"\n}\n";
    let all: Vec<String> = Scenario::read(text)
        .unwrap_err()
        .iter()
        .map(|m| m.to_string())
        .collect();
    for expected in [
        "2:3: rte: unknown in experiment; did you mean 'rate'?",
        "3:25: appliances: expected a number from 0 to 100000",
        "4:3: way: no zone 'c'; known are a",
        "6:3: fault: one of slow, fail, burst or kind is wanted in it",
        "7:3: vary: 'agnts' is not among agents, rate",
        "9:3: clients: expected one of open, naive, careful",
        "1:1: lane: one or more are wanted",
        "1:1: vary: an offer is wanted for what varies of it",
    ] {
        assert!(
            all.iter().any(|m| m.starts_with(expected)),
            "{expected}\nnot found in {all:#?}"
        );
    }
    assert!(Scenario::read("").is_err());
    let huge = two_zones("agents 100000").estimated_memory();
    assert!(
        huge > 1e8 && two_zones("").estimated_memory() < 1e8,
        "{huge}"
    );
}
