//! The client library against the real agent program, with the fakes behind it: the bad days of
//! clients.

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
/// What a call may take beyond its expiry on a machine that is busy with many others.
const SLACK: Duration = Duration::from_millis(300);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn world(work: Duration) -> TestCluster {
    let world = TestCluster::new(&["a"], classes()).unwrap();
    for n in 0..2 {
        world
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
    world
}

fn start(world: &TestCluster) -> AgentProcess {
    let program = AgentProcess::start(BINARY, world.configuration("n1", 0).unwrap(), &[]).unwrap();
    tulipwall_testkit::TestClient::connect(program.address().unwrap()).unwrap();
    program
}

/// Bytes that an agent sends before its first answer.
fn welcome(agent: SocketAddr) -> usize {
    let mut stream = std::net::TcpStream::connect(agent).unwrap();
    stream.write_all(&pg::startup()).unwrap();
    let mut caller = TestClient { stream };
    let heard = caller.read_until_ready().unwrap();
    heard.iter().map(|(_, body)| body.len() + 5).sum::<usize>() + 6
}

/// What many clients met.
#[derive(Default)]
struct Met {
    succeeded: AtomicU64,
    others: AtomicU64,
    late: Mutex<Vec<(Duration, String)>>,
}

impl Met {
    fn note(&self, begun: Instant, expiry: Duration, ended: &Result<CallResponse, CallError>) {
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

/// Clients that call again and again, views and payments in turn, until told to stop.
fn call_on(
    clients: &[Client],
    pause: Duration,
    met: &Arc<Met>,
    stop: &Arc<AtomicBool>,
) -> Vec<async_executor::Task<()>> {
    let expiry = ms(1500);
    clients
        .iter()
        .enumerate()
        .map(|(c, client)| {
            let (client, met, stop) = (client.clone(), met.clone(), stop.clone());
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
                    met.note(begun, expiry, &ended);
                    sleep(pause).await;
                }
            })
        })
        .collect()
}

/// Objects of a class that came to endpoints more than once.
fn twice(world: &TestCluster, class: &str) -> Vec<String> {
    let mut objects: Vec<String> = world
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
    let mut twice: Vec<String> = objects
        .windows(2)
        .filter(|w| w[0] == w[1])
        .map(|w| w[0].clone())
        .collect();
    twice.dedup();
    twice
}

fn restarted(stop: impl Fn(&mut AgentProcess)) {
    let world = world(ms(5));
    let mut agent = start(&world);
    let address = agent.address().unwrap();
    let clients: Vec<Client> = (0..200)
        .map(|_| Client::new(client_config(vec![address])))
        .collect();
    let (met, over) = (Arc::<Met>::default(), Arc::<AtomicBool>::default());
    let calls = call_on(&clients, ms(100), &met, &over);
    assert!(wait_until(|| met.succeeded.load(Ordering::Relaxed) > 1000));
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
    // New connections in each 100 ms from the restart on.
    let (mut before, mut each) = (opened(), Vec::new());
    let begun = Instant::now();
    for n in 1..=70 {
        thread::sleep((begun + ms(100) * n).saturating_duration_since(Instant::now()));
        let now = opened();
        each.push(now - before);
        before = now;
    }
    over.store(true, Ordering::Relaxed);
    calls.into_iter().for_each(block_on);
    let (all, most) = (each.iter().sum::<u64>(), *each.iter().max().unwrap());
    assert!(all >= 190, "they came back: {each:?}");
    assert!(
        most <= 40,
        "a fifth of two hundred at most in any 100 ms: {each:?}"
    );
    let span =
        each.iter().rposition(|n| *n > 0).unwrap() - each.iter().position(|n| *n > 0).unwrap();
    assert!(span >= 15, "over seconds: {each:?}");
    assert!(
        met.late.lock().unwrap().is_empty(),
        "{:?}",
        met.late.lock().unwrap()
    );
    assert_eq!(twice(&world, "payment"), Vec::<String>::new());
    drop(agent);
}

/// Cases that compare answer times have the machine to themselves: beside others both agents of one
/// are slow.
static TURN: RwLock<()> = RwLock::new(());

fn alone() -> RwLockWriteGuard<'static, ()> {
    TURN.write()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn beside() -> RwLockReadGuard<'static, ()> {
    TURN.read().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[test]
fn spreads_reconnects_of_two_hundred_clients_after_a_sigterm_and_runs_no_payment_twice() {
    let _turn = beside();
    restarted(|agent| {
        agent.terminate().unwrap();
        assert!(agent.wait_for_success().unwrap());
    });
}

#[test]
fn spreads_reconnects_of_two_hundred_clients_after_a_kill_and_runs_no_payment_twice() {
    let _turn = beside();
    restarted(|agent| agent.signal(rustix::process::Signal::KILL).unwrap());
}

#[test]
fn does_not_repeat_a_payment_whose_agent_was_killed_before_its_response() {
    let _turn = beside();
    let world = world(ms(400));
    let agent = start(&world);
    let client = Client::new(client_config(vec![agent.address().unwrap()]));
    // Also on a connection that was used before, whose close could be taken for one between
    // requests.
    assert!(block_on(client.call(Call::read("view", "warm", ms(1500)))).is_ok());
    let c = client.clone();
    let paying = spawn(async move {
        c.call(Call::write("payment", "p1", vec![1], ms(1500)))
            .await
    });
    let seen = || {
        world
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
    match block_on(paying) {
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
    let _turn = beside();
    let world = world(ms(1));
    let agent = start(&world);
    let address = agent.address().unwrap();
    let half = CutPoint::FromAgent(welcome(address) + 20);
    let cutter = ConnectionCutter::start(address, vec![half]).unwrap();
    let client = Client::new(client_config(vec![cutter.address]));
    match block_on(client.call(Call::read("payment", "p1", ms(1500)))) {
        Err(CallError::Failed {
            attempts: tried, ..
        }) => assert!(tried.may_have_executed),
        other => panic!("{other:?}"),
    }
    let cutter = ConnectionCutter::start(address, vec![half]).unwrap();
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
    assert_eq!(twice(&world, "payment"), Vec::<String>::new());
}

/// The longest time for which an agent gave no answer, or the thread of clients and fakes did not
/// run.
struct Standstill {
    over: Arc<AtomicBool>,
    agent: thread::JoinHandle<Duration>,
    clients: async_executor::Task<Duration>,
}

impl Standstill {
    fn watch(mut caller: TestClient) -> Standstill {
        let over = Arc::<AtomicBool>::default();
        let (here, there) = (over.clone(), over.clone());
        let agent = thread::spawn(move || {
            let mut longest = Duration::ZERO;
            while !there.load(Ordering::Relaxed) {
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
            while !here.load(Ordering::Relaxed) {
                let begun = Instant::now();
                sleep(ms(1)).await;
                longest = longest.max(begun.elapsed());
            }
            longest
        });
        Standstill {
            over,
            agent,
            clients,
        }
    }

    fn end(self) -> Duration {
        self.over.store(true, Ordering::Relaxed);
        self.agent.join().unwrap().max(block_on(self.clients))
    }
}

/// In how many of a row of 50 ms each how many of two hundred came back that were rejected at the
/// same moment with the same time to come back, and what stood still meanwhile.
fn rejected_at_once() -> (Vec<usize>, Duration) {
    let world = world(ms(1));
    let turns_away = |act| {
        world
            .endpoints_in_zone(0)
            .iter()
            .for_each(|(_, a)| a.update_behavior(|w| w.response = act))
    };
    turns_away(ResponseBehavior::Reject);
    let agent = start(&world);
    let address = agent.address().unwrap();
    let standstill = Standstill::watch(TestClient::connect(address).unwrap());
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
    let healed = Instant::now();
    turns_away(ResponseBehavior::Answer);
    let ended: Vec<_> = calls.into_iter().map(block_on).collect();
    let stood = standstill.end();
    let good = ended.iter().filter(|e| e.is_ok()).count();
    assert!(
        good > 190,
        "{good}: {:?}",
        ended.iter().find(|e| e.is_err())
    );
    assert_eq!(twice(&world, "payment"), Vec::<String>::new());
    let came = |n: u64| {
        let all = world.received_queries().into_values().flatten();
        all.filter(|s| s.ran && s.at >= healed + ms(n * 50) && s.at < healed + ms(n * 50 + 50))
            .count()
    };
    ((0..40).map(came).collect(), stood)
}

/// What is due while the machine lets one of them stand still comes at once when it goes on: only
/// then it is tried again.
#[test]
fn spreads_retries_of_two_hundred_clients_rejected_at_once_with_the_same_retry_after() {
    let _turn = alone();
    let spread = |each: &[usize]| each.iter().max().is_some_and(|most| *most <= 70);
    for _ in 0..5 {
        let (each, stood) = rejected_at_once();
        if spread(&each) {
            return;
        }
        assert!(
            stood >= ms(50),
            "spread beyond the time they were told: {each:?}; {stood:?} at most stood still"
        );
        eprintln!("{each:?}: judged anew, {stood:?} stood still");
    }
    panic!("never spread, or the machine always stood still");
}

/// Its thread is kept by other work between its connect and the agent's greeting, for longer than
/// an opening may take.
#[test]
fn does_not_take_the_agent_for_lost_after_a_stall_of_the_client() {
    let _turn = beside();
    let world = world(ms(1));
    let agent = start(&world);
    let client = Client::new(client_config(vec![agent.address().unwrap()]));
    let call = client.call(Call::read("payment", "p1", ms(5000)));
    let keeps = async { thread::sleep(client.config().connections.connect_timeout + ms(200)) };
    let (answered, ()) = block_on(zip(call, keeps));
    let tried = answered.unwrap().attempts;
    assert_eq!((tried.agents.len(), tried.failures), (1, vec![]));
}

#[test]
fn recovers_once_one_agent_is_back_after_all_were_away() {
    let _turn = beside();
    let world = world(ms(2));
    let (one, two) = (start(&world), start(&world));
    let agents = vec![one.address().unwrap(), two.address().unwrap()];
    let clients: Vec<Client> = (0..20)
        .map(|_| Client::new(client_config(agents.clone())))
        .collect();
    let (met, over) = (Arc::<Met>::default(), Arc::<AtomicBool>::default());
    let calls = call_on(&clients, ms(50), &met, &over);
    assert!(wait_until(|| met.succeeded.load(Ordering::Relaxed) > 200));
    let configuration = one.configuration.clone();
    for agent in [one, two] {
        agent.signal(rustix::process::Signal::KILL).unwrap();
    }
    thread::sleep(Duration::from_secs(5));
    let tries = || {
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
    let (before, called) = (tries(), calls_made());
    thread::sleep(ms(500));
    assert!(
        tries() - before <= (calls_made() - called) * 11 / 10 + 20,
        "retries do not multiply an outage"
    );
    let _one = AgentProcess::start(BINARY, configuration, &[]).unwrap();
    let succeeded = met.succeeded.load(Ordering::Relaxed);
    assert!(
        wait_until(|| met.succeeded.load(Ordering::Relaxed) > succeeded + 500),
        "they find it again"
    );
    over.store(true, Ordering::Relaxed);
    calls.into_iter().for_each(block_on);
    assert!(
        met.late.lock().unwrap().is_empty(),
        "{:?}",
        met.late.lock().unwrap()
    );
    assert_eq!(twice(&world, "payment"), Vec::<String>::new());
}

#[test]
fn answers_all_requests_beside_an_agent_that_accepts_and_never_responds() {
    let _turn = beside();
    let world = world(ms(2));
    let agent = start(&world);
    let mute = ScriptedServer::start("").unwrap();
    let client = Client::new(client_config(vec![mute.address, agent.address().unwrap()]));
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
    assert!(slow <= 6, "it is tried gently: {slow} of 60 met it");
    assert_eq!(twice(&world, "payment"), Vec::<String>::new());
}

#[test]
fn sends_less_to_an_agent_that_is_ten_times_slower() {
    let _turn = alone();
    let (quick, slow) = (world(ms(8)), world(ms(80)));
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
    let got = |w: &TestCluster| w.received_queries().len();
    assert!(
        got(&slow) * 2 < got(&quick),
        "{} and {}",
        got(&slow),
        got(&quick)
    );
}

#[test]
fn ends_a_call_whose_deduplication_window_ends_between_two_tries() {
    let _turn = beside();
    let world = world(ms(1));
    let agent = start(&world);
    let half = CutPoint::FromAgent(welcome(agent.address().unwrap()) + 20);
    let cutter = ConnectionCutter::start(agent.address().unwrap(), vec![half]).unwrap();
    let mut s = client_config(vec![cutter.address]);
    s.classes[1].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: ms(40),
    };
    // New connections wait for longer than the window.
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
        world
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
    let _turn = beside();
    let world = world(ms(200));
    let agent = start(&world);
    let client = Client::new(client_config(vec![agent.address().unwrap()]));
    let (one, two) = (client.clone(), client.clone());
    let call = || Call::write("send", "m1", vec![7], ms(1200)).key("k1");
    let first = spawn(async move { one.call(call()).await });
    assert!(wait_until(|| world.received_queries().len() == 1));
    assert!(matches!(
        block_on(two.call(call())),
        Err(CallError::InvalidCall(_))
    ));
    assert!(block_on(first).is_ok());
    assert!(
        block_on(client.call(call())).is_ok(),
        "free again with the first one's end"
    );
}

#[test]
fn a_dropped_call_closes_its_connection_and_returns_its_permit() {
    let _turn = beside();
    let world = world(ms(1000));
    let agent = start(&world);
    let client = Client::new(client_config(vec![agent.address().unwrap()]));
    let c = client.clone();
    let call = spawn(async move {
        c.call(Call::write("send", "m1", vec![7], ms(1500)).key("k1"))
            .await
    });
    assert!(wait_until(|| world.received_queries().len() == 1));
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
        "the agent sees that it has gone: {}",
        agent.log()
    );
}

#[test]
fn runs_no_payment_twice_and_ends_each_call_once_in_a_thousand_fault_schedules() {
    let _turn = beside();
    let world = Arc::new(world(ms(0)));
    let agent = start(&world);
    let address = agent.address().unwrap();
    let opens = welcome(address);
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
                // A statement is some 130 bytes behind a startup message of 41, an answer some 80
                // behind a welcome.
                let cuts = (0..rng.gen_range(1..5)).map(|_| match rng.gen_range(0..3) {
                    0 => CutPoint::ToAgent(rng.gen_range(0..200)),
                    1 => CutPoint::FromAgent(rng.gen_range(0..opens + 100)),
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
    assert_eq!(twice(&world, "payment"), Vec::<String>::new());
    // What ran is what was not rejected: a payment that a client was rejected never reached an
    // endpoint.
    assert!(
        world
            .received_queries()
            .values()
            .flatten()
            .filter(|s| s.class == "payment")
            .count()
            > 1000
    );
}
