//! The affinity endpoint of a key in fleets of several sizes: all agents choose the same one
//! without a scan of the fleet, and another one where the first may not be used.

mod harness;

use harness::{canary_status, default_settings, endpoint_entry, ms};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use tulipwall::*;

const CLASS: usize = 0;

/// An agent that numbers the endpoints in the order in which it learned of them.
struct Agent {
    balancer: Balancer,
    identities: BTreeMap<usize, u64>,
    last_id: u64,
}

impl Agent {
    fn new(seed: u64, endpoints: &[EndpointEntry]) -> Agent {
        let settings = Settings {
            key_affinity: true,
            ..default_settings(seed)
        };
        let mut agent = Agent {
            balancer: Balancer::new(ms(1000), settings),
            identities: BTreeMap::new(),
            last_id: 0,
        };
        agent.learn_endpoints(endpoints, seed);
        agent
    }

    fn learn_endpoints(&mut self, endpoints: &[EndpointEntry], seed: u64) {
        let mut entries = endpoints.to_vec();
        entries.shuffle(&mut Pcg64Mcg::seed_from_u64(seed));
        for entry in &mut entries {
            let next = self.identities.len();
            let known = self.identities.iter().find(|(_, i)| **i == entry.identity);
            entry.endpoint = known.map_or(next, |(index, _)| *index);
            self.identities.insert(entry.endpoint, entry.identity);
        }
        self.balancer.update_endpoints(ms(1000), &entries, false);
    }

    /// Sends a request of this key while all endpoints are idle, and returns the identity of the
    /// endpoint that gets it.
    fn endpoint_for(&mut self, key: u64) -> u64 {
        self.last_id += 1;
        let request = Request {
            class: CLASS,
            tenant: None,
            key: Some(key),
            time_left: ms(1500),
            estimated_work: None,
            is_retry: false,
        };
        self.balancer.on_request(ms(1100), self.last_id, request);
        let Decision::Forward { endpoint, .. } = self.balancer.route(ms(1100), self.last_id) else {
            panic!("no endpoint got the request although all are idle");
        };
        let end = AttemptEnd {
            outcome: Outcome::Succeeded,
            latency: ms(20),
            request_closed: true,
            reported_load: None,
        };
        self.balancer.on_attempt_end(ms(1120), self.last_id, 0, end);
        self.identities[&endpoint]
    }
}

fn endpoints(count: usize, zones: usize) -> Vec<EndpointEntry> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    (0..count)
        .map(|index| EndpointEntry {
            identity: rng.gen(),
            zone: index % zones,
            endpoint_type: index % 2,
            ..endpoint_entry(index, 7, None)
        })
        .collect()
}

fn keys(count: usize) -> Vec<u64> {
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    (0..count).map(|_| rng.gen()).collect()
}

/// The identities of the endpoints that each of two agents chooses for each key.
fn choices(mut agents: [Agent; 2], keys: &[u64]) -> Vec<[u64; 2]> {
    let both = |key: &u64| agents.each_mut().map(|agent| agent.endpoint_for(*key));
    keys.iter().map(both).collect()
}

/// Share of the keys for which both agents choose the same endpoint.
fn agreement(choices: &[[u64; 2]]) -> f64 {
    let same = choices.iter().filter(|[a, b]| a == b).count();
    same as f64 / choices.len() as f64
}

#[test]
fn agents_that_number_the_endpoints_differently_choose_the_same_one() {
    for size in [3, 64, 65, 100, 128, 770] {
        let endpoints = endpoints(size, 1);
        let agents = [1, 2].map(|seed| Agent::new(seed, &endpoints));
        let choices = choices(agents, &keys(200));
        assert_eq!(agreement(&choices), 1.0, "{size}");
        let used: BTreeSet<_> = choices.iter().map(|[a, _]| a).collect();
        assert!(
            used.len() > size.min(200) / 2,
            "{size} endpoints: {} used",
            used.len()
        );
    }
}

/// Two agents of zone 0 that use the nine other zones only where their own has no endpoint for a
/// request.
fn agents_that_avoid_other_zones(endpoints: &[EndpointEntry]) -> [Agent; 2] {
    let mut agents = [1, 2].map(|seed| Agent::new(seed, endpoints));
    for agent in &mut agents {
        let remote = ZonePolicy {
            last_resort: vec![true; 3],
            ..ZonePolicy::default()
        };
        let mut zones = vec![remote; 10];
        zones[0] = ZonePolicy::default();
        agent.balancer.set_cross_zone_policy(CrossZonePolicy {
            zones,
            slow_start_factor: 1.0,
        });
    }
    agents
}

/// Guards against keys without an affinity endpoint where most zones are avoided: of the endpoints
/// that a key has among all zones, few are in the agent's own zone.
#[test]
fn keys_keep_their_endpoint_where_other_zones_are_a_last_resort() {
    for size in [40, 100, 600] {
        let endpoints = endpoints(size, 10);
        let choices = choices(agents_that_avoid_other_zones(&endpoints), &keys(300));
        let local = endpoints.iter().filter(|entry| entry.zone == 0);
        let local: BTreeSet<_> = local.map(|entry| entry.identity).collect();
        let mut used = choices.iter().flatten();
        assert!(used.all(|identity| local.contains(identity)));
        assert_eq!(agreement(&choices), 1.0, "{size}");
    }
}

#[test]
fn keys_have_an_endpoint_in_other_zones_where_their_own_zone_is_lost() {
    for size in [40, 100, 600] {
        let mut endpoints = endpoints(size, 10);
        endpoints.retain(|entry| entry.zone != 0);
        let choices = choices(agents_that_avoid_other_zones(&endpoints), &keys(300));
        assert_eq!(agreement(&choices), 1.0, "{size}");
    }
}

/// Half of the fleet runs a canary that may not be exposed.
#[test]
fn keys_have_their_next_endpoint_where_the_first_may_not_be_used() {
    for size in [40, 100, 600] {
        let mut endpoints = endpoints(size, 1);
        for (index, entry) in endpoints.iter_mut().enumerate() {
            entry.build = if index % 4 < 2 { 8 } else { 7 };
        }
        let mut agents = [1, 2].map(|seed| Agent::new(seed, &endpoints));
        for agent in &mut agents {
            agent.balancer.update_rollout(canary_status(8, 0, 0.0));
        }
        // The exposure that the burst allows is used up first.
        for key in keys(400) {
            for agent in &mut agents {
                agent.endpoint_for(key ^ 1);
            }
        }
        let choices = choices(agents, &keys(300));
        let share = agreement(&choices);
        println!("{size} endpoints: agreement {share:.3}");
        assert!(share > 0.97, "{size} endpoints: agreement {share}");
    }
}

/// An agent whose endpoints left and whose indices were reused for others chooses the same
/// endpoints as an agent that starts now.
#[test]
fn a_reused_index_has_the_keys_of_its_new_endpoint() {
    for size in [30, 300] {
        let all = endpoints(size + 10, 1);
        let fresh = Agent::new(1, &all[10..]);
        let mut long_running = Agent::new(2, &all[..size]);
        let replaced: Vec<_> = all[..10].iter().zip(&all[size..]).collect();
        for (gone, new) in replaced {
            let index = *long_running
                .identities
                .iter()
                .find(|(_, identity)| **identity == gone.identity)
                .unwrap()
                .0;
            for (entry, state) in [(gone, EndpointState::Gone), (new, EndpointState::Running)] {
                let entry = EndpointEntry {
                    endpoint: index,
                    state,
                    ..entry.clone()
                };
                long_running
                    .balancer
                    .update_endpoints(ms(1000), &[entry], false);
            }
            long_running.identities.insert(index, new.identity);
        }
        let choices = choices([fresh, long_running], &keys(300));
        assert_eq!(agreement(&choices), 1.0, "{size}");
    }
}

#[test]
fn an_empty_list_before_all_endpoints_return_changes_no_choice() {
    let endpoints = endpoints(500, 3);
    let mut agent = Agent::new(2, &endpoints);
    agent.balancer.update_endpoints(ms(1000), &[], true);
    agent.learn_endpoints(&endpoints, 3);
    let choices = choices([Agent::new(1, &endpoints), agent], &keys(300));
    assert_eq!(agreement(&choices), 1.0);
}

#[test]
fn an_affinity_lookup_visits_few_nodes_at_any_fleet_size() {
    for size in [55, 770, 7700] {
        let mut agent = Agent::new(1, &endpoints(size, 3));
        let before = agent.balancer.affinity_nodes_visited();
        let keys = keys(40);
        for key in &keys {
            agent.endpoint_for(*key);
        }
        let visited = agent.balancer.affinity_nodes_visited() - before;
        let per_request = visited / keys.len() as u64;
        println!("{size} endpoints: {per_request} nodes visited per request");
        assert!(
            per_request <= 64,
            "{size} endpoints: {per_request} nodes visited per request"
        );
    }
}
