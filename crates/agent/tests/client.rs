//! The client library under faults, with the real agent program and fake endpoints behind it.

use futures_lite::future::{block_on, zip};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::sync::{RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::thread;
use std::time::{Duration, Instant};
use tulipwall_client::{
    Call, CallError, CallResponse, Client, ClientConfig, ConnectionPolicy, DeduplicationScope,
    Idempotency, RetryPolicy,
};
use tulipwall_testkit::runtime::{sleep, spawn, wait_until};
use tulipwall_testkit::{
    classes, client_config, pg, AgentProcess, ConnectionCutter, CutPoint, EndpointBehavior,
    ResponseBehavior, ScriptedServer, TestClient, TestCluster,
};

const BINARY: &str = env!("CARGO_BIN_EXE_tulipwall-agent");
/// Time that a call may take beyond its expiry on a machine that is busy with many other tests.
const SLACK: Duration = Duration::from_millis(300);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn cluster(work: Duration) -> TestCluster {
    let cluster = TestCluster::new(&["a"], classes()).unwrap();
    for n in 0..2 {
        cluster
            .add_endpoint(
                0,
                &format!("s-{n}"),
                41,
                EndpointBehavior {
                    work,
                    ..EndpointBehavior::default()
                },
            )
            .unwrap();
    }
    cluster
}

fn start(cluster: &TestCluster) -> AgentProcess {
    let agent_process =
        AgentProcess::start(BINARY, cluster.configuration("n1", 0).unwrap(), &[]).unwrap();
    tulipwall_testkit::TestClient::connect(agent_process.address().unwrap()).unwrap();
    agent_process
}

/// The number of bytes that an agent sends before its first answer.
fn greeting_length(agent: SocketAddr) -> usize {
    let mut stream = std::net::TcpStream::connect(agent).unwrap();
    stream.write_all(&pg::startup()).unwrap();
    let mut caller = TestClient { stream };
    let heard = caller.read_until_ready().unwrap();
    heard.iter().map(|(_, body)| body.len() + 5).sum::<usize>() + 6
}

/// How the calls of many clients ended.
#[derive(Default)]
struct CallOutcomes {
    succeeded: AtomicU64,
    others: AtomicU64,
    /// Calls that ended later than [`SLACK`] after their expiry: their duration and result.
    late: Mutex<Vec<(Duration, String)>>,
}

impl CallOutcomes {
    fn record(&self, begun: Instant, expiry: Duration, ended: &Result<CallResponse, CallError>) {
        let count = if ended.is_ok() {
            &self.succeeded
        } else {
            &self.others
        };
        count.fetch_add(1, Ordering::Relaxed);
        if begun.elapsed() > expiry + SLACK {
            self.late
                .lock()
                .unwrap()
                .push((begun.elapsed(), format!("{ended:?}")));
        }
    }
}

/// Makes each client call again and again, with the classes `view` and `payment` in turn, until
/// `stop` is set.
fn call_until_stopped(
    clients: &[Client],
    pause: Duration,
    outcomes: &Arc<CallOutcomes>,
    stop: &Arc<AtomicBool>,
) -> Vec<async_executor::Task<()>> {
    let expiry = ms(1500);
    clients
        .iter()
        .enumerate()
        .map(|(c, client)| {
            let (client, outcomes, stop) = (client.clone(), outcomes.clone(), stop.clone());
            spawn(async move {
                sleep(pause.mul_f64(c as f64 / 200.0)).await;
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let class = if n % 2 == 0 { "view" } else { "payment" };
                    let begun = Instant::now();
                    let ended = client
                        .call(Call::read(class, &format!("c{c}-{n}"), expiry))
                        .await;
                    outcomes.record(begun, expiry, &ended);
                    sleep(pause).await;
                }
            })
        })
        .collect()
}

/// Objects of a class for which endpoints ran more than one request.
fn executed_twice(cluster: &TestCluster, class: &str) -> Vec<String> {
    let mut objects: Vec<String> = cluster
        .received_queries()
        .into_values()
        .flatten()
        .filter(|s| s.ran && s.class == class)
        .map(|s| {
            s.statement
                .split('\'')
                .nth(1)
                .unwrap_or_default()
                .to_owned()
        })
        .collect();
    objects.sort();
    let mut executed_twice: Vec<String> = objects
        .windows(2)
        .filter(|w| w[0] == w[1])
        .map(|w| w[0].clone())
        .collect();
    executed_twice.dedup();
    executed_twice
}

/// Restarts the agent of two hundred clients, which `stop` ends. Checks that they reconnect spread
/// over time, that no call ends late and that no payment runs twice.
fn assert_reconnects_are_spread(stop: impl Fn(&mut AgentProcess)) {
    let cluster = cluster(ms(5));
    let mut agent = start(&cluster);
    let address = agent.address().unwrap();
    let clients: Vec<Client> = (0..200)
        .map(|_| Client::new(client_config(vec![address])))
        .collect();
    let (outcomes, finished) = (Arc::<CallOutcomes>::default(), Arc::<AtomicBool>::default());
    let calls = call_until_stopped(&clients, ms(100), &outcomes, &finished);
    assert!(wait_until(
        || outcomes.succeeded.load(Ordering::Relaxed) > 1000
    ));
    stop(&mut agent);
    let configuration = agent.configuration.clone();
    drop(agent);
    let agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let opened = || {
        clients
            .iter()
            .map(|c| c.stats().counters.connections_opened)
            .sum::<u64>()
    };
    // The number of new connections in each interval of 100 ms after the restart.
    let (mut before, mut counts) = (opened(), Vec::new());
    let begun = Instant::now();
    for n in 1..=70 {
        thread::sleep((begun + ms(100) * n).saturating_duration_since(Instant::now()));
        let now = opened();
        counts.push(now - before);
        before = now;
    }
    finished.store(true, Ordering::Relaxed);
    calls.into_iter().for_each(block_on);
    let (all, most) = (counts.iter().sum::<u64>(), *counts.iter().max().unwrap());
    assert!(all >= 190, "too few clients reconnected: {counts:?}");
    assert!(
        most <= 40,
        "more than a fifth of the clients reconnected within 100 ms: {counts:?}"
    );
    let span =
        counts.iter().rposition(|n| *n > 0).unwrap() - counts.iter().position(|n| *n > 0).unwrap();
    assert!(span >= 15, "not spread over seconds: {counts:?}");
    assert!(
        outcomes.late.lock().unwrap().is_empty(),
        "{:?}",
        outcomes.late.lock().unwrap()
    );
    assert_eq!(executed_twice(&cluster, "payment"), Vec::<String>::new());
    drop(agent);
}

/// Tests that compare response times hold this lock exclusively, all others hold it shared: beside
/// other tests, both agents of such a test would be slow.
static TIMING_LOCK: RwLock<()> = RwLock::new(());

fn lock_exclusively() -> RwLockWriteGuard<'static, ()> {
    TIMING_LOCK
        .write()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn lock_shared() -> RwLockReadGuard<'static, ()> {
    TIMING_LOCK
        .read()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[test]
fn spreads_reconnects_of_two_hundred_clients_after_a_sigterm_and_runs_no_payment_twice() {
    let _timing_lock = lock_shared();
    assert_reconnects_are_spread(|agent| {
        agent.terminate().unwrap();
        assert!(agent.wait_for_success().unwrap());
    });
}

#[test]
fn spreads_reconnects_of_two_hundred_clients_after_a_kill_and_runs_no_payment_twice() {
    let _timing_lock = lock_shared();
    assert_reconnects_are_spread(|agent| agent.signal(rustix::process::Signal::KILL).unwrap());
}

#[test]
fn does_not_repeat_a_payment_whose_agent_was_killed_before_its_response() {
    let _timing_lock = lock_shared();
    let cluster = cluster(ms(400));
    let agent = start(&cluster);
    let client = Client::new(client_config(vec![agent.address().unwrap()]));
    // The payment is sent on a connection that was used before: its close could be mistaken for one
    // between two requests.
    assert!(block_on(client.call(Call::read("view", "warm", ms(1500)))).is_ok());
    let c = client.clone();
    let payment_call = spawn(async move {
        c.call(Call::write("payment", "p1", vec![1], ms(1500)))
            .await
    });
    let seen = || {
        cluster
            .received_queries()
            .values()
            .flatten()
            .filter(|s| s.class == "payment")
            .count()
    };
    assert!(wait_until(|| seen() == 1));
    let configuration = agent.configuration.clone();
    agent.signal(rustix::process::Signal::KILL).unwrap();
    drop(agent);
    let _agent = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    match block_on(payment_call) {
        Err(CallError::Failed {
            attempts: tried, ..
        }) => {
            assert!(tried.may_have_executed && tried.agents.len() == 1)
        }
        other => panic!("{other:?}"),
    }
    thread::sleep(ms(300));
    assert_eq!(seen(), 1);
}

#[test]
fn does_not_repeat_a_payment_after_half_a_response_and_a_close() {
    let _timing_lock = lock_shared();
    let cluster = cluster(ms(1));
    let agent = start(&cluster);
    let address = agent.address().unwrap();
    let mid_answer = CutPoint::FromAgent(greeting_length(address) + 20);
    let cutter = ConnectionCutter::start(address, vec![mid_answer]).unwrap();
    let client = Client::new(client_config(vec![cutter.address]));
    match block_on(client.call(Call::read("payment", "p1", ms(1500)))) {
        Err(CallError::Failed {
            attempts: tried, ..
        }) => assert!(tried.may_have_executed),
        other => panic!("{other:?}"),
    }
    let cutter = ConnectionCutter::start(address, vec![mid_answer]).unwrap();
    let quick = ConnectionPolicy {
        reconnect_spread: ms(50),
        ..ConnectionPolicy::default()
    };
    let client = Client::new(ClientConfig {
        connections: quick,
        ..client_config(vec![cutter.address])
    });
    let answered = block_on(client.call(Call::read("view", "v1", ms(1500)))).unwrap();
    assert_eq!(
        (answered.value, answered.attempts.failures),
        (vec![0x9f, 3], vec!["broken"])
    );
    assert_eq!(executed_twice(&cluster, "payment"), Vec::<String>::new());
}

/// Measures the longest time for which the agent gave no answer, or for which the thread of the
/// clients and fakes did not run.
struct StallMonitor {
    finished: Arc<AtomicBool>,
    agent: thread::JoinHandle<Duration>,
    clients: async_executor::Task<Duration>,
}

impl StallMonitor {
    fn watch(mut caller: TestClient) -> StallMonitor {
        let finished = Arc::<AtomicBool>::default();
        let (clients_finished, agent_finished) = (finished.clone(), finished.clone());
        let agent = thread::spawn(move || {
            let mut longest = Duration::ZERO;
            while !agent_finished.load(Ordering::Relaxed) {
                let asked = Instant::now();
                caller.send_statement("");
                caller.read_until_ready().unwrap();
                longest = longest.max(asked.elapsed());
                thread::sleep(ms(1));
            }
            longest
        });
        let clients = spawn(async move {
            let mut longest = Duration::ZERO;
            while !clients_finished.load(Ordering::Relaxed) {
                let begun = Instant::now();
                sleep(ms(1)).await;
                longest = longest.max(begun.elapsed());
            }
            longest
        });
        StallMonitor {
            finished,
            agent,
            clients,
        }
    }

    fn end(self) -> Duration {
        self.finished.store(true, Ordering::Relaxed);
        self.agent.join().unwrap().max(block_on(self.clients))
    }
}

/// Rejects two hundred clients at the same moment with the same time to retry after. Returns how
/// many of their requests ran in each successive interval of 50 ms after the rejections ended, and
/// the longest stall meanwhile.
fn measure_retries_after_rejection() -> (Vec<usize>, Duration) {
    let cluster = cluster(ms(1));
    let set_responses = |response_behavior| {
        cluster
            .endpoints_in_zone(0)
            .iter()
            .for_each(|(_, a)| a.update_behavior(|w| w.response = response_behavior))
    };
    set_responses(ResponseBehavior::Reject);
    let agent = start(&cluster);
    let address = agent.address().unwrap();
    let stall_monitor = StallMonitor::watch(TestClient::connect(address).unwrap());
    let calls: Vec<_> = (0..200)
        .map(|n| {
            let client = Client::new(client_config(vec![address]));
            spawn(async move {
                client
                    .call(Call::read("payment", &format!("p{n}"), ms(2500)))
                    .await
            })
        })
        .collect();
    thread::sleep(ms(450));
    let since = Instant::now();
    set_responses(ResponseBehavior::Answer);
    let ended: Vec<_> = calls.into_iter().map(block_on).collect();
    let longest_stall = stall_monitor.end();
    let good = ended.iter().filter(|e| e.is_ok()).count();
    assert!(
        good > 190,
        "{good}: {:?}",
        ended.iter().find(|e| e.is_err())
    );
    assert_eq!(executed_twice(&cluster, "payment"), Vec::<String>::new());
    let executed_in_interval = |n: u64| {
        let all = cluster.received_queries().into_values().flatten();
        all.filter(|s| s.ran && s.at >= since + ms(n * 50) && s.at < since + ms(n * 50 + 50))
            .count()
    };
    ((0..40).map(executed_in_interval).collect(), longest_stall)
}

/// Retries that become due while the machine stalls the agent or the clients are all sent when it
/// goes on: only after such a stall is the measurement repeated.
#[test]
fn spreads_retries_of_two_hundred_clients_rejected_at_once_with_the_same_retry_after() {
    let _timing_lock = lock_exclusively();
    let is_spread = |counts: &[usize]| counts.iter().max().is_some_and(|most| *most <= 70);
    for _ in 0..5 {
        let (counts, longest_stall) = measure_retries_after_rejection();
        if is_spread(&counts) {
            return;
        }
        assert!(
            longest_stall >= ms(50),
            "retries not spread beyond the time to retry after: {counts:?}; longest stall {longest_stall:?}"
        );
        eprintln!("{counts:?}: measured again, longest stall {longest_stall:?}");
    }
    panic!("retries were never spread, or the machine always stalled");
}

/// Guards against a client that counts its own stall as the agent's: other work occupies its thread
/// between its connect and the agent's greeting, for longer than opening a connection may take.
#[test]
fn does_not_take_the_agent_for_lost_after_a_stall_of_the_client() {
    let _timing_lock = lock_shared();
    let cluster = cluster(ms(1));
    let agent = start(&cluster);
    let client = Client::new(client_config(vec![agent.address().unwrap()]));
    let call = client.call(Call::read("payment", "p1", ms(5000)));
    let stall = async { thread::sleep(client.config().connections.connect_timeout + ms(200)) };
    let (answered, ()) = block_on(zip(call, stall));
    let tried = answered.unwrap().attempts;
    assert_eq!((tried.agents.len(), tried.failures), (1, vec![]));
}

#[test]
fn recovers_once_one_agent_is_back_after_all_were_away() {
    let _timing_lock = lock_shared();
    let cluster = cluster(ms(2));
    let (one, two) = (start(&cluster), start(&cluster));
    let agents = vec![one.address().unwrap(), two.address().unwrap()];
    let clients: Vec<Client> = (0..20)
        .map(|_| Client::new(client_config(agents.clone())))
        .collect();
    let (outcomes, finished) = (Arc::<CallOutcomes>::default(), Arc::<AtomicBool>::default());
    let calls = call_until_stopped(&clients, ms(50), &outcomes, &finished);
    assert!(wait_until(
        || outcomes.succeeded.load(Ordering::Relaxed) > 200
    ));
    let configuration = one.configuration.clone();
    for agent in [one, two] {
        agent.signal(rustix::process::Signal::KILL).unwrap();
    }
    thread::sleep(Duration::from_secs(5));
    let attempts_made = || {
        clients
            .iter()
            .map(|c| c.stats().counters.attempts)
            .sum::<u64>()
    };
    let calls_made = || {
        clients
            .iter()
            .map(|c| c.stats().counters.calls)
            .sum::<u64>()
    };
    let (before, called) = (attempts_made(), calls_made());
    thread::sleep(ms(500));
    assert!(
        attempts_made() - before <= (calls_made() - called) * 11 / 10 + 20,
        "retries multiply the load during an outage"
    );
    let _one = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let succeeded = outcomes.succeeded.load(Ordering::Relaxed);
    assert!(
        wait_until(|| outcomes.succeeded.load(Ordering::Relaxed) > succeeded + 500),
        "the clients do not use the agent again"
    );
    finished.store(true, Ordering::Relaxed);
    calls.into_iter().for_each(block_on);
    assert!(
        outcomes.late.lock().unwrap().is_empty(),
        "{:?}",
        outcomes.late.lock().unwrap()
    );
    assert_eq!(executed_twice(&cluster, "payment"), Vec::<String>::new());
}

#[test]
fn answers_all_requests_beside_an_agent_that_accepts_and_never_responds() {
    let _timing_lock = lock_shared();
    let cluster = cluster(ms(2));
    let agent = start(&cluster);
    let unresponsive = ScriptedServer::start("").unwrap();
    let client = Client::new(client_config(vec![
        unresponsive.address,
        agent.address().unwrap(),
    ]));
    let ended: Vec<_> = (0..60)
        .map(|n| block_on(client.call(Call::read("payment", &format!("p{n}"), ms(1500)))))
        .collect();
    assert!(
        ended.iter().all(Result::is_ok),
        "{:?}",
        ended.iter().find(|e| e.is_err())
    );
    let slow = ended
        .iter()
        .flatten()
        .filter(|a| a.attempts.elapsed > ms(400))
        .count();
    assert!(slow <= 6, "{slow} of 60 calls tried the unresponsive agent");
    assert_eq!(executed_twice(&cluster, "payment"), Vec::<String>::new());
}

#[test]
fn sends_less_to_an_agent_that_is_ten_times_slower() {
    let _timing_lock = lock_exclusively();
    let (quick, slow) = (cluster(ms(8)), cluster(ms(80)));
    let (one, two) = (start(&quick), start(&slow));
    let client = Client::new(client_config(vec![
        one.address().unwrap(),
        two.address().unwrap(),
    ]));
    let calls: Vec<_> = (0..12)
        .map(|c| {
            let client = client.clone();
            spawn(async move {
                for n in 0..40 {
                    client
                        .call(Call::read("view", &format!("v{c}-{n}"), ms(1500)))
                        .await
                        .unwrap();
                }
            })
        })
        .collect();
    calls.into_iter().for_each(block_on);
    let received_count = |w: &TestCluster| w.received_queries().len();
    assert!(
        received_count(&slow) * 2 < received_count(&quick),
        "{} and {}",
        received_count(&slow),
        received_count(&quick)
    );
}

#[test]
fn ends_a_call_whose_deduplication_window_ends_between_two_attempts() {
    let _timing_lock = lock_shared();
    let cluster = cluster(ms(1));
    let agent = start(&cluster);
    let mid_answer = CutPoint::FromAgent(greeting_length(agent.address().unwrap()) + 20);
    let cutter = ConnectionCutter::start(agent.address().unwrap(), vec![mid_answer]).unwrap();
    let mut s = client_config(vec![cutter.address]);
    s.classes[1].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: ms(40),
    };
    // A new connection waits for longer than the deduplication window.
    s.connections = ConnectionPolicy {
        reconnect_spread: Duration::from_secs(60),
        ..ConnectionPolicy::default()
    };
    let client = Client::new(s);
    let begun = Instant::now();
    let ended = block_on(client.call(Call::write("send", "m1", vec![7], ms(1200))));
    assert!(
        ended
            .as_ref()
            .is_err_and(|e| e.attempts().is_some_and(|t| t.may_have_executed)),
        "{ended:?}"
    );
    assert!(begun.elapsed() < ms(1200) + SLACK);
    assert_eq!(
        cluster
            .received_queries()
            .values()
            .flatten()
            .filter(|s| s.class == "send")
            .count(),
        1
    );
}

#[test]
fn refuses_a_key_that_another_open_call_uses() {
    let _timing_lock = lock_shared();
    let cluster = cluster(ms(200));
    let agent = start(&cluster);
    let client = Client::new(client_config(vec![agent.address().unwrap()]));
    let (one, two) = (client.clone(), client.clone());
    let call = || Call::write("send", "m1", vec![7], ms(1200)).key("k1");
    let first = spawn(async move { one.call(call()).await });
    assert!(wait_until(|| cluster.received_queries().len() == 1));
    assert!(matches!(
        block_on(two.call(call())),
        Err(CallError::InvalidCall(_))
    ));
    assert!(block_on(first).is_ok());
    assert!(
        block_on(client.call(call())).is_ok(),
        "the key is free again when the first call has ended"
    );
}

#[test]
fn a_dropped_call_closes_its_connection_and_returns_its_permit() {
    let _timing_lock = lock_shared();
    let cluster = cluster(ms(1000));
    let agent = start(&cluster);
    let client = Client::new(client_config(vec![agent.address().unwrap()]));
    let c = client.clone();
    let call = spawn(async move {
        c.call(Call::write("send", "m1", vec![7], ms(1500)).key("k1"))
            .await
    });
    assert!(wait_until(|| cluster.received_queries().len() == 1));
    drop(call);
    assert!(wait_until(|| client.stats().in_flight == 0));
    assert_eq!(
        (
            client.stats().counters.cancelled,
            client.stats().idle_connections.iter().sum::<usize>()
        ),
        (1, 0)
    );
    agent.signal(rustix::process::Signal::USR1).unwrap();
    assert!(
        wait_until(|| agent.log().contains("abandoned 1;")),
        "the agent has not noticed that the client disconnected: {}",
        agent.log()
    );
}

#[test]
fn runs_no_payment_twice_and_ends_each_call_once_in_a_thousand_fault_schedules() {
    let _timing_lock = lock_shared();
    let cluster = Arc::new(cluster(ms(0)));
    let agent = start(&cluster);
    let address = agent.address().unwrap();
    let greeting = greeting_length(address);
    let (next, good) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
    let threads: Vec<_> = (0..16)
        .map(|_| {
            let (next, good) = (next.clone(), good.clone());
            thread::spawn(move || loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= 1000 {
                    return;
                }
                let mut rng = Pcg64Mcg::seed_from_u64(seed);
                // A statement has some 130 bytes and follows a startup message of 41 bytes; an
                // answer has some 80 bytes and follows the greeting.
                let cuts = (0..rng.gen_range(1..5)).map(|_| match rng.gen_range(0..3) {
                    0 => CutPoint::ToAgent(rng.gen_range(0..200)),
                    1 => CutPoint::FromAgent(rng.gen_range(0..greeting + 100)),
                    _ => CutPoint::Never,
                });
                let cutter = ConnectionCutter::start(address, cuts.collect()).unwrap();
                let mut s = client_config(vec![cutter.address]);
                s.connections = ConnectionPolicy {
                    reconnect_spread: ms(4),
                    ..ConnectionPolicy::default()
                };
                s.retry = RetryPolicy {
                    initial_backoff: ms(2),
                    max_backoff: ms(10),
                    ..RetryPolicy::default()
                };
                let client = Client::new(s);
                for n in 0..4 {
                    let (class, expiry) = (["payment", "send", "view", "payment"][n], ms(900));
                    let begun = Instant::now();
                    let ended =
                        block_on(client.call(Call::read(class, &format!("o{seed}-{n}"), expiry)));
                    assert!(
                        begun.elapsed() < expiry + SLACK,
                        "seed {seed}: {ended:?} after {:?}",
                        begun.elapsed()
                    );
                    match &ended {
                        Ok(answered) => {
                            assert_eq!(answered.value, [0x9f, 3], "seed {seed}");
                            good.fetch_add(1, Ordering::Relaxed);
                        }
                        Err(CallError::Rejected {
                            attempts: tried, ..
                        }) => {
                            assert!(
                                !tried.may_have_executed || class == "view",
                                "seed {seed}: {ended:?}"
                            );
                        }
                        Err(_) => {}
                    }
                }
                let c = client.stats().counters;
                assert_eq!(
                    (c.calls, c.cancelled, client.stats().in_flight),
                    (4, 0, 0),
                    "seed {seed}"
                );
            })
        })
        .collect();
    threads.into_iter().for_each(|t| t.join().unwrap());
    assert!(
        good.load(Ordering::Relaxed) > 3000,
        "{}",
        good.load(Ordering::Relaxed)
    );
    assert_eq!(executed_twice(&cluster, "payment"), Vec::<String>::new());
    // A payment runs only if it is not rejected: a rejected one never reaches an endpoint.
    assert!(
        cluster
            .received_queries()
            .values()
            .flatten()
            .filter(|s| s.class == "payment")
            .count()
            > 1000
    );
}
