//! Real agents before fakes: the figures that are the same each time, which are counts, bytes, and
//! that each figure and line is there. No times: those are for the large form, on a quiet machine.

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

/// The newest file below.
fn newest(folder: &Path) -> SystemTime {
    let entries = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap());
    let each = entries.map(|e| match e.file_type().unwrap().is_dir() {
        true => newest(&e.path()),
        false => e.metadata().unwrap().modified().unwrap(),
    });
    each.max().unwrap_or(SystemTime::UNIX_EPOCH)
}

/// The agent's program of this build. Cargo builds it with all tests, but not with those of this
/// package alone: where it is missing, or older than what it is made of, it is built here.
fn agent() -> &'static Path {
    static AGENT: OnceLock<PathBuf> = OnceLock::new();
    AGENT.get_or_init(|| {
        let path = Path::new(PROGRAM).with_file_name("tulipwall-agent");
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let parts = [
            "src",
            "crates/agent/src",
            "crates/client-policy/src",
            "crates/config/src",
        ];
        let more = [
            "crates/discovery/src",
            "crates/testkit/src",
            "crates/zones/src",
        ];
        let made_of = parts
            .iter()
            .chain(&more)
            .map(|p| newest(&root.join(p)))
            .max()
            .unwrap();
        let built = path.metadata().and_then(|m| m.modified());
        if built.is_ok_and(|at| at >= made_of) {
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
            "no agent to start: {}",
            String::from_utf8_lossy(&out.stderr)
        );
        assert!(path.is_file(), "the build left no {}", path.display());
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

/// Runs the measures with an allocator that takes no huge pages, as `docs/CAPACITY.md` has it: what
/// is resident goes by what is kept then, not by pages of 2 MiB.
fn run_fleet(arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .env("MIMALLOC_ALLOW_THP", "0")
        .arg("fleet")
        .args(arguments)
        .output()
        .unwrap()
}

/// A short run of these measures, as JSON; one agent unless told otherwise.
fn measured(arguments: &[&str]) -> (Option<i32>, Value) {
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
    let told = serde_json::from_slice(&out.stdout);
    (
        out.status.code(),
        told.unwrap_or_else(|_| panic!("{}", String::from_utf8_lossy(&out.stderr))),
    )
}

fn rows<'a>(told: &'a Value, measure: &str, by: &str) -> Vec<&'a Value> {
    let all = told["rows"].as_array().unwrap();
    all.iter()
        .filter(|r| r["measure"] == measure && r["by"] == by)
        .collect()
}

fn figures(told: &Value, measure: &str, by: &str, figure: &str) -> Vec<f64> {
    rows(told, measure, by)
        .iter()
        .map(|r| {
            r["figures"][figure]
                .as_f64()
                .unwrap_or_else(|| panic!("{measure} lacks {figure}"))
        })
        .collect()
}

fn fit(told: &Value, measure: &str, by: &str, figure: &str, value: &str) -> f64 {
    let all = told["fits"].as_array().unwrap();
    let found = all
        .iter()
        .find(|f| f["measure"] == measure && f["by"] == by && f["figure"] == figure);
    found.unwrap_or_else(|| panic!("no line for {figure} in {measure}"))[value]
        .as_f64()
        .unwrap()
}

#[test]
fn fits_a_line_by_least_squares() {
    let exact = Line::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((exact.slope - 2.0).abs() < 1e-12 && (exact.intercept - 3.0).abs() < 1e-12);
    assert!(exact.residual_max < 1e-12 && exact.r2 > 1.0 - 1e-12);
    // By hand: means 2 and 3, slope 2.5 / 2; the points lie 0.25, -0.5 and 0.25 off.
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
    let (before, begun) = (usage(std::process::id()).unwrap(), Instant::now());
    let mut kept = vec![1u8; 8 << 20];
    while usage(std::process::id()).unwrap().cpu_time < before.cpu_time + Duration::from_millis(20)
    {
        kept.iter_mut().for_each(|b| *b = b.wrapping_add(1));
        assert!(begun.elapsed() < Duration::from_secs(60), "it never ran");
    }
    let after = usage(std::process::id()).unwrap();
    assert!(after.peak >= after.resident && after.resident > 8 << 20 && kept.len() == 8 << 20);
    // The same clock in ticks; each of two counts may lack one, and time goes on between the two
    // readings.
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    assert!(ticks(&stat).unwrap() + Duration::from_millis(20) >= after.cpu_time);
    assert!(usage(u32::MAX).is_err());
}

/// What the meter counts is what discovery wrote: its head and the list, to the byte; then what the
/// agent asked.
#[test]
fn counts_a_whole_list_to_the_byte() {
    let installation = Installation::start(&size(), EndpointBehavior::default()).unwrap();
    let running = installation.agent(agent(), 0, false).unwrap();
    let taken = until("the next question", || {
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
    assert!(usage(id).is_err(), "it outlives its owner");
}

/// A change is one answer on the watch that stands: a part that is always the same, and each entry
/// as long as the next.
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
    let (code, told) = measured(&[&arguments[..], &["--repeats", "2"]].concat());
    assert_eq!(code, Some(0), "{told}");
    let of = ("a change of the list", "entries");
    assert_eq!(figures(&told, of.0, of.1, "bytes").len(), 4);
    let [slope, off, r2] =
        ["slope", "residual_most", "r2"].map(|v| fit(&told, of.0, of.1, "bytes", v));
    assert!((120.0..170.0).contains(&slope), "{slope} bytes an entry");
    assert!(off < slope / 4.0 && r2 > 0.9999, "{told}");
    assert!(figures(&told, of.0, of.1, "ran_ms")
        .iter()
        .all(|cpu_time| *cpu_time > 0.0));
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
    let (_, told) = measured(
        &[
            &["--measure", "appliances", "tenants", "pairs"],
            &sizes[..],
            &classes,
        ]
        .concat(),
    );
    for by in ["appliances", "tenants"] {
        let all = figures(&told, "memory", by, "resident_mb");
        assert!(
            all.len() == 3 && all.windows(2).all(|w| w[0] < w[1]),
            "{by}: {all:?}"
        );
        assert!(fit(&told, "memory", by, "peak_mb", "slope") > 0.0);
        assert!(fit(&told, "memory", by, "peak_mb", "residual").is_finite());
    }
    // Counts of 3,000 endpoints times 245 more classes took 23 MB.
    let pairs = figures(&told, "memory", "appliance-lane pairs", "resident_mb");
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

/// Each request is out once at least, on a connection of its own, and as many as were asked.
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
    let (code, told) = measured(&[&arguments[..], &["--sockets", "256"]].concat());
    assert_eq!(code, Some(0), "{told}");
    assert_eq!(
        figures(&told, "memory", "open commands", "open"),
        [5.0, 20.0]
    );
    let attempts = figures(&told, "memory", "open commands", "deliveries");
    assert!(attempts[0] >= 5.0 && attempts[1] >= 20.0, "{attempts:?}");
    assert!(figures(&told, "memory", "connections", "resident_mb")
        .iter()
        .all(|mb| *mb > 1.0));
}

const FEW: [&str; 7] = [
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
    let (_, told) = measured(&[&arguments[..], &FEW, &["--lanes", "2", "5"]].concat());
    let pairs = rows(&told, "idle, lists pushed", "appliance-lane pairs");
    assert_eq!(
        pairs
            .iter()
            .filter_map(|r| r["size"].as_f64())
            .collect::<Vec<_>>(),
        [800.0, 2000.0]
    );
    let idle = figures(&told, "idle, lists pushed", "appliances", "control_bytes_s");
    assert!(
        idle.len() == 2 && idle.iter().all(|b| *b < 3000.0),
        "{idle:?}"
    );
    assert_eq!(
        figures(&told, "idle, lists pushed", "appliances", "agents"),
        [2.0, 2.0]
    );
    let list = figures(&told, "start without a list", "appliances", "list_bytes");
    let entry = (list[1] - list[0]) / 390.0;
    assert!((120.0..170.0).contains(&entry), "{entry} bytes an entry");
}

/// How much is asked for is the agent's to say; here that it is counted, and no more than it may be
/// at the very most: two calls for the whole list.
#[test]
fn counts_reloads_and_restarts_until_they_are_in_force() {
    let (_, told) = measured(&[&["--measure", "start", "renew", "restart"][..], &FEW].concat());
    let whole = figures(&told, "start without a list", "appliances", "list_bytes");
    let renewed = figures(&told, "a new configuration (SIGHUP)", "appliances", "bytes");
    let again = figures(&told, "new settings (restart)", "appliances", "bytes");
    for (n, whole) in whole.iter().enumerate() {
        assert!(
            renewed[n] > 200.0 && renewed[n] < whole * 2.0 + 8000.0,
            "{renewed:?} of {whole}"
        );
        assert!(
            again[n] > 200.0 && again[n] < whole * 2.0 + 8000.0,
            "{again:?} of {whole}"
        );
    }
    for by in ["appliances", "tenants"] {
        let ms = figures(&told, "a new configuration (SIGHUP)", by, "in_force_ms");
        assert!(ms.iter().all(|ms| *ms > 0.0));
        assert!(figures(&told, "new settings (restart)", by, "in_force_ms")
            .iter()
            .all(|ms| *ms > 0.0));
    }
}

/// Whether an agent takes settings over at SIGHUP is its to say: either no time is told, or one for
/// all repeats.
#[test]
fn reports_settings_taken_over_for_all_repeats_or_none() {
    let (_, told) = measured(&[&["--measure", "settings"][..], &FEW].concat());
    for by in ["appliances", "tenants"] {
        let settings = rows(&told, "new settings (SIGHUP)", by);
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

const LOADS: [&str; 9] = [
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

/// The load is the same each time: so many requests, whatever they are sent to.
#[test]
fn load_sends_the_same_number_of_requests_at_each_size() {
    let (_, told) = measured(&[&["--measure", "added"][..], &LOADS].concat());
    let asked = figures(
        &told,
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
                &told,
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
    let (_, told) = measured(&[&["--measure", "commands"][..], &LOADS].concat());
    let asked = figures(&told, "commands at 40 a second", "appliances", "asked");
    assert!(asked[0] > 10.0 && asked[0] == asked[1], "{asked:?}");
    assert!(
        figures(&told, "commands at 40 a second", "appliances", "core_%")
            .iter()
            .all(|c| *c > 0.0)
    );
    assert_eq!(
        figures(&told, "commands at 40 a second", "tenants", "us_a_command").len(),
        1
    );
}

#[test]
fn load_covers_classes_and_tenants_of_the_settings() {
    let installation = Installation::start(&size(), EndpointBehavior::default()).unwrap();
    let at = installation.endpoints[0].address(0);
    let answered = measures::load(&size(), at, 60.0, Duration::from_secs(1), 3);
    let seen = installation.endpoints[0].received_queries();
    assert!(
        answered.requests > 20 && seen.len() as u64 == answered.requests,
        "{}",
        seen.len()
    );
    assert!(seen
        .iter()
        .all(|s| s.class.starts_with("route-") && s.statement.contains(",t=tenant-")));
    assert!(seen.iter().any(|s| s.key.is_some()));
    let classes: std::collections::BTreeSet<_> = seen.iter().map(|s| &s.class).collect();
    assert!(classes.len() > 3, "{classes:?}");
}

/// What a handshake for each request takes is told apart by a load that makes one for each, also
/// while the fakes look for events all the time.
#[test]
fn load_makes_a_handshake_for_each_request_where_it_is_told_to() {
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
    let handshaken = load.clone().run_with(ConnectionUse::NewForEach);
    let accepted = installation.accepted_by_timed_endpoints();
    assert_eq!(handshaken.succeeded, handshaken.requests);
    assert_eq!(accepted, handshaken.requests);
    let kept = load.run_with(ConnectionUse::Reused);
    assert_eq!(kept.requests, handshaken.requests);
    let accepted_by_kept = installation.accepted_by_timed_endpoints() - accepted;
    assert!(accepted_by_kept < kept.requests, "{accepted_by_kept}");
}

/// What a request takes is known beforehand, by its id: no answer comes sooner, and the mean is the
/// one that was told.
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
    // Half of it is exponential: mean 2, deviation 2.
    assert!(
        (m - 4.0).abs() < 0.05 && (variance - 4.0).abs() < 0.2,
        "mean {m}, variance {variance}"
    );
    assert!(all.iter().all(|x| *x >= 2.0) && work("a", mean) == work("a", mean));
}

#[test]
fn refuses_a_run_that_does_not_fit_before_it_starts() {
    // No such program: whoever came to start it would say so.
    let refused = |arguments: &[&str], why: &str| {
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
        let said = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(1));
        assert!(
            said.contains(why) && said.contains("the run would take"),
            "{said}"
        );
        assert!(out.stdout.is_empty());
    };
    refused(&["--agents", "101"], "101 agents of");
    refused(
        &["--agents", "100", "--appliances", "1000000"],
        "at most 4096 MB of memory are allowed",
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

    let room = Machine {
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
    assert_eq!(of(100, 1000).refused(&room), None);
    let why = |e: Estimate, m: Machine| {
        e.refused(&m)
            .map_or_else(String::new, |refusal| refusal.to_string())
    };
    let little = Machine {
        memory: 2 << 30,
        ..room
    };
    assert!(why(of(100, 1000), little).contains("of which half is left"));
    assert!(why(
        of(100, 1000),
        Machine {
            descriptors: 1024,
            ..room
        }
    )
    .contains("limited to 1024 descriptors"));
    // It does not overflow.
    assert!(of(usize::MAX, usize::MAX).refused(&room).is_some());
}

/// Else a run that does not fit would be let in.
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
    let (took, told) = (
        running.usage().unwrap().peak,
        estimate::size(&size, clients.len()).agent,
    );
    assert!(took <= told, "{took} of {told}");
}

#[test]
fn lists_figures_beyond_a_limit_and_exits_with_4() {
    let sizes = ["--measure", "appliances", "--appliances", "10", "20"];
    let (code, told) = measured(&sizes);
    assert_eq!(
        (code, told["beyond"].as_array().map(Vec::len)),
        (Some(0), Some(0)),
        "{told}"
    );
    let (code, told) = measured(&[&sizes[..], &["--limit", "peak_mb=1"]].concat());
    assert_eq!(
        (code, told["beyond"].as_array().map(Vec::len)),
        (Some(4), Some(2)),
        "{told}"
    );
    let row = |figure, value| Row::new("m", "n", 7.0, [(figure, value)]);
    let results = |figure, value| {
        let mut of = Results {
            limits: limits(),
            ..Results::default()
        };
        of.add(vec![row(figure, value)], &[]);
        of.exceeded_limits()
    };
    // The operators' letter, figure by figure.
    let letter = [
        ("control_core_%", 1.2),
        ("peak_mb", 256.0),
        ("control_bytes_s", 3000.0),
        ("bytes_s_at_1000_a_day", 3000.0),
        ("in_force_ms", 4000.0),
        ("added_p99_ms", 7.9),
    ];
    for (figure, most) in letter {
        assert!(results(figure, most).is_empty(), "{figure}");
        assert!(results(figure, most * 1.01)[0].contains(figure), "{figure}");
    }
}
