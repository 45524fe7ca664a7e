//! Settings read anew, numbered after those in force.

use quickcheck::{Gen, QuickCheck};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tulipwall::{Group, InHand, Origin, Repeats};
use tulipwall_config::{Fields, Site};

fn class(name: &str, repeats: &str) -> Value {
    json!({"name": name, "aim-ms": 400.0, "give-up-ms": 1500.0, "idempotency": repeats, "dedup-scope": "all",
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

fn read(settings: &Value, seed: u64) -> Result<Site, String> {
    Site::read(&Fields::of(settings, "settings").unwrap(), seed).map_err(|f| f.to_string())
}

fn site(zones: &[&str], classes: &[(&str, &str)], tenants: &[(&str, f64)]) -> Site {
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
    let (site, by) = new.after(&old, &InHand::default());
    assert_eq!(
        (site.lane("view"), site.lane("send"), site.lane("pay")),
        (Some(0), Some(1), Some(2))
    );
    assert_eq!(
        (site.customer("a"), site.customer("b"), site.customer("c")),
        (Some(0), Some(1), Some(2))
    );
    assert_eq!(
        (site.zone("east"), site.zone("west"), site.zone("north")),
        (Some(0), Some(1), Some(2))
    );
    assert_eq!(
        (site.deployment.zone, site.deployment.seed),
        (0, 7),
        "its own, by name"
    );
    assert_eq!(by.lanes, [Origin::Same, Origin::Same, Origin::New]);
    assert_eq!(site.lanes, ["view", "send", "pay"]);
    assert_eq!(site.deployment.lanes[2].repeats, Repeats::Unrepeatable);
    let shares: Vec<f64> = site.deployment.customers.iter().map(|c| c.share).collect();
    assert_eq!(shares, [0.1, 0.25, 0.3]);
    let (again, by) = site.clone().after(&site, &InHand::default());
    assert!(
        again == site && again.is(&site, &by) && by.lanes.iter().all(|o| *o == Origin::Same),
        "the same again is the same"
    );
}

#[test]
fn other_rules_of_repeats_give_a_new_number_only_while_commands_are_in_hand() {
    let old = site(&["a"], &[("view", "repeatable"), ("send", "by_key")], &[]);
    let once = || site(&["a"], &[("view", "once"), ("send", "by_key")], &[]);
    let (free, by) = once().after(&old, &InHand::default());
    assert_eq!((free.lane("view"), by.lanes[0]), (Some(0), Origin::Same));
    assert_eq!(free.deployment.lanes[0].repeats, Repeats::Unrepeatable);
    let held = InHand {
        lanes: BTreeSet::from([0]),
        ..InHand::default()
    };
    let (kept, by) = once().after(&old, &held);
    assert_eq!(kept.lane("view"), Some(2));
    assert_eq!(by.lanes, [Origin::Over, Origin::Same, Origin::Was(0)]);
    assert_eq!(
        kept.deployment.lanes[0].repeats,
        Repeats::Idempotent,
        "for those in hand"
    );
    assert_eq!(kept.deployment.lanes[2].repeats, Repeats::Unrepeatable);
    assert!(kept.lingers() && !kept.outlives(&held) && kept.outlives(&InHand::default()));
    let (after, by) = kept.clone().after(&kept, &InHand::default());
    assert_eq!((after.lane("view"), by.lanes[0]), (Some(2), Origin::Free));
    assert!(!after.lingers());
    // The number is given anew, and an earlier window or group counts as another rule.
    let more = site(
        &["a"],
        &[("view", "once"), ("send", "by_key"), ("new", "repeatable")],
        &[],
    );
    let (more, by) = more.after(&after, &InHand::default());
    assert_eq!((more.lane("new"), by.lanes[0]), (Some(0), Origin::New));
    let mut other = settings(&["a"], &[("view", "once"), ("send", "by_key")], &[]);
    other["classes"][1]["window-ms"] = 900.into();
    let held = InHand {
        lanes: BTreeSet::from([1]),
        ..InHand::default()
    };
    let (other, _) = read(&other, 7).unwrap().after(&more, &held);
    let window = Duration::from_millis(900);
    let rule = Repeats::Deduplicated {
        group: Group::All,
        window,
    };
    assert_ne!(other.lane("send"), Some(1));
    assert_eq!(
        other.deployment.lanes[other.lane("send").unwrap()].repeats,
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
    let held = InHand {
        lanes: [1].into(),
        customers: [0].into(),
        zones: [0].into(),
    };
    let (gone, by) = site(&["b"], &ONE, &[("u", 0.1)]).after(&old, &held);
    assert_eq!(
        (gone.lane("send"), gone.customer("t"), gone.zone("a")),
        (None, None, None)
    );
    assert_eq!((by.lanes[1], by.customers[0]), (Origin::Over, Origin::Over));
    assert_eq!((gone.deployment.lanes.len(), gone.deployment.zone), (2, 1));
    let (next, _) = site(
        &["b", "c"],
        &[("view", "repeatable"), ("x", "once")],
        &[("u", 0.1), ("v", 0.1)],
    )
    .after(&gone, &held);
    assert_eq!(
        (next.lane("x"), next.customer("v"), next.zone("c")),
        (Some(2), Some(2), Some(2))
    );
    let (last, _) = site(&["b", "c"], &ONE, &[("u", 0.1)]).after(&next, &InHand::default());
    assert_eq!(
        (last.deployment.lanes.len(), last.deployment.customers.len()),
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
        let (site, by) = read(&s, 99).unwrap().after(&old, &InHand::default());
        assert_eq!(site.is(&old, &by), site == old);
        site.is(&old, &by)
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

/// A delivery that is out to a zone without a name must not be taken for one to a zone that gets its number.
#[test]
fn the_number_behind_all_names_is_nobodys_while_it_is_in_hand() {
    let old = site(&["a"], &ONE, &[]);
    let held = InHand {
        zones: [1].into(),
        ..InHand::default()
    };
    let (kept, _) = site(&["a", "b"], &ONE, &[]).after(&old, &held);
    assert_eq!(
        (kept.zone("a"), kept.zone("b"), kept.zones.len()),
        (Some(0), Some(2), 3)
    );
    let (after, _) = site(&["a", "b", "c"], &ONE, &[]).after(&kept, &InHand::default());
    assert_eq!((after.zone("b"), after.zone("c")), (Some(2), Some(1)));
}

/// Against numbers that are never given anew: 1,000 changes a day, for ten days.
#[test]
fn ten_thousand_renewals_with_names_that_come_and_go_keep_it_bounded() {
    let mut now = site(&["z0"], &[("l0", "once")], &[]);
    let kinds = ["repeatable", "by_key", "once"];
    for n in 1..10_000usize {
        let lanes: Vec<String> = (n..n + 1 + n % 5)
            .map(|l| format!("l{}", l % 977))
            .collect();
        let tenants: Vec<String> = (n * 3..n * 3 + n % 7).map(|t| format!("t{t}")).collect();
        let zones: Vec<String> = (n / 3..n / 3 + 2).map(|z| format!("z{z}")).collect();
        let classes: Vec<_> = lanes
            .iter()
            .enumerate()
            .map(|(i, l)| (l.as_str(), kinds[(n + i) % 3]))
            .collect();
        let tenants: Vec<_> = tenants.iter().map(|t| (t.as_str(), 0.1)).collect();
        let zones: Vec<_> = zones.iter().map(String::as_str).collect();
        // Commands in hand count in what was in force a moment ago.
        let lane = now.lane(&now.lanes[n % now.lanes.len()]);
        let held = InHand {
            lanes: lane.into_iter().collect(),
            ..InHand::default()
        };
        now = site(&zones, &classes, &tenants).after(&now, &held).0;
        let (lanes, zones) = (now.deployment.lanes.len(), now.zones.len());
        assert!(
            lanes <= 12 && zones <= 4 && now.deployment.customers.len() <= 14,
            "{n}: {lanes} {zones}"
        );
        assert_eq!((now.lanes.len(), now.named()[0]), (lanes, 1 + n % 5));
    }
}

/// Whatever changes, and whatever is in hand: each name has one number and its own figures, none of them is a
/// number in hand that was another's, and what is in hand keeps its rules.
#[test]
fn no_command_in_hand_ever_sees_another_rule_or_another_name_under_its_number() {
    fn holds(seeds: Vec<(u8, u8, u8)>) -> bool {
        let kinds = ["repeatable", "by_key", "once"];
        let mut now = site(&["z"], &[("l0", "once")], &[]);
        let mut held: BTreeMap<usize, (Repeats, u8)> = BTreeMap::new(); // rules, and how long still
        for (bits, kind, hold) in seeds {
            let names: Vec<String> = (0..8)
                .filter(|b| bits >> b & 1 == 1)
                .map(|b| format!("l{b}"))
                .collect();
            let rule = |n: &String| {
                kinds[(usize::from(kind) + n.len() + usize::from(n.as_bytes()[1])) % 3]
            };
            let classes: Vec<_> = names.iter().map(|n| (n.as_str(), rule(n))).collect();
            let in_hand = InHand {
                lanes: held.keys().copied().collect(),
                ..InHand::default()
            };
            now = site(&["z"], &classes, &[]).after(&now, &in_hand).0;
            for (name, rule) in &classes {
                let Some(n) = now.lane(name) else {
                    return false;
                };
                let wanted = site(&["z"], &[("x", rule)], &[]).deployment.lanes[0].repeats;
                if now.deployment.lanes[n].repeats != wanted || now.lanes[n] != *name {
                    return false;
                }
            }
            if held
                .iter()
                .any(|(n, (repeats, _))| now.deployment.lanes[*n].repeats != *repeats)
            {
                return false;
            }
            held.retain(|_, (_, left)| std::mem::replace(left, left.saturating_sub(1)) > 0);
            if let Some(n) = names.first().and_then(|n| now.lane(n)) {
                held.insert(n, (now.deployment.lanes[n].repeats, hold % 6));
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
