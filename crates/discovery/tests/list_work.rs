//! Tests of the work for applying a list, by counts that do not depend on the machine: visits of
//! table entries, and entries passed on to the balancer.

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

/// An endpoint table for which the work of each response is counted.
struct MeteredTable {
    service: ServiceConfig,
    clock: Clock,
    table: EndpointTable,
    version: u64,
}

/// The entries that a response visited, and those that it changed.
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
            has_unidentified_entry: false,
        };
        self.table.apply(response, &self.service, &self.clock)
    }

    /// Applies a response, and then makes the same queries as the agent does after each response.
    /// Returns the work for both.
    fn receive(&mut self, complete: bool, endpoints: Vec<EndpointRecord>) -> Work {
        let before = self.table.entry_visits();
        let builds_before = self.table.builds();
        let had_running = self.table.has_running();
        let changes = self.apply(complete, endpoints).into_changes().len();
        let is_same =
            self.table.builds() == builds_before && self.table.has_running() == had_running;
        assert!(is_same || changes > 0);
        Work {
            visits: self.table.entry_visits() - before,
            changes,
        }
    }
}

/// A complete list costs two visits for each entry: one to apply it, and one to find endpoints that
/// the list does not contain. Guards against searching all entries for each entry of the list.
#[test]
fn complete_lists_cost_two_visits_per_entry() {
    for size in SIZES {
        let mut table = MeteredTable::new();
        let visits = size as u64;
        let first = table.receive(true, records("s", size));
        let all = Work {
            visits: 2 * visits,
            changes: size,
        };
        assert_eq!(first, all, "a first list of {size} endpoints");
        let emptied = table.receive(true, Vec::new());
        let gone = Work {
            visits,
            changes: size,
        };
        assert_eq!(emptied, gone, "an empty list after {size} endpoints");
        let restored = table.receive(true, records("s", size));
        assert_eq!(restored, all, "{size} endpoints listed again");
        table.receive(true, Vec::new());
        let renamed = table.receive(true, records("r", size));
        assert_eq!(
            renamed, all,
            "{size} new endpoints in place of the old ones"
        );
        assert_eq!(table.table.len(), size);
        assert_eq!(table.table.index("s-00000000"), None);
    }
}

/// Guards against iterating over the whole table for a change of a few entries.
#[test]
fn incremental_lists_cost_one_visit_per_entry() {
    for size in SIZES {
        let mut table = MeteredTable::with_endpoints(size);
        for changed in [1, 100.min(size)] {
            let mut updated = records("s", changed);
            for record in &mut updated {
                record.build = 42;
            }
            updated[0].build += changed as u32;
            let work = table.receive(false, updated);
            let expected = Work {
                visits: changed as u64,
                changes: changed,
            };
            assert_eq!(work, expected, "{changed} changes to {size} endpoints");
        }
        let added = table.receive(false, records("t", 100));
        let (visits, changes) = (100, 100);
        assert_eq!(
            added,
            Work { visits, changes },
            "100 endpoints added to {size}"
        );
        let mut leaving = records("t", 100);
        for record in &mut leaving {
            record.state = EndpointState::Gone;
        }
        let removal = table.receive(false, leaving);
        assert_eq!(removal, Work { visits, changes }, "100 endpoints removed");
        let work = table.receive(false, records("u", 100));
        assert_eq!(
            work,
            Work { visits, changes },
            "100 new endpoints in a table of {size}"
        );
        assert_eq!(
            table.table.len(),
            size + 100,
            "new endpoints must reuse the indices of removed ones"
        );
    }
}

/// Guards against passing thousands of unchanged entries to the balancer.
#[test]
fn complete_lists_pass_on_only_changed_entries() {
    for size in SIZES {
        let mut table = MeteredTable::with_endpoints(size);
        let same = table.receive(true, records("s", size));
        assert_eq!(same.changes, 0, "an unchanged list of {size} endpoints");
        let mut changed_records = records("s", size);
        changed_records[0].build = 42;
        changed_records[1].state = EndpointState::Draining;
        changed_records[2].cell = 7;
        changed_records[3].started_ms = Some(table.clock.to_unix_ms(START_OFFSET));
        changed_records[4].zone = "b".into();
        changed_records.swap_remove(5);
        changed_records.push(record("new".into(), 41));
        let entries = table.apply(true, changed_records).into_changes();
        assert_eq!(entries.len(), 7, "changes to a list of {size} endpoints");
        let removed = entries.iter().find(|entry| entry.endpoint == 5).unwrap();
        assert_eq!(removed.state, EndpointState::Gone);
        let work = table.receive(true, records("s", size));
        assert_eq!(
            work.changes, 7,
            "the changes are undone and the new endpoint is removed"
        );
    }
}

/// Guards against searching for a free index among all indices, or among those that attempts still
/// hold. This does harm if an index that an attempt holds is reused.
#[test]
fn reuses_the_lowest_index_that_no_attempt_holds_without_a_search() {
    for size in SIZES {
        let mut table = MeteredTable::with_endpoints(size);
        let guards: Vec<_> = (0..size / 2)
            .map(|endpoint| table.table.hold_index(endpoint).unwrap())
            .collect();
        table.receive(true, Vec::new());
        let work = table.receive(false, records("new", 1));
        let (visits, changes) = (1, 1);
        assert_eq!(work, Work { visits, changes }, "in a table of {size}");
        assert_eq!(table.table.index("new-00000000"), Some(size / 2));

        let second_guard = guards[7].clone();
        drop(guards);
        let work = table.receive(false, records("newer", 10));
        assert_eq!(work.visits, 10, "in a table of {size}");
        let index = |n: usize| table.table.index(&format!("newer-{n:08x}")).unwrap();
        let indices: Vec<usize> = (0..10).map(index).collect();
        assert_eq!(
            indices,
            [0, 1, 2, 3, 4, 5, 6, 8, 9, 10],
            "index 7 must not be reused while it is held"
        );
        assert_eq!(table.table.id(7), "s-00000007");
        drop(second_guard);
        table.receive(false, records("last", 1));
        assert_eq!(table.table.index("last-00000000"), Some(7));
    }
}

/// An endpoint that is listed again keeps its index, even if a guard from before its removal is
/// dropped afterwards.
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

/// A pseudo-random number generator that gives the same sequence for the same seed.
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

    /// Returns a response that may omit endpoints and may have an entry that cannot be read.
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
            has_unidentified_entry: false,
        }
    }
}

/// Returns the first decisions on 20 requests that arrive now.
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

/// Updates `known` to the entry that was last listed for each endpoint.
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

/// A balancer that receives only the changes must make the same decisions as one that receives the
/// lists as they are.
#[test]
fn changes_and_complete_lists_lead_to_the_same_decisions() {
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
        assert!(
            forwarded > 300,
            "only {forwarded} requests were forwarded, too few for the comparison"
        );
    }
}
