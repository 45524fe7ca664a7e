//! Cross-zone traffic on real sockets: the agent's account is compared with what the fake endpoints
//! counted.

use rustix::process::Signal;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};
use tulipwall_testkit::runtime::{wait_until, TEST_TIMEOUT};
use tulipwall_testkit::*;

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Two zones with three endpoints in each. The delays to and from the far zone add up to 8 ms.
fn cluster(near: EndpointBehavior, far: EndpointBehavior) -> TestCluster {
    let cluster = TestCluster::new(&["akl-east", "akl-west"], classes()).unwrap();
    for n in 0..3 {
        cluster
            .add_endpoint(0, &format!("e-{n}"), 41, near.clone())
            .unwrap();
        cluster
            .add_endpoint(1, &format!("w-{n}"), 41, far.clone())
            .unwrap();
    }
    cluster.set_link(
        0,
        1,
        Link {
            request_delay: ms(3),
            reply_delay: ms(5),
            cut: false,
        },
    );
    cluster
}

/// Only one test at a time generates load: two loads on a few cores would make the near zone look
/// full, which none of these tests checks.
static LOAD_LOCK: Mutex<()> = Mutex::new(());

fn exclusive_load() -> MutexGuard<'static, ()> {
    LOAD_LOCK
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// An agent in the zone akl-east, with the address of its admin endpoint.
struct Agent {
    _exclusive_load: MutexGuard<'static, ()>,
    program: AgentProcess,
    door: String,
}

/// Starts an agent whose installation file has these lines in its node `zones`.
fn start(cluster: &TestCluster, zones: &str) -> Agent {
    let exclusive_load = exclusive_load();
    let door = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let configuration = cluster.configuration("n1", 0).unwrap();
    let file = std::env::temp_dir().join(format!(
        "tulipwall-{}-{}.kdl",
        std::process::id(),
        door.replace(':', "-")
    ));
    std::fs::write(&file, installation_text(&door, zones)).unwrap();
    let program = AgentProcess::start(
        BINARY,
        configuration,
        &["run", "--installation", file.to_str().unwrap()],
    )
    .unwrap();
    let agent = Agent {
        program,
        door,
        _exclusive_load: exclusive_load,
    };
    TestClient::connect(agent.program.address().unwrap()).unwrap();
    agent
}

/// The text of an installation file.
fn installation_text(door: &str, zones: &str) -> String {
    format!("door \"{door}\"\nzones {{\n    routing \"near-first\"\n{zones}\n}}\n")
}

impl Agent {
    fn address(&self) -> SocketAddr {
        self.program.address().unwrap()
    }

    fn file(&self) -> std::path::PathBuf {
        let name = format!(
            "tulipwall-{}-{}.kdl",
            std::process::id(),
            self.door.replace(':', "-")
        );
        std::env::temp_dir().join(name)
    }

    /// Replaces the lines in the node `zones` of the installation file, and reloads the agent.
    fn reload_zones(&self, zones: &str) {
        std::fs::write(self.file(), installation_text(&self.door, zones)).unwrap();
        self.program.signal(Signal::HUP).unwrap();
    }

    /// Runs the subcommand `report` on this agent, with these further arguments.
    fn run_report(&self, further_arguments: &[&str]) -> Output {
        Command::new(BINARY)
            .arg("report")
            .arg(&self.door)
            .args(further_arguments)
            .output()
            .unwrap()
    }

    fn report(&self) -> Value {
        let result = self.run_report(&["--json"]);
        assert!(
            result.status.success(),
            "{}",
            String::from_utf8_lossy(&result.stderr)
        );
        serde_json::from_slice(&result.stdout).unwrap()
    }

    /// The sum of a field over the links of all builds to a zone and class.
    fn sum(report: &Value, to: &str, class: &str, field: &str) -> u64 {
        let rows = report["links"].as_array().unwrap().iter();
        let selected = rows.filter(|l| l["to"] == to && l["lane"] == class);
        selected.map(|l| l[field].as_u64().unwrap()).sum()
    }

    /// The number of attempts that went over a budget for this reason.
    fn over(report: &Value, reason: &str) -> u64 {
        let rows = report["links"].as_array().unwrap().iter();
        rows.filter_map(|l| l["over"][reason].as_u64()).sum()
    }

    fn load(&self, rate: f64, duration_of_load: Duration) -> Load {
        let class = |name: &str, weight, keyed| (name.to_owned(), weight, ms(1500), keyed);
        Load {
            agent: self.address(),
            rate,
            duration: duration_of_load,
            classes: vec![
                class("view", 4.0, false),
                class("send", 4.0, true),
                class("payment", 1.0, false),
            ],
            connections: 64,
            seed: 7,
        }
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.file());
    }
}

/// Checks that both numbers are equal within a hundredth or within two, whichever is more.
fn assert_close(reported: u64, counted: u64, what: &str) {
    let tolerance = (counted as f64 * 0.01).max(2.0);
    assert!(
        reported.abs_diff(counted) as f64 <= tolerance,
        "{what}: {reported} reported, {counted} counted"
    );
}

/// Checks the agent's report against what the endpoints counted. Returns the report.
fn assert_report_matches_fakes(agent: &Agent, cluster: &TestCluster) -> Value {
    // Attempts that are still in progress, such as hedged requests, have to end first.
    thread::sleep(ms(300));
    let report = agent.report();
    for (to, zone) in cluster.zones.iter().enumerate() {
        let counted = cluster.transfer_counts(0, to);
        for class in ["view", "send", "payment"] {
            let c = counted.get(class).copied().unwrap_or_default();
            let what = format!("{class} to {zone}");
            assert_close(
                Agent::sum(&report, zone, class, "deliveries"),
                c.attempts,
                &format!("{what}: deliveries"),
            );
            // A byte is a small part of a class's traffic: the tolerance is a hundredth of the
            // class.
            assert_close(
                Agent::sum(&report, zone, class, "bytes_out"),
                c.read,
                &format!("{what}: bytes out"),
            );
            assert_close(
                Agent::sum(&report, zone, class, "bytes_in"),
                c.written,
                &format!("{what}: bytes in"),
            );
        }
        let c = counted
            .get(endpoint::CONNECTIONS)
            .copied()
            .unwrap_or_default();
        let class = "(connections)";
        assert_close(
            Agent::sum(&report, zone, class, "bytes_out"),
            c.read,
            &format!("connections to {zone}: bytes out"),
        );
        assert_close(
            Agent::sum(&report, zone, class, "bytes_in"),
            c.written,
            &format!("connections to {zone}: bytes in"),
        );
    }
    report
}

#[test]
fn reports_what_was_counted_on_every_link_and_class() {
    let near = EndpointBehavior {
        work: ms(4),
        cores: 1,
        value_bytes: 300,
        ..EndpointBehavior::default()
    };
    let cluster = cluster(
        near,
        EndpointBehavior {
            work: ms(4),
            value_bytes: 300,
            ..EndpointBehavior::default()
        },
    );
    let agent = start(&cluster, "");
    // More load than the near zone can serve, so that some of it crosses zones.
    let answered = agent.load(900.0, Duration::from_secs(3)).run();
    assert_eq!(answered.unanswered, 0, "{:?}", answered.unanswered_ids);
    let report = assert_report_matches_fakes(&agent, &cluster);
    assert!(Agent::sum(&report, "akl-west", "view", "deliveries") > 50);
    let far = report["links"]
        .as_array()
        .unwrap()
        .iter()
        .find(|l| l["to"] == "akl-west" && l["lane"] == "view");
    assert!(far.unwrap()["compared"].as_u64().unwrap() > 50);
}

#[test]
fn reports_what_was_counted_while_endpoints_fail() {
    let faults = vec![
        (ResponseBehavior::Fail, 0.04),
        (ResponseBehavior::Reject, 0.04),
        (ResponseBehavior::Close, 0.02),
        (ResponseBehavior::StallMidAnswer, 0.02),
        (ResponseBehavior::CloseMidAnswer, 0.02),
        (ResponseBehavior::Garbage, 0.02),
        (ResponseBehavior::AnswerTwice, 0.03),
        (ResponseBehavior::NeverAnswer, 0.01),
    ];
    let behavior = EndpointBehavior {
        work: ms(3),
        value_bytes: 500,
        random_responses: faults,
        ..EndpointBehavior::default()
    };
    let cluster = cluster(behavior.clone(), behavior);
    let agent = start(
        &cluster,
        "    budget \"all\" { deliveries 100; window \"1s\"; }",
    );
    let load = agent.load(400.0, Duration::from_secs(4)).start();
    thread::sleep(ms(1500));
    cluster.set_zone_state(0, "terminating");
    let answered = futures_lite::future::block_on(load);
    assert_eq!(answered.unanswered, 0, "{:?}", answered.unanswered_ids);
    assert!(
        cluster.executed_twice("payment").is_empty(),
        "{:?}",
        cluster.executed_twice("payment")
    );
    thread::sleep(ms(700));
    let report = assert_report_matches_fakes(&agent, &cluster);
    for kind in ["spoilt", "half", "never_ran", "further"] {
        let all = report["links"]
            .as_array()
            .unwrap()
            .iter()
            .map(|l| l[kind].as_u64().unwrap())
            .sum::<u64>();
        assert!(all > 3, "{kind}: {all}");
    }
    assert!(Agent::over(&report, "drained") > 100, "{}", report["heads"]);
}

#[test]
fn answers_every_request_while_the_local_zone_drains_in_a_burst_with_the_budget_spent() {
    let behavior = EndpointBehavior {
        work: ms(5),
        ..EndpointBehavior::default()
    };
    let cluster = cluster(behavior.clone(), behavior);
    let agent = start(
        &cluster,
        "    budget \"none\" { deliveries 0; window \"10s\"; }",
    );
    let load = agent.load(500.0, Duration::from_secs(3)).start();
    thread::sleep(ms(1500));
    let before = cluster.transfer_counts(0, 1);
    let crossed: u64 = before.values().map(|c| c.attempts).sum();
    assert!(
        crossed <= 2,
        "{crossed} attempts crossed zones while the near zone had room"
    );
    let drained = Instant::now();
    cluster.set_zone_state(0, "terminating");
    let answered = futures_lite::future::block_on(load);
    assert_eq!(
        (answered.unanswered, answered.answered()),
        (0, answered.requests),
        "{:?}",
        answered.unanswered_ids
    );
    assert!(
        answered.succeeded as f64 > 0.98 * answered.requests as f64,
        "{answered:?}"
    );
    assert!(cluster.executed_twice("payment").is_empty());
    let late: usize = cluster
        .endpoints_in_zone(0)
        .iter()
        .map(|(_, a)| {
            a.received_queries()
                .iter()
                .filter(|s| s.at > drained + ms(250))
                .count()
        })
        .sum();
    assert_eq!(late, 0, "requests sent to a draining endpoint");
    let report = agent.report();
    assert!(Agent::over(&report, "drained") > 400, "{}", report["heads"]);
    let head = &report["heads"][0]["budgets"][0];
    assert!(head["over"]["drained"].as_u64().unwrap() > 400);
    let table = String::from_utf8(agent.run_report(&[]).stdout).unwrap();
    assert!(
        table.contains("drained") && table.contains("akl-west"),
        "{table}"
    );
    assert!(
        agent.program.log().contains("budget 'none' is spent"),
        "{}",
        agent.program.log()
    );
}

#[test]
fn enforces_a_budget_lowered_by_a_reload_at_once_and_keeps_the_account() {
    let near = EndpointBehavior {
        work: ms(10),
        cores: 1,
        ..EndpointBehavior::default()
    };
    let cluster = cluster(
        near,
        EndpointBehavior {
            work: ms(10),
            ..EndpointBehavior::default()
        },
    );
    let agent = start(
        &cluster,
        "    budget \"b\" { deliveries 100000; window \"3s\"; }",
    );
    let load = agent.load(450.0, Duration::from_secs(5)).start();
    let crossed = || {
        cluster
            .transfer_counts(0, 1)
            .values()
            .map(|c| c.attempts)
            .sum::<u64>()
    };
    assert!(wait_until(|| crossed() > 100));
    let before = Agent::sum(&agent.report(), "akl-west", "view", "deliveries");
    assert!(before > 10);
    // The error of an invalid file is logged, and the file changes nothing.
    agent.reload_zones("    budget \"b\" { deliveries -1; windw \"3s\"; }");
    assert!(
        wait_until(|| agent.program.log().contains("did you mean 'window'?")),
        "{}",
        agent.program.log()
    );
    assert_eq!(agent.report()["heads"][0]["budgets"][0]["limit"], 100000.0);
    agent.reload_zones("    budget \"b\" { deliveries 10; window \"3s\"; }");
    assert!(wait_until(|| agent.report()["heads"][0]["budgets"][0]
        ["limit"]
        == 10.0));
    let report = agent.report();
    let budget = &report["heads"][0]["budgets"][0];
    assert!(
        budget["used"].as_f64().unwrap() > 10.0,
        "a reload resets what was spent: {budget}"
    );
    assert!(Agent::sum(&report, "akl-west", "view", "deliveries") >= before);
    assert_eq!(futures_lite::future::block_on(load).unanswered, 0);
}

#[test]
fn drops_a_report_reader_that_stops_reading() {
    let behavior = EndpointBehavior {
        work: ms(2),
        ..EndpointBehavior::default()
    };
    let cluster = cluster(behavior.clone(), behavior);
    let agent = start(&cluster, "");
    let answered = agent.load(300.0, ms(800)).run();
    assert_eq!(answered.unanswered, 0);
    let readers: Vec<TcpStream> = (0..12)
        .map(|n| {
            let mut reader = TcpStream::connect(&agent.door).unwrap();
            // Some send a request and do not read, some send half of one, some send bytes that are
            // no request, some send nothing.
            let raw_requests: [&[u8]; 4] = [
                b"GET /zones HTTP/1.1\r\n\r\n",
                b"GET /zo",
                b"\xff\0\xff\r\n\r\n",
                b"",
            ];
            reader.write_all(raw_requests[n % 4]).unwrap();
            reader
        })
        .collect();
    let answered = agent.load(300.0, ms(1000)).run();
    assert_eq!((answered.unanswered, answered.rejected), (0, 0));
    assert!(
        answered.quantile_ms(0.99) < 400.0,
        "{}",
        answered.quantile_ms(0.99)
    );
    drop(readers);
    assert!(
        wait_until(|| agent.run_report(&[]).status.success()),
        "the admin endpoint does not serve again"
    );
    let mut other = TcpStream::connect(&agent.door).unwrap();
    other.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    other.write_all(b"POST / HTTP/1.1\r\n\r\n").unwrap();
    let mut heard = String::new();
    other.read_to_string(&mut heard).unwrap();
    assert!(heard.starts_with("HTTP/1.1 405"), "{heard}");
}

#[test]
fn serves_reports_on_a_unix_socket_and_writes_a_plot_and_a_json_log() {
    let behavior = EndpointBehavior {
        work: ms(6),
        cores: 1,
        ..EndpointBehavior::default()
    };
    let cluster = cluster(behavior.clone(), behavior);
    let folder = std::env::temp_dir().join(format!("tulipwall-unix-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (socket, file, svg) = (
        folder.join("door"),
        folder.join("i.kdl"),
        folder.join("p.svg"),
    );
    let door = format!("unix:{}", socket.display());
    let price =
        "    link \"akl-east\" \"akl-west\" { price delivery=0.001 out-gib=0.02; delay \"8ms\"; }";
    let budgets = "    budget \"m\" { to \"akl-west\"; money 5; window \"20s\"; }";
    std::fs::write(
        &file,
        format!(
            "log \"json\"\n{}",
            installation_text(&door, &format!("{price}\n{budgets}"))
        ),
    )
    .unwrap();
    let arguments = ["run", "--installation", file.to_str().unwrap()];
    let mut program =
        AgentProcess::start(BINARY, cluster.configuration("n1", 0).unwrap(), &arguments).unwrap();
    TestClient::connect(program.address().unwrap()).unwrap();
    let mut agent = Agent {
        program,
        door,
        _exclusive_load: exclusive_load(),
    };
    assert_eq!(agent.load(600.0, ms(2500)).run().unanswered, 0);
    let plotted = agent.run_report(&["--svg", svg.to_str().unwrap()]);
    assert!(
        plotted.status.success(),
        "{}",
        String::from_utf8_lossy(&plotted.stderr)
    );
    let plot = std::fs::read_to_string(&svg).unwrap();
    assert!(
        plot.starts_with("<svg")
            && plot.contains("akl-east to akl-west")
            && plot.contains("budget")
    );
    for line in agent.program.log().lines() {
        let line: Value = serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
        assert!(
            line["text"].is_string() && line["level"].is_string(),
            "{line}"
        );
    }
    assert!(agent.program.log().contains("\"phase\":\"Serving\""));
    agent.program.terminate().unwrap();
    assert!(agent.program.wait_for_success().unwrap());
    assert!(!socket.exists(), "the socket's file is removed on exit");
    assert_eq!(
        agent.run_report(&[]).status.code(),
        Some(3),
        "no report is available without an agent"
    );
    program = AgentProcess::start(BINARY, agent.program.configuration.clone(), &arguments).unwrap();
    TestClient::connect(program.address().unwrap()).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn check_names_all_mistakes_with_line_column_and_key() {
    let folder = std::env::temp_dir().join(format!("tulipwall-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (file, config) = (folder.join("i.kdl"), folder.join("c.json"));
    let cluster = TestCluster::new(&["akl-east", "akl-west"], classes()).unwrap();
    std::fs::write(&config, cluster.configuration("n1", 0).unwrap().to_string()).unwrap();
    let check = |installation_text: &str, further_arguments: &[&str]| {
        std::fs::write(&file, installation_text).unwrap();
        let mut check = Command::new(BINARY);
        check
            .env_remove("PROXY_CONFIG")
            .arg("check")
            .arg(&file)
            .args(further_arguments);
        let out = check.output().unwrap();
        (
            out.status.code(),
            String::from_utf8(out.stderr).unwrap(),
            String::from_utf8(out.stdout).unwrap(),
        )
    };
    let good =
        "zones {\n    budget \"b\" { to \"akl-west\"; lane \"view\"; share 0.05; window \"1h\"; }\n}\n";
    let (code, _, said) = check(good, &["--config", config.to_str().unwrap()]);
    assert_eq!(code, Some(0));
    assert!(said.contains("1 limits"), "{said}");
    let names = good
        .replace("akl-west", "akl-wets")
        .replace("view", "vieuw");
    let (code, said, _) = check(&names, &["--config", config.to_str().unwrap()]);
    assert_eq!(code, Some(1));
    assert!(
        said.contains("i.kdl:2:18: to: undefined zone 'akl-wets'")
            && said.contains("lane: undefined request class 'vieuw'"),
        "{said}"
    );
    let (code, _, said) = check(&names, &[]);
    assert_eq!(code, Some(0));
    assert!(said.contains("--config FILE checks them"), "{said}");
    let (code, said, _) = check("zonse { }\nlog \"xml\"\ndoor \"0.0.0.0:80\"\n", &[]);
    assert_eq!(code, Some(1));
    let expected_lines = [
        "i.kdl:1:1: zonse: unknown in the file; did you mean 'zones'?",
        "i.kdl:2:1: log: expected one of text, json",
    ];
    assert!(
        expected_lines.iter().all(|w| said.contains(w))
            && said.contains("i.kdl:3:1: door: expected a loopback"),
        "{said}"
    );
    assert_eq!(
        Command::new(BINARY)
            .arg("chekc")
            .output()
            .unwrap()
            .status
            .code(),
        Some(2)
    );
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_demo_ends_by_itself_with_every_request_answered() {
    // Runs in a process of its own with a time limit: a fake endpoint that stalls would keep it
    // from ending.
    let mut demo = Command::new(BINARY);
    let mut demo = demo
        .args(["demo", "--rate", "60"])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let begun = Instant::now();
    while demo.try_wait().unwrap().is_none() && begun.elapsed() < Duration::from_secs(60) {
        thread::sleep(ms(100));
    }
    let _ = demo.kill();
    let out = demo.wait_with_output().unwrap();
    let said = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success(), "{said}");
    for part in [
        "build 42 is offered",
        "all of akl-east drains",
        "drained",
        "0 without an answer",
    ] {
        assert!(said.contains(part), "{part}: {said}");
    }
    assert!(said.contains("Payments that ran twice: 0."));
}
