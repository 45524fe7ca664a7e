//! Hierarchical rendezvous hashing: small sets keep the order of plain rendezvous hashing, shares
//! follow the weights, few keys move, and work grows only with the logarithm of the set's size.

#[path = "../src/stats/rendezvous.rs"]
mod rendezvous;
#[path = "../src/stats/rendezvous_tree.rs"]
mod rendezvous_tree;
#[path = "../src/stats/rendezvous_trie.rs"]
mod rendezvous_trie;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rendezvous_tree::{KindWeight, RendezvousTree};
use rendezvous_trie::RendezvousMember;
use std::collections::BTreeSet;

const SIZES: [usize; 4] = [55, 770, 7700, 30_000];
const DESCENTS: u64 = 8;

/// Maps a number to a pseudo-random one, without a pattern, like the hash of a name.
fn scramble(number: u64) -> u64 {
    let mut rng = Pcg64Mcg::seed_from_u64(number);
    rng.gen()
}

fn member(value: usize, kind: usize) -> RendezvousMember {
    RendezvousMember {
        identity: scramble(value as u64),
        value,
        kind,
    }
}

fn tree_of(members: &[RendezvousMember]) -> RendezvousTree {
    let mut tree = RendezvousTree::default();
    members.iter().for_each(|member| tree.insert(*member));
    tree
}

/// `count` members that take turns in `kinds` kinds.
fn members(count: usize, kinds: usize) -> Vec<RendezvousMember> {
    (0..count)
        .map(|value| member(value, value % kinds))
        .collect()
}

fn preferred(weights: &[f64]) -> Vec<KindWeight> {
    let kind = |weight: &f64| KindWeight {
        weight: *weight,
        is_preferred: true,
    };
    weights.iter().map(kind).collect()
}

fn ranked(tree: &RendezvousTree, key: u64, weights: &[f64]) -> Vec<usize> {
    tree.ranked(key, preferred(weights).into_iter(), DESCENTS)
        .collect()
}

fn first(tree: &RendezvousTree, key: u64, weights: &[f64]) -> usize {
    let mut order = tree.ranked(key, preferred(weights).into_iter(), DESCENTS);
    order.next().unwrap()
}

fn keys(count: u64) -> impl Iterator<Item = u64> {
    (0..count).map(|n| scramble(n + 1_000_000))
}

/// Share of the keys whose first member differs between the two trees.
fn moved(a: &RendezvousTree, b: &RendezvousTree, weights: [&[f64]; 2], count: u64) -> f64 {
    let has_moved = |key: &u64| first(a, *key, weights[0]) != first(b, *key, weights[1]);
    keys(count).filter(has_moved).count() as f64 / count as f64
}

/// Distance by plain weighted rendezvous hashing, which was used before there was a tree.
fn plain_distance(key: u64, node: u64, weight: f64) -> f64 {
    let mut hash = key ^ node.rotate_left(32);
    for factor in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        hash = (hash ^ hash >> 33).wrapping_mul(factor);
    }
    let uniform = ((hash ^ hash >> 33) >> 11) as f64 / (1u64 << 53) as f64;
    -uniform.max(1e-18).ln() / weight.max(1e-9)
}

fn plain_order(members: &[RendezvousMember], key: u64, weights: &[f64]) -> Vec<usize> {
    let distance = |m: &RendezvousMember| plain_distance(key, m.identity, weights[m.kind]);
    let mut members = members.to_vec();
    members.sort_by(|a, b| distance(a).total_cmp(&distance(b)));
    members.iter().map(|member| member.value).collect()
}

/// Small fleets keep the affinity endpoints that their keys had without a tree.
#[test]
fn a_small_set_has_the_order_of_plain_rendezvous_hashing() {
    let weights = [1.0, 0.5f64.sqrt(), 2.0];
    for size in [0, 1, 2, 3, 20, 55, 63, 64] {
        let members = members(size, 3);
        let tree = tree_of(&members);
        for key in keys(300) {
            let expected = plain_order(&members, key, &weights);
            assert_eq!(ranked(&tree, key, &weights), expected, "{size}");
        }
    }
}

/// The logarithm is skipped only where the distance would exceed the limit.
#[test]
fn a_distance_is_that_of_plain_rendezvous_hashing_or_beyond_the_limit() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    for key in keys(20_000) {
        let (node, weight) = (rng.gen(), rng.gen_range(0.01..8.0));
        let expected = plain_distance(key, node, weight);
        let limit = expected * rng.gen_range(0.5..2.0);
        let within = rendezvous::rendezvous_distance(key, node, weight, limit);
        assert_eq!(within, (expected <= limit).then_some(expected));
        let at = rendezvous::rendezvous_distance(key, node, weight, expected);
        assert_eq!(at, Some(expected), "the limit is inclusive");
        let any = rendezvous::rendezvous_distance(key, node, weight, f64::INFINITY);
        assert_eq!(any, Some(expected));
    }
}

/// Guards against all keys moving at once when a set outgrows the size of a small one.
#[test]
fn keys_switch_from_the_plain_order_to_the_tree_a_few_at_a_time() {
    let members = members(140, 1);
    let mut worst: f64 = 0.0;
    let mut total = 0.0;
    for size in 50..140 {
        let trees = [&members[..size], &members[..size + 1]].map(tree_of);
        let share = moved(&trees[0], &trees[1], [&[1.0], &[1.0]], 4000);
        worst = worst.max(share);
        total += share;
    }
    println!("share of moved keys: worst {worst:.4}, sum {total:.2}");
    assert!(worst < 0.06, "{worst}");
    assert!(total > 0.9, "expected each key to change once: {total}");
}

#[test]
fn each_member_has_keys_in_proportion_to_its_weight() {
    let weights = [1.0, 2.0, 0.5];
    for (size, per_member) in [(55, 400), (100, 400), (200, 400), (770, 200)] {
        let members = members(size, 3);
        let tree = tree_of(&members);
        let total: f64 = members.iter().map(|m| weights[m.kind]).sum();
        let count = size * per_member;
        let mut received = vec![0.0; size];
        keys(count as u64).for_each(|key| received[first(&tree, key, &weights)] += 1.0);
        let chi_squared: f64 = members
            .iter()
            .map(|m| {
                let expected = count as f64 * weights[m.kind] / total;
                (received[m.value] - expected).powi(2) / expected
            })
            .sum();
        // Four standard deviations above the mean of a chi-squared variable with these degrees of
        // freedom.
        let degrees_of_freedom = size as f64 - 1.0;
        let limit = degrees_of_freedom + 4.0 * (2.0 * degrees_of_freedom).sqrt();
        println!("{size}: {chi_squared:.0}, limit {limit:.0}");
        assert!(chi_squared < limit, "{size}: {chi_squared} of {limit}");
    }
}

/// Each level moves about the member's share of the keys, because the sums above the member change.
#[test]
fn adding_or_removing_a_member_moves_few_keys() {
    for size in [770, 7700] {
        let members = members(size + 1, 1);
        let without = tree_of(&members[..size]);
        let with = tree_of(&members);
        let share = moved(&without, &with, [&[1.0], &[1.0]], 200_000);
        let own = 1.0 / size as f64;
        println!("{size} members: moves {:.2} times its share", share / own);
        assert!(share < own * 6.0, "{size}: {}", share / own);
        assert!(share > own * 0.5, "{size}: {}", share / own);
    }
}

#[test]
fn a_weight_change_moves_keys_in_proportion() {
    let members = members(7700, 4);
    let tree = tree_of(&members);
    let before = [1.0, 1.0, 1.0, 1.0];
    let after = [1.0, 1.0, 1.0, 2f64.sqrt()];
    let share = moved(&tree, &tree, [&before, &after], 50_000);
    // The share of the kind goes from 1 of 4 to 1.41 of 4.41.
    let change = 2f64.sqrt() / (3.0 + 2f64.sqrt()) - 0.25;
    println!("moves {:.2} times the change", share / change);
    assert!(share < change * 4.0, "{share} of {change}");
    assert!(share >= change * 0.9, "{share} of {change}");
}

/// Agents learn of endpoints in different orders, and some knew endpoints that have left since.
#[test]
fn the_order_of_changes_and_the_numbering_of_kinds_do_not_matter() {
    let weights = [1.0, 2f64.sqrt(), 0.3];
    let renumbered = [0.3, 1.0, 2f64.sqrt()];
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    for size in [64, 65, 100, 300, 2000] {
        let members = members(size, 3);
        let tree = tree_of(&members);
        let mut shuffled: Vec<_> = members.clone();
        shuffled.shuffle(&mut rng);
        for member in &mut shuffled {
            member.kind = (member.kind + 1) % 3;
        }
        let mut other = tree_of(&shuffled);
        let temporary: Vec<_> = (size..3 * size).map(|value| member(value, 0)).collect();
        temporary.iter().for_each(|member| other.insert(*member));
        for member in &temporary {
            assert!(other.remove(member));
            assert!(!other.remove(member), "a member was removed twice");
        }
        for key in keys(500) {
            let order = ranked(&tree, key, &weights);
            assert_eq!(ranked(&other, key, &renumbered), order, "{size}");
        }
        // Removed members leave no nodes behind: the tree equals one of the remaining members.
        let [own, others] = [(&tree, weights), (&other, renumbered)].map(|(tree, weights)| {
            visits(tree, keys(500), |key| {
                first(tree, key, &weights);
            })
        });
        assert_eq!(own, others, "{size}");
    }
}

/// Nodes visited per call: the average and the maximum.
fn visits(
    tree: &RendezvousTree,
    calls: impl Iterator<Item = u64>,
    call: impl Fn(u64),
) -> (u64, u64) {
    let (mut count, mut max_visits, start) = (0, 0, tree.visited());
    for key in calls {
        let before = tree.visited();
        call(key);
        max_visits = max_visits.max(tree.visited() - before);
        count += 1;
    }
    ((tree.visited() - start) / count, max_visits)
}

#[test]
fn work_grows_with_the_logarithm_of_the_size() {
    for size in SIZES {
        let members = members(size, 3);
        let mut tree = tree_of(&members);
        let per_change = tree.visited() / size as u64;
        let (mean, max_visits) = visits(&tree, keys(2000), |key| {
            first(&tree, key, &[1.0, 2.0, 3.0]);
        });
        let before = tree.visited();
        assert!(members.iter().all(|member| tree.remove(member)));
        let per_removal = (tree.visited() - before) / size as u64;
        println!(
            "{size}: lookup {mean} (max {max_visits}), insert {per_change}, remove {per_removal}"
        );
        let levels = (size as f64).log2() / 4.0 + 2.0;
        assert!(
            mean as f64 <= f64::max(64.0, 16.0 * levels),
            "{size}: {mean}"
        );
        assert!(
            max_visits as f64 <= f64::max(64.0, 16.0 * (levels + 2.0)),
            "{size}: {max_visits}"
        );
        assert!(per_change as f64 <= levels + 1.0, "{size}: {per_change}");
        assert!(per_removal as f64 <= levels + 1.0, "{size}: {per_removal}");
    }
}

#[test]
fn ranked_members_do_not_repeat_and_spread_over_all_members() {
    let tree = tree_of(&members(770, 1));
    for key in keys(2000) {
        let order = ranked(&tree, key, &[1.0]);
        let distinct: BTreeSet<_> = order.iter().collect();
        assert_eq!(distinct.len(), order.len());
        assert!(order.len() > 5, "{order:?}");
    }
    // The keys of a member that may not be used spread over many others.
    let keys_of_one = keys(50_000).filter(|key| first(&tree, *key, &[1.0]) == 3);
    let seconds: BTreeSet<_> = keys_of_one
        .map(|key| ranked(&tree, key, &[1.0])[1])
        .collect();
    assert!(seconds.len() > 30, "{seconds:?}");
    let many = (0..200_000).map(scramble);
    let all: BTreeSet<_> = many.map(|key| first(&tree, key, &[1.0])).collect();
    assert_eq!(all.len(), 770);
}

#[test]
fn a_descent_reaches_only_preferred_kinds() {
    let tree = tree_of(&members(1000, 10));
    for (kind, key) in keys(1000).enumerate() {
        let kind = kind % 10;
        let weights = (0..10).map(|k| KindWeight {
            weight: 1.0,
            is_preferred: k == kind,
        });
        let order: Vec<_> = tree.ranked(key, weights, DESCENTS).collect();
        assert!(order.len() > 3);
        assert!(order.iter().all(|value| value % 10 == kind));
    }
    let none = KindWeight {
        weight: 1.0,
        is_preferred: false,
    };
    assert_eq!(
        tree.ranked(1, [none; 10].into_iter(), DESCENTS).next(),
        None
    );
}

/// The identity whose hash in the tree is this value.
fn identity_with_hash(hash: u64) -> u64 {
    // The inverses of the two factors, modulo 2^64.
    let mut number = hash ^ hash >> 33;
    for factor in [0x9cb4_b2f8_1293_37db_u64, 0x4f74_430c_22a5_4005] {
        number = number.wrapping_mul(factor);
        number ^= number >> 33;
    }
    number
}

/// Guards against equal identities, and against identities whose hashes differ only in the last
/// bits.
#[test]
fn colliding_identities_are_distinguished_or_share_a_position() {
    let mut close: Vec<_> = (0..200)
        .map(|value| RendezvousMember {
            identity: identity_with_hash(0x1234_5678_9abc_de00 + value as u64),
            value,
            kind: 0,
        })
        .collect();
    let tree = tree_of(&close);
    let found: BTreeSet<_> = keys(20_000).map(|key| first(&tree, key, &[1.0])).collect();
    assert_eq!(found.len(), 200);
    let (mean, max_visits) = visits(&tree, keys(100), |key| {
        first(&tree, key, &[1.0]);
    });
    assert!(mean < 64 && max_visits < 64, "{mean}, {max_visits}");

    close.iter_mut().for_each(|member| member.identity = 7);
    let mut tree = tree_of(&close);
    assert!(keys(100).all(|key| ranked(&tree, key, &[1.0]) == [0]));
    for member in &close[..199] {
        assert!(tree.remove(member));
    }
    assert!(keys(100).all(|key| ranked(&tree, key, &[1.0]) == [199]));
    assert!(tree.remove(&close[199]));
    assert!(keys(100).all(|key| ranked(&tree, key, &[1.0]).is_empty()));
}

#[test]
fn zero_infinite_and_invalid_weights_are_bounded() {
    let extreme_weights = [
        0.0,
        -1.0,
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        f64::MAX,
        1e-300,
    ];
    for size in [50, 100, 500] {
        let tree = tree_of(&members(size, 7));
        for key in keys(200) {
            let order = ranked(&tree, key, &extreme_weights);
            assert!(!order.is_empty());
            // Kinds 3 and 5 have the greatest weight, and share the keys.
            assert!([3, 5].contains(&(order[0] % 7)), "{order:?}");
            assert_eq!(
                order.len().min(2),
                order.iter().take(2).collect::<BTreeSet<_>>().len()
            );
        }
        // If all weights are zero, all members weigh the same.
        let found: BTreeSet<_> = keys(20_000)
            .map(|key| first(&tree, key, &[0.0; 7]))
            .collect();
        assert_eq!(found.len(), size);
    }
}

/// A kind without a given weight is never chosen.
#[test]
fn kinds_without_a_weight_are_left_out() {
    for size in [50, 500] {
        let tree = tree_of(&members(size, 2));
        assert!(keys(200).all(|key| first(&tree, key, &[1.0]).is_multiple_of(2)));
        assert_eq!(ranked(&tree, 1, &[]), Vec::<usize>::new());
    }
}

/// For about 4.5 of 16 children with equal weights, the weights of all kinds are expected to be
/// summed.
#[test]
fn a_descent_sums_weights_for_few_of_the_nodes_that_it_compares() {
    const KINDS: usize = 30;
    const MAX_SUMMED: f64 = 0.4;
    for size in [770, 7700, 30_000] {
        let tree = tree_of(&members(size, KINDS));
        let visited_before = tree.visited();
        for key in 0..2_000 {
            let mut ranked_members = tree.ranked(
                scramble(key),
                preferred(&[1.0; KINDS]).into_iter(),
                DESCENTS,
            );
            assert!(ranked_members.next().is_some());
        }
        let visited = tree.visited() - visited_before;
        let summed = tree.summed() as f64 / visited as f64;
        assert!(summed < MAX_SUMMED, "{size}: {summed}");
    }
}
