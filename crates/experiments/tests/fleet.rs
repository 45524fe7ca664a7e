//! Runs real agents against fake endpoints and checks what is the same in each run: counts, bytes,
//! and that each figure and fitted line is present. Does not check times, which need a full run on
//! a quiet machine.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime};
use tulipwall_experiments::fleet::estimate::{self, Estimate};
use tulipwall_experiments::fleet::installation::{until, Installation};
use tulipwall_experiments::fleet::line::Line;
use tulipwall_experiments::fleet::process::{ticks, usage, Machine};
use tulipwall_experiments::fleet::timed_endpoint::work;
use tulipwall_experiments::fleet::{limits, measures, Results, Row, Size};
use tulipwall_testkit::runtime::BusyPolling;
use tulipwall_testkit::{ConnectionUse, EndpointBehavior, Load, TestClient};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tulipwall-experiments");

/// Returns the latest modification time of the files below a directory.
fn latest_modification(folder: &Path) -> SystemTime {
    let entries = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap());
    let each = entries.map(|e| match e.file_type().unwrap().is_dir() {
        true => latest_modification(&e.path()),
        false => e.metadata().unwrap().modified().unwrap(),
    });
    each.max().unwrap_or(SystemTime::UNIX_EPOCH)
}

/// Returns the path of the agent's binary of this build profile. Cargo builds the binary with the
/// tests of the workspace, but not with those of this package alone, so this function builds it if
/// it is missing or older than its sources.
fn agent() -> &'static Path {
    static AGENT: OnceLock<PathBuf> = OnceLock::new();
    AGENT.get_or_init(|| {
        let path = Path::new(PROGRAM).with_file_name("tulipwall-agent");
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let source_dirs = [
            "src",
            "crates/agent/src",
            "crates/client-policy/src",
            "crates/config/src",
        ];
        let more_source_dirs = [
            "crates/discovery/src",
            "crates/testkit/src",
            "crates/zones/src",
        ];
        let sources_modified_at = source_dirs
            .iter()
            .chain(&more_source_dirs)
            .map(|p| latest_modification(&root.join(p)))
            .max()
            .unwrap();
        let binary_modified_at = path.metadata().and_then(|m| m.modified());
        if binary_modified_at.is_ok_and(|at| at >= sources_modified_at) {
            return path;
        }
        let profile = path.parent().unwrap();
        let name = profile.file_name().unwrap().to_str().unwrap();
        let out = Command::new(env!("CARGO"))
            .current_dir(&root)
            .args([
                "build",
                "--locked",
                "-p",
                "tulipwall-agent",
                "--bin",
                "tulipwall-agent",
            ])
            .args([
                "--profile",
                if name == "debug" { "dev" } else { name },
                "--target-dir",
            ])
            .arg(profile.parent().unwrap())
            .output()
            .unwrap();
        assert!(
            out.status.success(),
            "building the agent failed: {}",
            String::from_utf8_lossy(&out.stderr)
        );
        assert!(
            path.is_file(),
            "the build did not create {}",
            path.display()
        );
        path
    })
}

fn size() -> Size {
    Size {
        agents: 1,
        endpoints: 40,
        classes: 11,
        tenants: 20,
        zones: 3,
        sockets: 64,
        pushed: true,
    }
}

/// Runs the measurements with an allocator that uses no huge pages, as in `docs/CAPACITY.md`, so
/// that resident memory follows the memory retained rather than pages of 2 MiB.
fn run_fleet(arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .env("MIMALLOC_ALLOW_THP", "0")
        .arg("fleet")
        .args(arguments)
        .output()
        .unwrap()
}

/// Runs short measurements and returns the exit code and the JSON report. Starts one agent unless
/// the arguments say otherwise.
fn run_measurements(arguments: &[&str]) -> (Option<i32>, Value) {
    let agent = [
        "--agent",
        agent().to_str().unwrap(),
        "--seconds",
        "0.5",
        "--settle",
        "100",
        "--json",
    ];
    let out = run_fleet(&[&agent, arguments].concat());
    let reported = serde_json::from_slice(&out.stdout);
    (
        out.status.code(),
        reported.unwrap_or_else(|_| panic!("{}", String::from_utf8_lossy(&out.stderr))),
    )
}

fn rows<'a>(reported: &'a Value, measure: &str, by: &str) -> Vec<&'a Value> {
    let all = reported["rows"].as_array().unwrap();
    all.iter()
        .filter(|r| r["measure"] == measure && r["by"] == by)
        .collect()
}

fn figures(reported: &Value, measure: &str, by: &str, figure: &str) -> Vec<f64> {
    rows(reported, measure, by)
        .iter()
        .map(|r| {
            r["figures"][figure]
                .as_f64()
                .unwrap_or_else(|| panic!("{measure} has no figure {figure}"))
        })
        .collect()
}

fn fit(reported: &Value, measure: &str, by: &str, figure: &str, value: &str) -> f64 {
    let all = reported["fits"].as_array().unwrap();
    let found = all
        .iter()
        .find(|f| f["measure"] == measure && f["by"] == by && f["figure"] == figure);
    found.unwrap_or_else(|| panic!("no fitted line for {figure} in {measure}"))[value]
        .as_f64()
        .unwrap()
}

#[test]
fn fits_a_line_by_least_squares() {
    let exact = Line::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((exact.slope - 2.0).abs() < 1e-12 && (exact.intercept - 3.0).abs() < 1e-12);
    assert!(exact.residual_max < 1e-12 && exact.r2 > 1.0 - 1e-12);
    // Calculated by hand: the means are 2 and 3, the slope is 2.5 / 2, and the residuals are 0.25,
    // -0.5 and 0.25.
    let off = Line::through(&[(1.0, 2.0), (2.0, 2.5), (3.0, 4.5)]).unwrap();
    assert!((off.slope - 1.25).abs() < 1e-12 && (off.intercept - 0.5).abs() < 1e-12);
    assert!((off.residual_max - 0.5).abs() < 1e-12);
    assert!((off.residual - (0.375f64 / 3.0).sqrt()).abs() < 1e-12);
    assert_eq!(Line::through(&[(3.0, 1.0), (3.0, 2.0)]), None);
    assert_eq!(Line::through(&[]), None);
}

#[test]
fn reads_the_usage_of_a_process() {
    let stat = "77 (a) b (c)) R 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20 0 1 0 99";
    assert_eq!(ticks(stat), Some(Duration::from_secs(3)));
    assert_eq!(ticks("nothing"), None);
    let (before, started_at) = (usage(std::process::id()).unwrap(), Instant::now());
    let mut kept = vec![1u8; 8 << 20];
    while usage(std::process::id()).unwrap().ran < before.ran + Duration::from_millis(20) {
        kept.iter_mut().for_each(|b| *b = b.wrapping_add(1));
        assert!(
            started_at.elapsed() < Duration::from_secs(60),
            "no 20 ms of processor time within 60 s"
        );
    }
    let after = usage(std::process::id()).unwrap();
    assert!(after.peak >= after.resident && after.resident > 8 << 20 && kept.len() == 8 << 20);
    // The same clock in ticks. User and system time may each lack up to one tick, and time passes
    // between the two readings.
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    assert!(ticks(&stat).unwrap() + Duration::from_millis(20) >= after.ran);
    assert!(usage(u32::MAX).is_err());
}

/// Checks that the traffic meter counts exactly the bytes that discovery wrote, the response head
/// and the list, and that it also counts the agent's requests.
#[test]
fn counts_a_whole_list_to_the_byte() {
    let installation = Installation::start(&size(), EndpointBehavior::default()).unwrap();
    let running = installation.agent(agent(), 0, false).unwrap();
    let taken = until("the next discovery request", || {
        running
            .discovery
            .response_since(Instant::now() - Duration::from_secs(600))
    });
    let body = installation.discovery.full_list(0).to_string();
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: \r\n\r\n".len();
    assert_eq!(
        taken.unwrap().bytes as usize,
        head + body.len().to_string().len() + body.len()
    );
    assert!(
        running.discovery.traffic().from_agent > 0 && running.platform.traffic().connections == 1
    );
    let id = running.program.id();
    drop(running);
    assert!(usage(id).is_err(), "the agent outlived its owner");
}

/// A change of the list is one response on the pending watch: a constant part, and entries of equal
/// length.
#[test]
fn change_bytes_grow_with_the_entries_changed() {
    let arguments = [
        "--measure",
        "change",
        "--appliances",
        "200",
        "--changed",
        "1",
        "10",
        "100",
    ];
    let (code, reported) = run_measurements(&[&arguments[..], &["--repeats", "2"]].concat());
    assert_eq!(code, Some(0), "{reported}");
    let of = ("a change of the list", "entries");
    assert_eq!(figures(&reported, of.0, of.1, "bytes").len(), 4);
    let [slope, off, r2] =
        ["slope", "residual_most", "r2"].map(|v| fit(&reported, of.0, of.1, "bytes", v));
    assert!((120.0..170.0).contains(&slope), "{slope} bytes per entry");
    assert!(off < slope / 4.0 && r2 > 0.9999, "{reported}");
    assert!(figures(&reported, of.0, of.1, "ran_ms")
        .iter()
        .all(|ran| *ran > 0.0));
}

#[test]
fn memory_grows_with_endpoints_and_tenants_but_not_with_their_pairs() {
    let sizes = [
        "--appliances",
        "10",
        "1000",
        "3000",
        "--tenants",
        "10",
        "4000",
        "16000",
    ];
    let classes = ["--lanes", "5", "100", "250"];
    let (_, reported) = run_measurements(
        &[
            &["--measure", "appliances", "tenants", "pairs"],
            &sizes[..],
            &classes,
        ]
        .concat(),
    );
    for by in ["appliances", "tenants"] {
        let all = figures(&reported, "memory", by, "resident_mb");
        assert!(
            all.len() == 3 && all.windows(2).all(|w| w[0] < w[1]),
            "{by}: {all:?}"
        );
        assert!(fit(&reported, "memory", by, "peak_mb", "slope") > 0.0);
        assert!(fit(&reported, "memory", by, "peak_mb", "residual").is_finite());
    }
    // Guards against counts kept per pair: for 3,000 endpoints times 245 more classes they took
    // 23 MB.
    let pairs = figures(&reported, "memory", "appliance-lane pairs", "resident_mb");
    assert!(
        pairs.len() == 3 && pairs.iter().all(|mb| (mb - pairs[0]).abs() < 5.0),
        "pairs: {pairs:?}"
    );
    let out = String::from_utf8(run_fleet(&["--help"]).stdout).unwrap();
    assert!(
        out.contains("Exit codes") && out.contains("4 a figure of `fleet`"),
        "{out}"
    );
}

/// Each request is sent at least once, on its own connection, and as many requests are open as were
/// asked for.
#[test]
fn measures_memory_while_requests_and_connections_are_open() {
    let arguments = [
        "--measure",
        "connections",
        "open",
        "--connections",
        "10",
        "40",
        "--open",
        "5",
        "20",
    ];
    let (code, reported) = run_measurements(&[&arguments[..], &["--sockets", "256"]].concat());
    assert_eq!(code, Some(0), "{reported}");
    assert_eq!(
        figures(&reported, "memory", "open commands", "open"),
        [5.0, 20.0]
    );
    let attempts = figures(&reported, "memory", "open commands", "deliveries");
    assert!(attempts[0] >= 5.0 && attempts[1] >= 20.0, "{attempts:?}");
    assert!(figures(&reported, "memory", "connections", "resident_mb")
        .iter()
        .all(|mb| *mb > 1.0));
}

const SMALL_RUN_OPTIONS: [&str; 7] = [
    "--appliances",
    "10",
    "400",
    "--tenants",
    "10",
    "--repeats",
    "1",
];

#[test]
fn idle_traffic_is_independent_of_the_list_and_a_whole_list_is_not() {
    let arguments = ["--measure", "idle", "start", "--agents", "2"];
    let (_, reported) =
        run_measurements(&[&arguments[..], &SMALL_RUN_OPTIONS, &["--lanes", "2", "5"]].concat());
    let pairs = rows(&reported, "idle, lists pushed", "appliance-lane pairs");
    assert_eq!(
        pairs
            .iter()
            .filter_map(|r| r["size"].as_f64())
            .collect::<Vec<_>>(),
        [800.0, 2000.0]
    );
    let idle = figures(
        &reported,
        "idle, lists pushed",
        "appliances",
        "control_bytes_s",
    );
    assert!(
        idle.len() == 2 && idle.iter().all(|b| *b < 3000.0),
        "{idle:?}"
    );
    assert_eq!(
        figures(&reported, "idle, lists pushed", "appliances", "agents"),
        [2.0, 2.0]
    );
    let list = figures(
        &reported,
        "start without a list",
        "appliances",
        "list_bytes",
    );
    let entry = (list[1] - list[0]) / 390.0;
    assert!((120.0..170.0).contains(&entry), "{entry} bytes per entry");
}

/// How many bytes are requested depends on the agent. This checks that they are counted and do not
/// exceed the maximum, which is two requests for the whole list.
#[test]
fn counts_reloads_and_restarts_until_they_are_in_force() {
    let (_, reported) = run_measurements(
        &[
            &["--measure", "start", "renew", "restart"][..],
            &SMALL_RUN_OPTIONS,
        ]
        .concat(),
    );
    let whole = figures(
        &reported,
        "start without a list",
        "appliances",
        "list_bytes",
    );
    let bytes_after_reload = figures(
        &reported,
        "a new configuration (SIGHUP)",
        "appliances",
        "bytes",
    );
    let bytes_after_restart = figures(&reported, "new settings (restart)", "appliances", "bytes");
    for (n, whole) in whole.iter().enumerate() {
        assert!(
            bytes_after_reload[n] > 200.0 && bytes_after_reload[n] < whole * 2.0 + 8000.0,
            "{bytes_after_reload:?} of {whole}"
        );
        assert!(
            bytes_after_restart[n] > 200.0 && bytes_after_restart[n] < whole * 2.0 + 8000.0,
            "{bytes_after_restart:?} of {whole}"
        );
    }
    for by in ["appliances", "tenants"] {
        let ms = figures(&reported, "a new configuration (SIGHUP)", by, "in_force_ms");
        assert!(ms.iter().all(|ms| *ms > 0.0));
        assert!(
            figures(&reported, "new settings (restart)", by, "in_force_ms")
                .iter()
                .all(|ms| *ms > 0.0)
        );
    }
}

/// The agent decides whether it takes settings over at SIGHUP. The report has either no time or one
/// that covers all repeats.
#[test]
fn reports_settings_taken_over_for_all_repeats_or_none() {
    let (_, reported) =
        run_measurements(&[&["--measure", "settings"][..], &SMALL_RUN_OPTIONS].concat());
    for by in ["appliances", "tenants"] {
        let settings = rows(&reported, "new settings (SIGHUP)", by);
        for row in settings.iter().map(|r| &r["figures"]) {
            assert_eq!(
                row["taken_over"] == 1.0,
                row["in_force_ms"].is_number(),
                "{row}"
            );
        }
        assert_eq!(settings.len(), if by == "tenants" { 1 } else { 2 });
    }
}

const LOAD_OPTIONS: [&str; 9] = [
    "--appliances",
    "10",
    "60",
    "--tenants",
    "30",
    "--rate",
    "40",
    "--repeats",
    "1",
];

/// The load generator sends the same number of requests in each run, whatever it sends them to.
#[test]
fn load_sends_the_same_number_of_requests_at_each_size() {
    let (_, reported) = run_measurements(&[&["--measure", "added"][..], &LOAD_OPTIONS].concat());
    let asked = figures(
        &reported,
        "added to a request at 40 a second",
        "appliances",
        "asked",
    );
    assert!(asked[0] > 10.0 && asked[0] == asked[1], "{asked:?}");
    for figure in [
        "added_p50_ms",
        "added_p99_ms",
        "least_ms",
        "most_ms",
        "through_p99_ms",
        "straight_p99_ms",
        "handshake_p50_ms",
        "handshake_p99_ms",
        "handshakes_a_command",
    ] {
        assert_eq!(
            figures(
                &reported,
                "added to a request at 40 a second",
                "appliances",
                figure
            )
            .len(),
            2
        );
    }
}

#[test]
fn counts_requests_by_endpoints_and_by_tenants() {
    let (_, reported) = run_measurements(&[&["--measure", "commands"][..], &LOAD_OPTIONS].concat());
    let asked = figures(&reported, "commands at 40 a second", "appliances", "asked");
    assert!(asked[0] > 10.0 && asked[0] == asked[1], "{asked:?}");
    assert!(
        figures(&reported, "commands at 40 a second", "appliances", "core_%")
            .iter()
            .all(|c| *c > 0.0)
    );
    assert_eq!(
        figures(
            &reported,
            "commands at 40 a second",
            "tenants",
            "us_a_command"
        )
        .len(),
        1
    );
}

#[test]
fn load_covers_classes_and_tenants_of_the_settings() {
    let installation = Installation::start(&size(), EndpointBehavior::default()).unwrap();
    let at = installation.endpoints[0].address(0);
    let answered = measures::load(&size(), at, 60.0, Duration::from_secs(1), 3);
    let received = installation.endpoints[0].received_queries();
    assert!(
        answered.requests > 20 && received.len() as u64 == answered.requests,
        "{}",
        received.len()
    );
    assert!(received
        .iter()
        .all(|s| s.class.starts_with("route-") && s.statement.contains(",t=tenant-")));
    assert!(received.iter().any(|s| s.key.is_some()));
    let classes: std::collections::BTreeSet<_> = received.iter().map(|s| &s.class).collect();
    assert!(classes.len() > 3, "{classes:?}");
}

/// The cost of a handshake per request is measured with a load that opens a connection for each
/// request. This has to work also while the fake endpoints poll for events continuously.
#[test]
fn load_makes_a_handshake_for_each_request_if_configured() {
    let mean = Duration::from_millis(4);
    let installation = Installation::with_timed_endpoints(&size(), mean).unwrap();
    let load = Load {
        agent: installation.timed_endpoints[0].address,
        rate: 100.0,
        duration: Duration::from_secs(1),
        classes: vec![("route-0".into(), 1.0, Duration::from_millis(1500), false)],
        connections: 50,
        seed: 5,
    };
    let _polling = BusyPolling::begin();
    let with_handshakes = load.clone().run_with(ConnectionUse::NewForEach);
    let accepted = installation.accepted_by_timed_endpoints();
    assert_eq!(with_handshakes.succeeded, with_handshakes.requests);
    assert_eq!(accepted, with_handshakes.requests);
    let kept = load.run_with(ConnectionUse::Reused);
    assert_eq!(kept.requests, with_handshakes.requests);
    let accepted_by_reused = installation.accepted_by_timed_endpoints() - accepted;
    assert!(accepted_by_reused < kept.requests, "{accepted_by_reused}");
}

/// The work of a request is determined by its id. No answer comes sooner, and the mean work is the
/// configured one.
#[test]
fn timed_endpoint_takes_the_time_that_the_id_gives() {
    let mean = Duration::from_millis(4);
    let installation = Installation::with_timed_endpoints(&size(), mean).unwrap();
    let answered = measures::load(
        &size(),
        installation.timed_endpoints[0].address,
        100.0,
        Duration::from_secs(1),
        5,
    );
    assert_eq!(
        (answered.request_latencies.len() as u64, answered.succeeded),
        (answered.requests, answered.requests)
    );
    for (id, took) in &answered.request_latencies {
        assert!(
            Duration::from_micros(took + 1) >= work(id, mean),
            "{id} after {took} us"
        );
    }
    let all: Vec<f64> = (0..100_000)
        .map(|n| work(&format!("a-{n}"), mean).as_secs_f64() * 1000.0)
        .collect();
    let of = |f: &dyn Fn(f64) -> f64| all.iter().map(|x| f(*x)).sum::<f64>() / all.len() as f64;
    let (m, variance) = (of(&|x| x), of(&|x| (x - 4.0).powi(2)));
    // Half of the work is exponential, with a mean and a standard deviation of 2 ms.
    assert!(
        (m - 4.0).abs() < 0.05 && (variance - 4.0).abs() < 0.2,
        "mean {m}, variance {variance}"
    );
    assert!(all.iter().all(|x| *x >= 2.0) && work("a", mean) == work("a", mean));
}

#[test]
fn refuses_a_run_that_does_not_fit_before_it_starts() {
    // The program does not exist: a run that got as far as starting it would fail with another
    // message.
    let refused = |arguments: &[&str], refusal_reason: &str| {
        let out = run_fleet(
            &[
                &[
                    "--agent",
                    "/nowhere/tulipwall-agent",
                    "--measure",
                    "appliances",
                ],
                arguments,
            ]
            .concat(),
        );
        let message = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(1));
        assert!(
            message.contains(refusal_reason) && message.contains("the run would take"),
            "{message}"
        );
        assert!(out.stdout.is_empty());
    };
    refused(&["--agents", "101"], "101 agents of");
    refused(
        &["--agents", "100", "--appliances", "1000000"],
        "at most 4096 MB are taken",
    );
    let out = run_fleet(&[
        "--agent",
        "/nowhere/tulipwall-agent",
        "--measure",
        "appliances",
    ]);
    assert!(String::from_utf8(out.stderr)
        .unwrap()
        .contains("no such program"));
    assert_eq!(run_fleet(&["--appliances", "0"]).status.code(), Some(2));
    assert_eq!(run_fleet(&["--seconds", "61"]).status.code(), Some(2));
    assert_eq!(run_fleet(&["--limit", "peak_mb"]).status.code(), Some(2));

    let machine = Machine {
        memory: 8 << 30,
        descriptors: 20_000,
        load: 0.0,
        cores: 8,
        own_cores: 8,
    };
    let of = |agents, tenants| {
        estimate::size(
            &Size {
                agents,
                tenants,
                ..size()
            },
            0,
        )
    };
    assert_eq!(of(100, 1000).refused(&machine), None);
    let refusal_reason = |e: Estimate, m: Machine| {
        e.refused(&m)
            .map_or_else(String::new, |refusal| refusal.to_string())
    };
    let small_machine = Machine {
        memory: 2 << 30,
        ..machine
    };
    assert!(refusal_reason(of(100, 1000), small_machine).contains("of which half is left"));
    assert!(refusal_reason(
        of(100, 1000),
        Machine {
            descriptors: 1024,
            ..machine
        }
    )
    .contains("1024 descriptors are allowed"));
    // The estimate does not overflow.
    assert!(of(usize::MAX, usize::MAX).refused(&machine).is_some());
}

/// Guards against an estimate that is too low, by which a run that does not fit in memory would
/// start.
#[test]
fn agent_takes_no_more_memory_than_its_estimate() {
    let size = Size {
        endpoints: 3000,
        classes: 300,
        tenants: 5000,
        ..size()
    };
    let installation = Installation::start(&size, EndpointBehavior::default()).unwrap();
    let running = installation.agent(agent(), 0, true).unwrap();
    let clients: Vec<_> = (0..20)
        .map(|_| TestClient::connect(running.address().unwrap()).unwrap())
        .collect();
    let (took, reported) = (
        running.usage().unwrap().peak,
        estimate::size(&size, clients.len()).agent,
    );
    assert!(
        took <= reported,
        "peak of {took} bytes exceeds the estimate of {reported}"
    );
}

#[test]
fn lists_figures_beyond_a_limit_and_exits_with_4() {
    let sizes = ["--measure", "appliances", "--appliances", "10", "20"];
    let (code, reported) = run_measurements(&sizes);
    assert_eq!(
        (code, reported["beyond"].as_array().map(Vec::len)),
        (Some(0), Some(0)),
        "{reported}"
    );
    let (code, reported) = run_measurements(&[&sizes[..], &["--limit", "peak_mb=1"]].concat());
    assert_eq!(
        (code, reported["beyond"].as_array().map(Vec::len)),
        (Some(4), Some(2)),
        "{reported}"
    );
    let row = |figure, value| Row::new("m", "n", 7.0, [(figure, value)]);
    let results = |figure, value| {
        let mut of = Results {
            limits: limits(),
            ..Results::default()
        };
        of.add(vec![row(figure, value)], &[]);
        of.beyond()
    };
    // The limits that the operators stated, one per figure.
    let stated_limits = [
        ("control_core_%", 1.2),
        ("peak_mb", 256.0),
        ("control_bytes_s", 3000.0),
        ("bytes_s_at_1000_a_day", 3000.0),
        ("in_force_ms", 4000.0),
        ("added_p99_ms", 7.9),
    ];
    for (figure, limit) in stated_limits {
        assert!(results(figure, limit).is_empty(), "{figure}");
        assert!(
            results(figure, limit * 1.01)[0].contains(figure),
            "{figure}"
        );
    }
}
