//! Settings read anew, numbered after those in force.

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

fn site(zones: &[&str], classes: &[(&str, &str)], tenants: &[(&str, f64)]) -> ServiceConfig {
    read(&settings(zones, classes, tenants), 7).unwrap()
}

const ONE: [(&str, &str); 1] = [("view", "repeatable")];

#[test]
fn names_keep_their_numbers_in_any_order_and_figures_follow_them() {
    let old = site(
        &["east", "west"],
        &[("view", "repeatable"), ("send", "by_key")],
        &[("a", 0.1), ("b", 0.2)],
    );
    let new = site(
        &["north", "west", "east"],
        &[("pay", "once"), ("send", "by_key"), ("view", "repeatable")],
        &[("c", 0.3), ("b", 0.25), ("a", 0.1)],
    );
    let (site, by) = new.renumbered_after(&old, &IndicesInUse::default());
    assert_eq!(
        (
            site.class_index("view"),
            site.class_index("send"),
            site.class_index("pay")
        ),
        (Some(0), Some(1), Some(2))
    );
    assert_eq!(
        (
            site.tenant_index("a"),
            site.tenant_index("b"),
            site.tenant_index("c")
        ),
        (Some(0), Some(1), Some(2))
    );
    assert_eq!(
        (
            site.zone_index("east"),
            site.zone_index("west"),
            site.zone_index("north")
        ),
        (Some(0), Some(1), Some(2))
    );
    assert_eq!(
        (site.settings.zone, site.settings.seed),
        (0, 7),
        "its own, by name"
    );
    assert_eq!(
        by.classes,
        [IndexOrigin::Same, IndexOrigin::Same, IndexOrigin::New]
    );
    assert_eq!(site.classes, ["view", "send", "pay"]);
    assert_eq!(
        site.settings.classes[2].idempotency,
        Idempotency::NonIdempotent
    );
    let shares: Vec<f64> = site.settings.tenants.iter().map(|c| c.share).collect();
    assert_eq!(shares, [0.1, 0.25, 0.3]);
    let (again, by) = site
        .clone()
        .renumbered_after(&site, &IndicesInUse::default());
    assert!(
        again == site
            && again.is_unchanged_from(&site, &by)
            && by.classes.iter().all(|o| *o == IndexOrigin::Same),
        "the same again is the same"
    );
}

#[test]
fn other_rules_of_repeats_give_a_new_number_only_while_commands_are_in_hand() {
    let old = site(&["a"], &[("view", "repeatable"), ("send", "by_key")], &[]);
    let once = || site(&["a"], &[("view", "once"), ("send", "by_key")], &[]);
    let (free, by) = once().renumbered_after(&old, &IndicesInUse::default());
    assert_eq!(
        (free.class_index("view"), by.classes[0]),
        (Some(0), IndexOrigin::Same)
    );
    assert_eq!(
        free.settings.classes[0].idempotency,
        Idempotency::NonIdempotent
    );
    let held = IndicesInUse {
        classes: BTreeSet::from([0]),
        ..IndicesInUse::default()
    };
    let (kept, by) = once().renumbered_after(&old, &held);
    assert_eq!(kept.class_index("view"), Some(2));
    assert_eq!(
        by.classes,
        [
            IndexOrigin::Retired,
            IndexOrigin::Same,
            IndexOrigin::MovedFrom(0)
        ]
    );
    assert_eq!(
        kept.settings.classes[0].idempotency,
        Idempotency::Idempotent,
        "for those in hand"
    );
    assert_eq!(
        kept.settings.classes[2].idempotency,
        Idempotency::NonIdempotent
    );
    assert!(
        kept.has_retired_indices()
            && !kept.can_free_indices(&held)
            && kept.can_free_indices(&IndicesInUse::default())
    );
    let (after, by) = kept
        .clone()
        .renumbered_after(&kept, &IndicesInUse::default());
    assert_eq!(
        (after.class_index("view"), by.classes[0]),
        (Some(2), IndexOrigin::Unused)
    );
    assert!(!after.has_retired_indices());
    // The number is given anew, and an earlier window or group counts as another rule.
    let more = site(
        &["a"],
        &[("view", "once"), ("send", "by_key"), ("new", "repeatable")],
        &[],
    );
    let (more, by) = more.renumbered_after(&after, &IndicesInUse::default());
    assert_eq!(
        (more.class_index("new"), by.classes[0]),
        (Some(0), IndexOrigin::New)
    );
    let mut other = settings(&["a"], &[("view", "once"), ("send", "by_key")], &[]);
    other["classes"][1]["window-ms"] = 900.into();
    let held = IndicesInUse {
        classes: BTreeSet::from([1]),
        ..IndicesInUse::default()
    };
    let (other, _) = read(&other, 7).unwrap().renumbered_after(&more, &held);
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
fn a_name_that_went_is_found_no_more_and_its_number_waits_for_those_in_hand() {
    let old = site(
        &["a", "b"],
        &[("view", "repeatable"), ("send", "by_key")],
        &[("t", 0.1), ("u", 0.1)],
    );
    let held = IndicesInUse {
        classes: [1].into(),
        tenants: [0].into(),
        zones: [0].into(),
    };
    let (gone, by) = site(&["b"], &ONE, &[("u", 0.1)]).renumbered_after(&old, &held);
    assert_eq!(
        (
            gone.class_index("send"),
            gone.tenant_index("t"),
            gone.zone_index("a")
        ),
        (None, None, None)
    );
    assert_eq!(
        (by.classes[1], by.tenants[0]),
        (IndexOrigin::Retired, IndexOrigin::Retired)
    );
    assert_eq!((gone.settings.classes.len(), gone.settings.zone), (2, 1));
    let (next, _) = site(
        &["b", "c"],
        &[("view", "repeatable"), ("x", "once")],
        &[("u", 0.1), ("v", 0.1)],
    )
    .renumbered_after(&gone, &held);
    assert_eq!(
        (
            next.class_index("x"),
            next.tenant_index("v"),
            next.zone_index("c")
        ),
        (Some(2), Some(2), Some(2))
    );
    let (last, _) =
        site(&["b", "c"], &ONE, &[("u", 0.1)]).renumbered_after(&next, &IndicesInUse::default());
    assert_eq!(
        (last.settings.classes.len(), last.settings.tenants.len()),
        (1, 2)
    );
}

#[test]
fn whatever_is_other_is_seen() {
    let of = || {
        settings(
            &["a", "b"],
            &[("view", "repeatable"), ("send", "by_key")],
            &[("t", 0.1), ("u", 0.1)],
        )
    };
    let old = read(&of(), 7).unwrap();
    let is = |change: &dyn Fn(&mut Value)| {
        let mut s = of();
        change(&mut s);
        let (site, by) = read(&s, 99)
            .unwrap()
            .renumbered_after(&old, &IndicesInUse::default());
        assert_eq!(site.is_unchanged_from(&old, &by), site == old);
        site.is_unchanged_from(&old, &by)
    };
    assert!(is(&|_| {}));
    assert!(
        is(&|s| s["tenants"].as_array_mut().unwrap().reverse()),
        "in another order it is the same"
    );
    assert!(!is(&|s| s["tenants"][1]["name"] = "v".into()));
    assert!(!is(&|s| s["tenants"][1]["share"] = 0.2.into()));
    assert!(!is(&|s| drop(s["tenants"].as_array_mut().unwrap().pop())));
    assert!(!is(&|s| s["classes"][0]["name"] = "look".into()));
    assert!(!is(&|s| s["classes"][0]["aim-ms"] = 401.into()));
    assert!(!is(&|s| s["classes"][1]["window-ms"] = 401.into()));
    assert!(!is(&|s| s["classes"]
        .as_array_mut()
        .unwrap()
        .push(class("new", "once"))));
    assert!(!is(&|s| s["zones"] = json!(["a", "b", "c"])));
    assert!(!is(&|s| s["zone"] = "a".into()));
    assert!(!is(&|s| s["limits"]["dial-timeout-ms"] = 77.into()));
    assert!(!is(&|s| s["prices"]["handshake"] = 0.1.into()));
    assert!(!is(&|s| s["instances"] = 5.into()));
    assert!(!is(&|s| s["domain"]["most-shares"] = json!([0.5])));
}

/// An attempt that is out to a zone without a name must not be taken for one to a zone that gets
/// its number.
#[test]
fn the_number_behind_all_names_is_nobodys_while_it_is_in_hand() {
    let old = site(&["a"], &ONE, &[]);
    let held = IndicesInUse {
        zones: [1].into(),
        ..IndicesInUse::default()
    };
    let (kept, _) = site(&["a", "b"], &ONE, &[]).renumbered_after(&old, &held);
    assert_eq!(
        (kept.zone_index("a"), kept.zone_index("b"), kept.zones.len()),
        (Some(0), Some(2), 3)
    );
    let (after, _) =
        site(&["a", "b", "c"], &ONE, &[]).renumbered_after(&kept, &IndicesInUse::default());
    assert_eq!(
        (after.zone_index("b"), after.zone_index("c")),
        (Some(2), Some(1))
    );
}

/// Against numbers that are never given anew: 1,000 changes a day, for ten days.
#[test]
fn ten_thousand_renewals_with_names_that_come_and_go_keep_it_bounded() {
    let mut now = site(&["z0"], &[("l0", "once")], &[]);
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
        // Requests in hand count in what was in force a moment ago.
        let class = now.class_index(&now.classes[n % now.classes.len()]);
        let held = IndicesInUse {
            classes: class.into_iter().collect(),
            ..IndicesInUse::default()
        };
        now = site(&zones, &classes, &tenants)
            .renumbered_after(&now, &held)
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

/// Whatever changes, and whatever is in hand: each name has one number and its own figures, none of
/// them is a number in hand that was another's, and what is in hand keeps its rules.
#[test]
fn no_command_in_hand_ever_sees_another_rule_or_another_name_under_its_number() {
    fn holds(seeds: Vec<(u8, u8, u8)>) -> bool {
        let kinds = ["repeatable", "by_key", "once"];
        let mut now = site(&["z"], &[("l0", "once")], &[]);
        let mut held: BTreeMap<usize, (Idempotency, u8)> = BTreeMap::new(); // rules, and how long still
        for (bits, kind, hold) in seeds {
            let names: Vec<String> = (0..8)
                .filter(|b| bits >> b & 1 == 1)
                .map(|b| format!("l{b}"))
                .collect();
            let rule = |n: &String| {
                kinds[(usize::from(kind) + n.len() + usize::from(n.as_bytes()[1])) % 3]
            };
            let classes: Vec<_> = names.iter().map(|n| (n.as_str(), rule(n))).collect();
            let indices_in_use = IndicesInUse {
                classes: held.keys().copied().collect(),
                ..IndicesInUse::default()
            };
            now = site(&["z"], &classes, &[])
                .renumbered_after(&now, &indices_in_use)
                .0;
            for (name, rule) in &classes {
                let Some(n) = now.class_index(name) else {
                    return false;
                };
                let wanted = site(&["z"], &[("x", rule)], &[]).settings.classes[0].idempotency;
                if now.settings.classes[n].idempotency != wanted || now.classes[n] != *name {
                    return false;
                }
            }
            if held
                .iter()
                .any(|(n, (idempotency, _))| now.settings.classes[*n].idempotency != *idempotency)
            {
                return false;
            }
            held.retain(|_, (_, left)| std::mem::replace(left, left.saturating_sub(1)) > 0);
            if let Some(n) = names.first().and_then(|n| now.class_index(n)) {
                held.insert(n, (now.settings.classes[n].idempotency, hold % 6));
            }
        }
        true
    }
    QuickCheck::new()
        .tests(300)
        .rng(Gen::new(40))
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn doubled_names_and_shares_out_of_range_are_named_with_their_key() {
    let wrong = |s: Value| read(&s, 1).map(|_| ()).unwrap_err();
    let of = |z: &[&str], c: &[(&str, &str)], t: &[(&str, f64)]| wrong(settings(z, c, t));
    assert_eq!(
        of(&["a", "a"], &ONE, &[]),
        "field zones: the zone 'a' stands twice"
    );
    assert_eq!(
        of(&["a"], &[ONE[0], ONE[0]], &[]),
        "field classes: the class 'view' stands twice"
    );
    let many: Vec<String> = (0..56_000)
        .map(|n| format!("t{n}"))
        .chain(["t41999".into()])
        .collect();
    let many: Vec<_> = many.iter().map(|n| (n.as_str(), 0.001)).collect();
    assert_eq!(
        of(&["a"], &ONE, &many),
        "field tenants: the tenant 't41999' stands twice"
    );
    for share in [-0.01, 1.01, -1e300, 1e300] {
        let what = "field share: tenant 'acme': a share from 0 to 1 is wanted";
        assert_eq!(of(&["a"], &ONE, &[("fine", 1.0), ("acme", share)]), what);
    }
    let mut s = settings(&["a"], &ONE, &[("acme", 0.5)]);
    s["tenants"][0]["share"] = "half".into();
    assert_eq!(wrong(s), "field share: a number is wanted");
    assert!(read(&settings(&["a"], &ONE, &[("none", 0.0), ("all", 1.0)]), 1).is_ok());
}
