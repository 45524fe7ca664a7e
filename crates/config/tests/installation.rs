//! Tests of reading the service's settings, the installation file and the client's file: values,
//! defaults and errors.

use quickcheck::{Gen, QuickCheck};
use serde_json::json;
use std::time::Duration;
use tulipwall_config::{
    AdminAddress, ConfigDiagnostic, Fields, Installation, LogFormat, ServiceConfig,
};
use tulipwall_zones::{Limit, Price, RoutingPolicy};

const VALID_FILE: &str = r#"// A comment.
log "json"
door "127.0.0.1:9190"
zones {
    routing "near-first"
    link "east" "west" {
        delay "4ms"
        price delivery=0.00001 out-gib=0.02 in-gib=0
    }
    link "west" "east" { delay "6ms"; }
    link "east" "(unnamed)" { price out-gib=9; }
    budget "all" {
        deliveries 1000
        bytes "64MiB"
        window "10m"
    }
    budget "views" { to "west"; lane "view"; share 0.05; part 0.5; }
    budget "theirs" { to "east"; money 3; }
}
"#;

fn settings() -> serde_json::Value {
    let class = |name: &str| json!({"name": name, "aim-ms": 400.0, "idempotency": "repeatable", "points": 3.0});
    json!({"zones": ["east", "west"], "zone": "east", "classes": [class("view"), class("send")],
        "discovery": "push", "instances": 4, "rules": {}, "prices": {},
        "limits": {"try-limit": 5},
        "domain": {"most-shares": [1.0], "cap-scope": "all", "decided-by": "timer", "swap": "beside",
            "vote-ttl-ms": 1.0, "vote-wait-ms": 1.0}})
}

fn service() -> ServiceConfig {
    ServiceConfig::read(&Fields::new(&settings(), "settings").unwrap(), 1).unwrap()
}

#[test]
fn reports_settings_out_of_range_by_key_and_applies_defaults() {
    let with = |part: &str, key: &str, value: serde_json::Value| {
        let mut changed = settings();
        let section = if part.is_empty() {
            &mut changed
        } else {
            &mut changed[part]
        };
        section[key] = value;
        ServiceConfig::read(&Fields::new(&changed, "settings").unwrap(), 1)
            .map(|_| ())
            .unwrap_err()
            .to_string()
    };
    assert_eq!(
        with("domain", "closed-stages", json!(2)),
        "field closed-stages: expected at most 1, the number of rollout stages"
    );
    assert!(with("domain", "closed-stages", json!(-1)).starts_with("field closed-stages:"));
    assert_eq!(
        with("domain", "noes-needed", json!(0)),
        "field noes-needed: expected 1 or more"
    );
    assert_eq!(
        with("", "instances", json!(0)),
        "field instances: expected 1 or more"
    );
    assert_eq!(
        with("limits", "try-limit", json!(0)),
        "field try-limit: expected 1 or more"
    );
    assert!(with("domain", "reported-share", json!(1.5))
        .starts_with("field reported-share: expected a share"));
    assert!(with("domain", "most-shares", json!([0.2, 7]))
        .starts_with("field most-shares: expected shares"));
    assert_eq!(
        with("rules", "fall-multiple", json!(0.5)),
        "field fall-multiple: expected 1 or more"
    );
    // With a timer granularity of zero, requests that are not sent yet would be polled again and
    // again without a pause.
    for (section, key) in [
        ("", "granularity-ms"),
        ("rules", "must-ask-in-ms"),
        ("limits", "dial-timeout-ms"),
        ("limits", "conn-idle-ms"),
    ] {
        assert_eq!(
            with(section, key, json!(0)),
            format!("field {key}: expected more than 0")
        );
        assert!(with(section, key, json!(-5)).starts_with(&format!("field {key}:")));
    }
    let defaults = service().settings;
    assert!(
        !defaults.key_affinity
            && !defaults.load_probes
            && !defaults.rollout.platform_counts
            && defaults.rollout.guarded_stages == 0
    );
    assert_eq!(
        (
            defaults.overload_factor,
            defaults.rollout.votes_to_roll_back
        ),
        (2.0, 1)
    );
}

#[test]
fn reads_alternative_settings_and_reports_their_errors() {
    let text =
        "watch {\n    guarded-stages 1\n    caps 0.05 0.3\n    warm-keys #true\n    cold-for \"4s\"\n}\n";
    let alternative = Installation::read(text)
        .unwrap()
        .alternative_settings(&service())
        .unwrap()
        .unwrap();
    assert_eq!(
        (
            alternative.guarded_stages,
            alternative.key_affinity,
            alternative.exposure_burst
        ),
        (Some(1), Some(true), None)
    );
    assert_eq!(
        (alternative.caps, alternative.slow_start_duration),
        (Some(vec![0.05, 0.3]), Some(Duration::from_secs(4)))
    );
    assert!(Installation::read("log \"text\"\n")
        .unwrap()
        .alternative_settings(&service())
        .unwrap()
        .is_none());
    let too_many = Installation::read("watch {\n    guarded-stages 9\n}\n")
        .unwrap()
        .alternative_settings(&service())
        .unwrap_err();
    assert!(
        too_many[0]
            .to_string()
            .contains("guarded-stages: expected at most 1, the number of rollout stages"),
        "{}",
        too_many[0]
    );
    let part = Installation::read("watch {\n    guarded-stages 1.5\n}\n").unwrap_err();
    assert_eq!(
        part[0].to_string(),
        "2:5: guarded-stages: expected an integer"
    );
    assert!(Installation::read("watch {\n    caps 7\n}\n").is_err());
}

fn errors(text: &str) -> Vec<String> {
    let read = Installation::read(text).and_then(|i| i.zone_config(&service()));
    read.map_or_else(
        |all: Vec<ConfigDiagnostic>| all.iter().map(ConfigDiagnostic::to_string).collect(),
        |_| Vec::new(),
    )
}

#[test]
fn reads_an_installation_file_and_applies_defaults() {
    let installation = Installation::read(VALID_FILE).unwrap();
    assert_eq!(installation.log, Some(LogFormat::Json));
    assert_eq!(
        installation.admin,
        Some(AdminAddress::Tcp("127.0.0.1:9190".parse().unwrap()))
    );
    let resolved = installation.zone_config(&service()).unwrap().unwrap();
    assert_eq!(
        (resolved.local_zone, resolved.zone_count, resolved.routing),
        (0, 2, RoutingPolicy::LocalFirst)
    );
    assert_eq!(
        resolved.links[1].added_latency,
        Some(Duration::from_millis(4)),
        "not the delay of the opposite direction"
    );
    assert_eq!(
        resolved.links[1].price,
        Price {
            per_attempt: 0.00001,
            per_gib_sent: 0.02,
            per_gib_received: 0.0
        }
    );
    assert_eq!(
        resolved.links[2].price.per_gib_sent, 9.0,
        "the link to zones without a name"
    );
    let budgets: Vec<_> = resolved
        .budgets
        .iter()
        .map(|b| {
            (
                b.name.as_str(),
                b.limit,
                b.window.as_secs(),
                b.agent_fraction,
            )
        })
        .collect();
    assert_eq!(
        budgets,
        [
            ("all", Limit::Attempts(1000.0), 600, 0.25),
            ("all", Limit::Bytes(64.0 * 1024.0 * 1024.0), 600, 0.25),
            ("views", Limit::Share(0.05), 3600, 0.5),
        ],
        "a budget for traffic to the agent's own zone applies to other agents"
    );
    let empty = Installation::read("").unwrap();
    assert_eq!(
        (
            empty.zone_config(&service()).unwrap(),
            &empty.admin,
            empty.log
        ),
        (None, &None, None)
    );
}

#[test]
fn reports_each_error_with_line_column_key_and_expectation() {
    let text = r#"log "xml"
zones {
    routing "nearest"
    link "east" { delay "4 parsecs"; }
    link "east" "east"
    budgt "a" { share 1; }
    budget "b" {
        shrae 0.5
        window 5
        lane 7
    }
    budget "c" { deliveries "many"; deliveries 2; part 1.5; }
    budget "c" { share 0.1 extra=1; }
}
"#;
    let all = errors(text);
    let expected = [
        "1:1: log: expected one of text, json, found \"xml\"",
        "3:5: routing: expected one of as-ever, near-first, found \"nearest\"",
        "4:5: link: expected 2 values, found 1",
        "4:25: delay: expected a duration with a unit, as in \"250ms\" or \"1h\", found \"4 parsecs\"",
        "5:5: link: expected two different zones, found 'east' twice",
        "6:5: budgt: unknown in zones; did you mean 'budget'?",
        "8:9: shrae: unknown in budget; did you mean 'share'?",
        "9:16: window: expected a duration of 1s or more with a unit, as in \"250ms\" or \"1h\", found 5",
        "10:14: lane: expected text, found 7",
        "12:29: deliveries: expected a number from 0 to 1000000000000000, found many",
        "12:37: deliveries: specified more than once in budget",
    ];
    for w in expected {
        assert!(all.iter().any(|m| m == w), "{w}\nin {all:#?}");
    }
    assert!(
        all.iter()
            .any(|m| m.starts_with("12:56: part: expected a number from 0 to 1")),
        "{all:#?}"
    );
    assert!(
        all.iter()
            .any(|m| m.contains("13:5: budget: duplicate name 'c'")),
        "{all:#?}"
    );
    assert!(
        all.iter()
            .any(|m| m == "13:28: extra: share accepts no properties"),
        "{all:#?}"
    );
    let mut sorted = Installation::read(text).unwrap_err();
    sorted.sort();
    assert_eq!(
        Installation::read(text).unwrap_err(),
        sorted,
        "diagnostics are sorted by location"
    );
    let broken = errors("zones {\n  routing \"near-first\n}\n");
    assert!(
        !broken.is_empty() && broken.iter().all(|m| m.contains("syntax")),
        "{broken:?}"
    );
}

#[test]
fn rejects_names_that_the_settings_do_not_define() {
    let all = errors(
        "zones {\n    link \"east\" \"south\"\n    budget \"b\" { to \"north\"; lane \"viwe\"; share 1; }\n}",
    );
    assert_eq!(all.len(), 3, "{all:?}");
    assert!(all[0].starts_with("2:5: link: undefined zone 'south'; the settings define east, west"));
}

#[test]
fn accepts_zero_and_rejects_values_out_of_range() {
    let price = |p: &str| {
        errors(&format!(
            "zones {{ link \"east\" \"west\" {{ price out-gib={p}; }}; }}"
        ))
    };
    assert!(price("0").is_empty() && price("0.0").is_empty() && price("1e12").is_empty());
    for invalid_value in [
        "-1", "1e13", "#inf", "#nan", "#-inf", "#true", "\"9\"", "#null", "1e400",
    ] {
        assert_eq!(
            price(invalid_value).len(),
            1,
            "{invalid_value}: {:?}",
            price(invalid_value)
        );
    }
    let budget = |b: &str| errors(&format!("zones {{ budget \"b\" {{ {b}; }}; }}"));
    assert!(
        budget("deliveries 0").is_empty()
            && budget("bytes 0").is_empty()
            && budget("money 0").is_empty()
    );
    for invalid_value in [
        "deliveries -1",
        "deliveries 1e16",
        "bytes \"9PiB\"",
        "bytes \"GiB\"",
        "bytes -5",
        "money #inf",
        "share 1.1",
        "share 0.1; window \"0s\"",
        "share 0.1; window \"999999999999d\"",
        "share 0.1; window \"1e3s\"",
        "share 0.1; part -0.1",
        "window \"1h\"",
        "deliveries 99999999999999999999999999999999999999999999",
    ] {
        assert!(!budget(invalid_value).is_empty(), "{invalid_value}");
    }
}

#[test]
fn never_panics_on_malformed_text() {
    const FRAGMENTS: [&str; 25] = [
        "zones",
        " ",
        "{",
        "}",
        "\n",
        "\"",
        "budget",
        "link",
        "\"a\"",
        "=",
        "1",
        "#nan",
        "/*",
        "*/",
        ";",
        "é",
        "\\",
        "share 0.5",
        "window \"1h\"",
        "(t)",
        "r#\"",
        "\u{0}",
        "//",
        "/-",
        "delay",
    ];
    fn read(picks: Vec<u8>) {
        let text: String = picks
            .iter()
            .map(|p| FRAGMENTS[*p as usize % FRAGMENTS.len()])
            .collect();
        let _ = Installation::read(&text).and_then(|i| i.zone_config(&service()));
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 9))
        .tests(2000)
        .quickcheck(read as fn(Vec<u8>));
    assert!(Installation::read(&"{".repeat(100_000)).is_err());
    assert!(Installation::read(&"a".repeat(2 * 1024 * 1024)).is_err());
}

#[test]
fn reads_a_client_file_and_reports_all_its_errors() {
    let read = |text: &str| tulipwall_config::read_client_file(text);
    let class = "lane \"view\" { repeats \"idempotent\"; quoted \"400ms\"; benefit 3; }\n";
    let service = read(&format!(
        "agent \"127.0.0.1:1\"\nagent \"[::1]:2\"\n{class}retries {{ tries 2; }}\n"
    ))
    .unwrap();
    assert_eq!(
        (
            service.agents.len(),
            service.classes.len(),
            service.retry.max_attempts
        ),
        (2, 1, 2)
    );
    assert_eq!(service.connections, Default::default());
    let wrong =
        "agent \"nowhere\"\nlane \"a\" { repeats \"never\"; quoted 5; }\nmarks-retries \"yes\"\n\
        connections { least 9; most 3; }\nretrys { }\n";
    let all: Vec<String> = read(wrong)
        .unwrap_err()
        .iter()
        .map(ConfigDiagnostic::to_string)
        .collect();
    for expected in [
        "1:1: agent: expected an address with a port, found 'nowhere'",
        "2:12: repeats: expected one of idempotent, deduplicated, unrepeatable, found \"never\"",
        "2:36: quoted: expected a duration of 1ms or more with a unit, as in",
        "3:15: marks-retries: expected #true or #false, found yes",
        "4:1: connections: least is greater than most",
        "5:1: retrys: unknown in the file; did you mean 'retries'?",
    ] {
        assert!(
            all.iter().any(|m| m.starts_with(expected)),
            "{expected}\nin {all:#?}"
        );
    }
    assert_eq!(
        read("").unwrap_err().len(),
        2,
        "an agent and a lane are required"
    );
    let example = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/client.kdl"
    ))
    .unwrap();
    assert_eq!(read(&example).unwrap().classes.len(), 3);
    let zones = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/zones.kdl"
    ))
    .unwrap();
    assert!(Installation::read(&zones).unwrap().has_zones());
}
