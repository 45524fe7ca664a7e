//! The work of taking a list in, by counts that do not depend on the machine: entries visited in
//! the table, and entries handed on to the balancer.

use std::time::Duration;
use tulipwall::{Balancer, EndpointEntry, EndpointState, Request};
use tulipwall_config::{Fields, ServiceConfig};
use tulipwall_discovery::clock::{Clock, START_OFFSET};
use tulipwall_discovery::endpoint_table::{AppliedList, EndpointTable};
use tulipwall_discovery::list_response::{EndpointRecord, ListResponse};
use tulipwall_testkit::agent_process;

const SIZES: [usize; 4] = [55, 770, 7_700, 30_000];

fn service() -> ServiceConfig {
    let value = agent_process::settings(&["a", "b"], "a", 770, &agent_process::classes());
    ServiceConfig::read(&Fields::new(&value, "settings").unwrap(), 1).unwrap()
}

fn record(id: String, build: u32) -> EndpointRecord {
    EndpointRecord {
        id,
        address: "10.0.0.1:6543".parse().unwrap(),
        zone: "a".into(),
        cell: 0,
        endpoint_type: "m2".into(),
        build,
        state: EndpointState::Running,
        started_ms: None,
    }
}

fn records(prefix: &str, endpoints: usize) -> Vec<EndpointRecord> {
    let id = |n| format!("{prefix}-{n:08x}");
    (0..endpoints).map(|n| record(id(n), 41)).collect()
}

/// A table, and what the last response cost it.
struct MeteredTable {
    service: ServiceConfig,
    clock: Clock,
    table: EndpointTable,
    version: u64,
}

/// What a response cost and changed.
#[derive(Debug, PartialEq)]
struct Work {
    visits: u64,
    changes: usize,
}

impl MeteredTable {
    fn new() -> MeteredTable {
        MeteredTable {
            service: service(),
            clock: Clock::start(),
            table: EndpointTable::default(),
            version: 0,
        }
    }

    fn with_endpoints(endpoints: usize) -> MeteredTable {
        let mut table = MeteredTable::new();
        table.receive(true, records("s", endpoints));
        table
    }

    fn apply(&mut self, complete: bool, endpoints: Vec<EndpointRecord>) -> AppliedList {
        self.version += 1;
        let response = ListResponse {
            version: self.version,
            complete,
            endpoints,
            first_error: None,
            unreadable_ids: Vec::new(),
        };
        self.table.apply(response, &self.service, &self.clock)
    }

    /// Applies a response and asks what the agent asks after each.
    fn receive(&mut self, complete: bool, endpoints: Vec<EndpointRecord>) -> Work {
        let before = self.table.entry_visits();
        let builds_before = self.table.builds();
        let was_usable = self.table.has_running();
        let changes = self.apply(complete, endpoints).into_changes().len();
        let is_same =
            self.table.builds() == builds_before && self.table.has_running() == was_usable;
        assert!(is_same || changes > 0);
        Work {
            visits: self.table.entry_visits() - before,
            changes,
        }
    }
}

/// Whole lists cost two visits an entry: one to take it in, one to find what the list lacks.
/// Guards against a search among all entries for each one of the list.
#[test]
fn whole_lists_cost_two_visits_an_entry() {
    for size in SIZES {
        let mut table = MeteredTable::new();
        let visits = size as u64;
        let first = table.receive(true, records("s", size));
        let all = Work {
            visits: 2 * visits,
            changes: size,
        };
        assert_eq!(first, all, "a first list of {size}");
        let none = table.receive(true, Vec::new());
        let gone = Work {
            visits,
            changes: size,
        };
        assert_eq!(none, gone, "a list of 0 after {size}");
        let back = table.receive(true, records("s", size));
        assert_eq!(back, all, "{size} back");
        table.receive(true, Vec::new());
        let renamed = table.receive(true, records("r", size));
        assert_eq!(renamed, all, "{size} others in their place");
        assert_eq!(table.table.len(), size);
        assert_eq!(table.table.index("s-00000000"), None);
    }
}

/// Guards against a whole table that is walked for a change of a few entries.
#[test]
fn changes_cost_a_visit_for_each_of_their_entries() {
    for size in SIZES {
        let mut table = MeteredTable::with_endpoints(size);
        for changed in [1, 100.min(size)] {
            let mut restarted = records("s", changed);
            for record in &mut restarted {
                record.build = 42;
            }
            restarted[0].build += changed as u32;
            let work = table.receive(false, restarted);
            let expected = Work {
                visits: changed as u64,
                changes: changed,
            };
            assert_eq!(work, expected, "{changed} of {size}");
        }
        let added = table.receive(false, records("t", 100));
        let (visits, changes) = (100, 100);
        assert_eq!(added, Work { visits, changes }, "100 more than {size}");
        let mut leaving = records("t", 100);
        for record in &mut leaving {
            record.state = EndpointState::Gone;
        }
        let left = table.receive(false, leaving);
        assert_eq!(left, Work { visits, changes }, "100 fewer than before");
        let work = table.receive(false, records("u", 100));
        assert_eq!(work, Work { visits, changes }, "100 others at {size}");
        assert_eq!(table.table.len(), size + 100, "in the places of those");
    }
}

/// Guards against a balancer that takes in thousands of entries which say what it knows.
#[test]
fn whole_lists_hand_on_only_what_differs() {
    for size in SIZES {
        let mut table = MeteredTable::with_endpoints(size);
        let same = table.receive(true, records("s", size));
        assert_eq!(same.changes, 0, "the same {size}");
        let mut few = records("s", size);
        few[0].build = 42;
        few[1].state = EndpointState::Draining;
        few[2].cell = 7;
        few[3].started_ms = Some(table.clock.to_unix_ms(START_OFFSET));
        few[4].zone = "b".into();
        few.swap_remove(5);
        few.push(record("new".into(), 41));
        let entries = table.apply(true, few).into_changes();
        assert_eq!(entries.len(), 7, "of {size}");
        let lacking = entries.iter().find(|entry| entry.endpoint == 5).unwrap();
        assert_eq!(lacking.state, EndpointState::Gone);
        let work = table.receive(true, records("s", size));
        assert_eq!(work.changes, 7, "as before, without the new one");
    }
}

/// Guards against a search for a free index among all, or among those that attempts still hold.
/// Does harm where it gives one out that an attempt holds.
#[test]
fn reuses_the_least_index_that_no_attempt_holds_without_a_search() {
    for size in SIZES {
        let mut table = MeteredTable::with_endpoints(size);
        let guards: Vec<_> = (0..size / 2)
            .map(|endpoint| table.table.hold_index(endpoint).unwrap())
            .collect();
        table.receive(true, Vec::new());
        let work = table.receive(false, records("new", 1));
        let (visits, changes) = (1, 1);
        assert_eq!(work, Work { visits, changes }, "in {size}");
        assert_eq!(table.table.index("new-00000000"), Some(size / 2));

        let second_guard = guards[7].clone();
        drop(guards);
        let work = table.receive(false, records("newer", 10));
        assert_eq!(work.visits, 10, "in {size}");
        let index = |n: usize| table.table.index(&format!("newer-{n:08x}")).unwrap();
        let indices: Vec<usize> = (0..10).map(index).collect();
        assert_eq!(indices, [0, 1, 2, 3, 4, 5, 6, 8, 9, 10], "7 is held");
        assert_eq!(table.table.id(7), "s-00000007");
        drop(second_guard);
        table.receive(false, records("last", 1));
        assert_eq!(table.table.index("last-00000000"), Some(7));
    }
}

/// An endpoint that comes back keeps its index, though a guard of before is dropped later.
#[test]
fn does_not_reuse_the_index_of_an_endpoint_that_came_back() {
    let mut table = MeteredTable::with_endpoints(3);
    let guard = table.table.hold_index(1).unwrap();
    table.receive(true, Vec::new());
    table.receive(false, records("s", 2));
    drop(guard);
    table.receive(false, records("t", 2));
    let index = |id: &str| table.table.index(id);
    assert_eq!(index("s-00000000"), Some(0));
    assert_eq!(index("s-00000001"), Some(1));
    assert_eq!(index("t-00000000"), Some(2));
    assert_eq!(index("t-00000001"), Some(3));
    assert_eq!(index("s-00000002"), None);
}

/// A sequence of numbers that is the same at each run.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1);
        (self.0 >> 33) % bound
    }

    fn record(&mut self, clock: &Clock) -> EndpointRecord {
        let states = [
            EndpointState::Running,
            EndpointState::Running,
            EndpointState::Running,
            EndpointState::Draining,
            EndpointState::Gone,
        ];
        let id = format!("s-{}", self.below(40));
        let mut record = record(id, 41 + self.below(2) as u32);
        record.state = states[self.below(5) as usize];
        record.zone = ["a", "b", "elsewhere"][self.below(3) as usize].into();
        record.cell = self.below(2);
        record.endpoint_type = format!("m{}", self.below(20)).into();
        let seconds_ago = self.below(3) * 20;
        if seconds_ago > 0 {
            let started = START_OFFSET - Duration::from_secs(seconds_ago);
            record.started_ms = Some(clock.to_unix_ms(started));
        }
        record
    }

    /// A list in which an id may lack, and some entries cannot be read.
    fn response(&mut self, version: u64, clock: &Clock) -> ListResponse {
        let mut endpoints: Vec<EndpointRecord> = Vec::new();
        for _ in 0..self.below(60) {
            let record = self.record(clock);
            if endpoints.iter().all(|other| other.id != record.id) {
                endpoints.push(record);
            }
        }
        let unreadable_ids = match endpoints.pop() {
            Some(unreadable) if self.below(4) == 0 => vec![unreadable.id],
            _ => Vec::new(),
        };
        ListResponse {
            version: version - self.below(3),
            complete: self.below(2) == 0,
            endpoints,
            first_error: None,
            unreadable_ids,
        }
    }
}

/// The first decisions on some requests that come now.
fn decisions(balancer: &mut Balancer, now: Duration, round: u64) -> Vec<String> {
    let decide = |n| {
        let id = round * 100 + n;
        let request = Request {
            class: 0,
            tenant: None,
            key: None,
            time_left: Duration::from_secs(1),
            estimated_work: None,
            is_retry: false,
        };
        balancer.on_request(now, id, request);
        let decision = balancer.route(now, id);
        balancer.close_request(id);
        format!("{decision:?}")
    };
    (0..20).map(decide).collect()
}

/// Keeps what was last listed of each endpoint.
fn record_listed(known: &mut Vec<EndpointEntry>, listed: &AppliedList, complete: bool) {
    if complete {
        for entry in known.iter_mut() {
            entry.state = EndpointState::Gone;
        }
    }
    for entry in &listed.entries {
        known.retain(|other| other.endpoint != entry.endpoint);
        known.push(entry.clone());
    }
}

/// What differs, told as changes, and whole lists, told as such, must come to the same decisions.
#[test]
fn changes_and_whole_lists_come_to_the_same_decisions() {
    let service = service();
    for seed in 0..30 {
        let mut random = Random(seed);
        let clock = Clock::start();
        let mut table = EndpointTable::default();
        let mut by_lists = Balancer::new(START_OFFSET, service.settings.clone());
        let mut by_changes = Balancer::new(START_OFFSET, service.settings.clone());
        let mut known: Vec<EndpointEntry> = Vec::new();
        let mut forwarded = 0;
        for round in 0..60 {
            let now = START_OFFSET + Duration::from_millis(round * 700);
            let response = random.response(10 + round, &clock);
            let complete = response.complete;
            let listed = table.apply(response, &service, &clock);
            record_listed(&mut known, &listed, complete);
            by_lists.update_endpoints(now, &listed.entries, complete);
            by_changes.update_endpoints(now, &listed.into_changes(), false);
            let expected = decisions(&mut by_lists, now, round);
            assert_eq!(decisions(&mut by_changes, now, round), expected);
            forwarded += expected.iter().filter(|d| d.contains("Forward")).count();

            let is_running = |entry: &&EndpointEntry| entry.state == EndpointState::Running;
            let running = known.iter().filter(is_running).count();
            assert_eq!(table.targets().len(), running);
            assert_eq!(table.has_running(), running > 0);
            let listed = known.iter().filter(|e| e.state != EndpointState::Gone);
            assert_eq!(table.builds(), listed.map(|e| e.build).collect());
        }
        assert!(forwarded > 300, "{forwarded} say little");
    }
}
