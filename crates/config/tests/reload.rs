//! Tests of configuration reload: new settings take over the indices of the settings in force.

use quickcheck::{Gen, QuickCheck};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tulipwall::{DeduplicationScope, Idempotency, IndexOrigin, IndicesInUse};
use tulipwall_config::{Fields, ServiceConfig};

fn class(name: &str, idempotency: &str) -> Value {
    json!({"name": name, "aim-ms": 400.0, "give-up-ms": 1500.0, "idempotency": idempotency, "dedup-scope": "all",
        "window-ms": 5000.0, "points": 3.0})
}

fn settings(zones: &[&str], classes: &[(&str, &str)], tenants: &[(&str, f64)]) -> Value {
    let classes: Vec<Value> = classes.iter().map(|(n, r)| class(n, r)).collect();
    let tenants: Vec<Value> = tenants
        .iter()
        .map(|(n, s)| json!({"name": n, "share": s}))
        .collect();
    json!({"zones": zones, "zone": zones.last(), "classes": classes, "tenants": tenants,
        "discovery": "push", "instances": 4, "rules": {}, "prices": {}, "limits": {"try-limit": 5},
        "domain": {"most-shares": [1.0], "cap-scope": "all", "decided-by": "timer", "swap": "beside",
            "vote-ttl-ms": 1.0, "vote-wait-ms": 1.0}})
}

fn read(settings: &Value, seed: u64) -> Result<ServiceConfig, String> {
    ServiceConfig::read(&Fields::new(settings, "settings").unwrap(), seed)
        .map_err(|f| f.to_string())
}

fn service(zones: &[&str], classes: &[(&str, &str)], tenants: &[(&str, f64)]) -> ServiceConfig {
    read(&settings(zones, classes, tenants), 7).unwrap()
}

const ONE_CLASS: [(&str, &str); 1] = [("view", "repeatable")];

#[test]
fn names_keep_their_indices_in_any_order() {
    let old = service(
        &["east", "west"],
        &[("view", "repeatable"), ("send", "by_key")],
        &[("a", 0.1), ("b", 0.2)],
    );
    let new = service(
        &["north", "west", "east"],
        &[("pay", "once"), ("send", "by_key"), ("view", "repeatable")],
        &[("c", 0.3), ("b", 0.25), ("a", 0.1)],
    );
    let (service, mapping) = new.renumbered_after(&old, &IndicesInUse::default());
    assert_eq!(
        (
            service.class_index("view"),
            service.class_index("send"),
            service.class_index("pay")
        ),
        (Some(0), Some(1), Some(2))
    );
    assert_eq!(
        (
            service.tenant_index("a"),
            service.tenant_index("b"),
            service.tenant_index("c")
        ),
        (Some(0), Some(1), Some(2))
    );
    assert_eq!(
        (
            service.zone_index("east"),
            service.zone_index("west"),
            service.zone_index("north")
        ),
        (Some(0), Some(1), Some(2))
    );
    assert_eq!(
        (service.settings.zone, service.settings.seed),
        (0, 7),
        "the agent's own zone is found by its name, and the seed stays"
    );
    assert_eq!(
        mapping.classes,
        [IndexOrigin::Same, IndexOrigin::Same, IndexOrigin::New]
    );
    assert_eq!(service.classes, ["view", "send", "pay"]);
    assert_eq!(
        service.settings.classes[2].idempotency,
        Idempotency::NonIdempotent
    );
    let shares: Vec<f64> = service.settings.tenants.iter().map(|c| c.share).collect();
    assert_eq!(shares, [0.1, 0.25, 0.3]);
    let (again, mapping) = service
        .clone()
        .renumbered_after(&service, &IndicesInUse::default());
    assert!(
        again == service
            && again.is_unchanged_from(&service, &mapping)
            && mapping.classes.iter().all(|o| *o == IndexOrigin::Same),
        "renumbering the same settings changes nothing"
    );
}

#[test]
fn changed_idempotency_moves_a_class_only_while_requests_are_in_flight() {
    let old = service(&["a"], &[("view", "repeatable"), ("send", "by_key")], &[]);
    let once = || service(&["a"], &[("view", "once"), ("send", "by_key")], &[]);
    let (free, mapping) = once().renumbered_after(&old, &IndicesInUse::default());
    assert_eq!(
        (free.class_index("view"), mapping.classes[0]),
        (Some(0), IndexOrigin::Same)
    );
    assert_eq!(
        free.settings.classes[0].idempotency,
        Idempotency::NonIdempotent
    );
    let in_use = IndicesInUse {
        classes: BTreeSet::from([0]),
        ..IndicesInUse::default()
    };
    let (kept, mapping) = once().renumbered_after(&old, &in_use);
    assert_eq!(kept.class_index("view"), Some(2));
    assert_eq!(
        mapping.classes,
        [
            IndexOrigin::Retired,
            IndexOrigin::Same,
            IndexOrigin::MovedFrom(0)
        ]
    );
    assert_eq!(
        kept.settings.classes[0].idempotency,
        Idempotency::Idempotent,
        "for requests in flight"
    );
    assert_eq!(
        kept.settings.classes[2].idempotency,
        Idempotency::NonIdempotent
    );
    assert!(
        kept.has_retired_indices()
            && !kept.can_free_indices(&in_use)
            && kept.can_free_indices(&IndicesInUse::default())
    );
    let (after, mapping) = kept
        .clone()
        .renumbered_after(&kept, &IndicesInUse::default());
    assert_eq!(
        (after.class_index("view"), mapping.classes[0]),
        (Some(2), IndexOrigin::Unused)
    );
    assert!(!after.has_retired_indices());
    // The free index is reused. A changed deduplication window or scope counts as a changed
    // idempotency.
    let more = service(
        &["a"],
        &[("view", "once"), ("send", "by_key"), ("new", "repeatable")],
        &[],
    );
    let (more, mapping) = more.renumbered_after(&after, &IndicesInUse::default());
    assert_eq!(
        (more.class_index("new"), mapping.classes[0]),
        (Some(0), IndexOrigin::New)
    );
    let mut other = settings(&["a"], &[("view", "once"), ("send", "by_key")], &[]);
    other["classes"][1]["window-ms"] = 900.into();
    let in_use = IndicesInUse {
        classes: BTreeSet::from([1]),
        ..IndicesInUse::default()
    };
    let (other, _) = read(&other, 7).unwrap().renumbered_after(&more, &in_use);
    let window = Duration::from_millis(900);
    let rule = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window,
    };
    assert_ne!(other.class_index("send"), Some(1));
    assert_eq!(
        other.settings.classes[other.class_index("send").unwrap()].idempotency,
        rule
    );
}

#[test]
fn the_index_of_a_removed_name_is_reused_once_its_requests_have_ended() {
    let old = service(
        &["a", "b"],
        &[("view", "repeatable"), ("send", "by_key")],
        &[("t", 0.1), ("u", 0.1)],
    );
    let in_use = IndicesInUse {
        classes: [1].into(),
        tenants: [0].into(),
        zones: [0].into(),
    };
    let (reduced, mapping) =
        service(&["b"], &ONE_CLASS, &[("u", 0.1)]).renumbered_after(&old, &in_use);
    assert_eq!(
        (
            reduced.class_index("send"),
            reduced.tenant_index("t"),
            reduced.zone_index("a")
        ),
        (None, None, None)
    );
    assert_eq!(
        (mapping.classes[1], mapping.tenants[0]),
        (IndexOrigin::Retired, IndexOrigin::Retired)
    );
    assert_eq!(
        (reduced.settings.classes.len(), reduced.settings.zone),
        (2, 1)
    );
    let (next, _) = service(
        &["b", "c"],
        &[("view", "repeatable"), ("x", "once")],
        &[("u", 0.1), ("v", 0.1)],
    )
    .renumbered_after(&reduced, &in_use);
    assert_eq!(
        (
            next.class_index("x"),
            next.tenant_index("v"),
            next.zone_index("c")
        ),
        (Some(2), Some(2), Some(2))
    );
    let (last, _) = service(&["b", "c"], &ONE_CLASS, &[("u", 0.1)])
        .renumbered_after(&next, &IndicesInUse::default());
    assert_eq!(
        (last.settings.classes.len(), last.settings.tenants.len()),
        (1, 2)
    );
}

#[test]
fn detects_every_changed_setting() {
    let of = || {
        settings(
            &["a", "b"],
            &[("view", "repeatable"), ("send", "by_key")],
            &[("t", 0.1), ("u", 0.1)],
        )
    };
    let old = read(&of(), 7).unwrap();
    let is_unchanged = |change: &dyn Fn(&mut Value)| {
        let mut s = of();
        change(&mut s);
        let (service, mapping) = read(&s, 99)
            .unwrap()
            .renumbered_after(&old, &IndicesInUse::default());
        assert_eq!(service.is_unchanged_from(&old, &mapping), service == old);
        service.is_unchanged_from(&old, &mapping)
    };
    assert!(is_unchanged(&|_| {}));
    assert!(
        is_unchanged(&|s| s["tenants"].as_array_mut().unwrap().reverse()),
        "the order of tenants is not a change"
    );
    assert!(!is_unchanged(&|s| s["tenants"][1]["name"] = "v".into()));
    assert!(!is_unchanged(&|s| s["tenants"][1]["share"] = 0.2.into()));
    assert!(!is_unchanged(&|s| drop(
        s["tenants"].as_array_mut().unwrap().pop()
    )));
    assert!(!is_unchanged(&|s| s["classes"][0]["name"] = "look".into()));
    assert!(!is_unchanged(&|s| s["classes"][0]["aim-ms"] = 401.into()));
    assert!(!is_unchanged(&|s| s["classes"][1]["window-ms"] = 401.into()));
    assert!(!is_unchanged(&|s| s["classes"]
        .as_array_mut()
        .unwrap()
        .push(class("new", "once"))));
    assert!(!is_unchanged(&|s| s["zones"] = json!(["a", "b", "c"])));
    assert!(!is_unchanged(&|s| s["zone"] = "a".into()));
    assert!(!is_unchanged(
        &|s| s["limits"]["dial-timeout-ms"] = 77.into()
    ));
    assert!(!is_unchanged(&|s| s["prices"]["handshake"] = 0.1.into()));
    assert!(!is_unchanged(&|s| s["instances"] = 5.into()));
    assert!(!is_unchanged(&|s| s["domain"]["most-shares"] = json!([0.5])));
}

/// Guards against an attempt in flight to a zone without a name being counted as one to a named
/// zone that gets the same index.
#[test]
fn the_index_after_the_last_name_is_not_assigned_while_in_use() {
    let old = service(&["a"], &ONE_CLASS, &[]);
    let in_use = IndicesInUse {
        zones: [1].into(),
        ..IndicesInUse::default()
    };
    let (kept, _) = service(&["a", "b"], &ONE_CLASS, &[]).renumbered_after(&old, &in_use);
    assert_eq!(
        (kept.zone_index("a"), kept.zone_index("b"), kept.zones.len()),
        (Some(0), Some(2), 3)
    );
    let (after, _) = service(&["a", "b", "c"], &ONE_CLASS, &[])
        .renumbered_after(&kept, &IndicesInUse::default());
    assert_eq!(
        (after.zone_index("b"), after.zone_index("c")),
        (Some(2), Some(1))
    );
}

/// Guards against indices that are never reused, with which the tables would grow without bound.
/// The reloads correspond to 1,000 changes a day for ten days.
#[test]
fn tables_stay_bounded_over_ten_thousand_reloads() {
    let mut now = service(&["z0"], &[("l0", "once")], &[]);
    let kinds = ["repeatable", "by_key", "once"];
    for n in 1..10_000usize {
        let classes: Vec<String> = (n..n + 1 + n % 5)
            .map(|l| format!("l{}", l % 977))
            .collect();
        let tenants: Vec<String> = (n * 3..n * 3 + n % 7).map(|t| format!("t{t}")).collect();
        let zones: Vec<String> = (n / 3..n / 3 + 2).map(|z| format!("z{z}")).collect();
        let classes: Vec<_> = classes
            .iter()
            .enumerate()
            .map(|(i, l)| (l.as_str(), kinds[(n + i) % 3]))
            .collect();
        let tenants: Vec<_> = tenants.iter().map(|t| (t.as_str(), 0.1)).collect();
        let zones: Vec<_> = zones.iter().map(String::as_str).collect();
        // Requests in flight belong to a class of the settings that were in force until now.
        let class = now.class_index(&now.classes[n % now.classes.len()]);
        let in_use = IndicesInUse {
            classes: class.into_iter().collect(),
            ..IndicesInUse::default()
        };
        now = service(&zones, &classes, &tenants)
            .renumbered_after(&now, &in_use)
            .0;
        let (classes, zones) = (now.settings.classes.len(), now.zones.len());
        assert!(
            classes <= 12 && zones <= 4 && now.settings.tenants.len() <= 14,
            "{n}: {classes} {zones}"
        );
        assert_eq!(
            (now.classes.len(), now.named_counts().classes),
            (classes, 1 + n % 5)
        );
    }
}

/// For any sequence of changes and any requests in flight: each name has one index and its own
/// settings, no name gets an index that requests in flight use for another name, and requests in
/// flight keep the idempotency of their class.
#[test]
fn requests_in_flight_keep_the_rules_and_name_of_their_class() {
    fn names_and_rules_are_kept(reloads: Vec<(u8, u8, u8)>) -> bool {
        let kinds = ["repeatable", "by_key", "once"];
        let mut now = service(&["z"], &[("l0", "once")], &[]);
        let mut in_use: BTreeMap<usize, (Idempotency, u8)> = BTreeMap::new(); // idempotency, reloads left
        for (bits, kind, duration) in reloads {
            let names: Vec<String> = (0..8)
                .filter(|b| bits >> b & 1 == 1)
                .map(|b| format!("l{b}"))
                .collect();
            let rule = |n: &String| {
                kinds[(usize::from(kind) + n.len() + usize::from(n.as_bytes()[1])) % 3]
            };
            let classes: Vec<_> = names.iter().map(|n| (n.as_str(), rule(n))).collect();
            let indices_in_use = IndicesInUse {
                classes: in_use.keys().copied().collect(),
                ..IndicesInUse::default()
            };
            now = service(&["z"], &classes, &[])
                .renumbered_after(&now, &indices_in_use)
                .0;
            for (name, rule) in &classes {
                let Some(n) = now.class_index(name) else {
                    return false;
                };
                let expected = service(&["z"], &[("x", rule)], &[]).settings.classes[0].idempotency;
                if now.settings.classes[n].idempotency != expected || now.classes[n] != *name {
                    return false;
                }
            }
            if in_use
                .iter()
                .any(|(n, (idempotency, _))| now.settings.classes[*n].idempotency != *idempotency)
            {
                return false;
            }
            in_use.retain(|_, (_, left)| std::mem::replace(left, left.saturating_sub(1)) > 0);
            if let Some(n) = names.first().and_then(|n| now.class_index(n)) {
                in_use.insert(n, (now.settings.classes[n].idempotency, duration % 6));
            }
        }
        true
    }
    QuickCheck::new()
        .tests(300)
        .rng(Gen::new(40))
        .quickcheck(names_and_rules_are_kept as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn reports_duplicate_names_and_shares_out_of_range_by_key() {
    let wrong = |s: Value| read(&s, 1).map(|_| ()).unwrap_err();
    let of = |z: &[&str], c: &[(&str, &str)], t: &[(&str, f64)]| wrong(settings(z, c, t));
    assert_eq!(
        of(&["a", "a"], &ONE_CLASS, &[]),
        "field zones: duplicate zone 'a'"
    );
    assert_eq!(
        of(&["a"], &[ONE_CLASS[0], ONE_CLASS[0]], &[]),
        "field classes: duplicate class 'view'"
    );
    let many: Vec<String> = (0..56_000)
        .map(|n| format!("t{n}"))
        .chain(["t41999".into()])
        .collect();
    let many: Vec<_> = many.iter().map(|n| (n.as_str(), 0.001)).collect();
    assert_eq!(
        of(&["a"], &ONE_CLASS, &many),
        "field tenants: duplicate tenant 't41999'"
    );
    for share in [-0.01, 1.01, -1e300, 1e300] {
        let message = "field share: tenant 'acme': expected a share from 0 to 1";
        assert_eq!(
            of(&["a"], &ONE_CLASS, &[("fine", 1.0), ("acme", share)]),
            message
        );
    }
    let mut s = settings(&["a"], &ONE_CLASS, &[("acme", 0.5)]);
    s["tenants"][0]["share"] = "half".into();
    assert_eq!(wrong(s), "field share: expected a number");
    assert!(read(
        &settings(&["a"], &ONE_CLASS, &[("none", 0.0), ("all", 1.0)]),
        1
    )
    .is_ok());
}
