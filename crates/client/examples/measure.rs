//! The figures and plots of `docs/client.md`: this library against a naive client, on the real
//! agent.
//!
//!     cargo build --release && cargo run --release -p tulipwall-client --example measure [FOLDER]
//!
//! The naive client keeps one connection, tries again after a fixed 50 ms whatever happened until
//! its time is over, and opens a new connection at once. With a folder the plots are written there.

use futures_lite::future::block_on;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use plotters::prelude::*;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipwall_client::{Call, Client};
use tulipwall_testkit::runtime::{sleep, spawn};
use tulipwall_testkit::{
    classes, pg, service, AgentProcess, Endpoint, EndpointBehavior, TestCluster,
};

const CLIENTS: usize = 200;
const EXPIRY: Duration = Duration::from_millis(1500);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn world(work: Duration, cores: usize) -> TestCluster {
    let world = TestCluster::new(&["a"], classes()).expect("loopback");
    for n in 0..2 {
        let ways = EndpointBehavior {
            work,
            cores,
            ..EndpointBehavior::default()
        };
        world
            .add_endpoint(0, &format!("s-{n}"), 41, ways)
            .expect("loopback");
    }
    world
}

/// What a client library does without care.
struct Naive {
    agent: SocketAddr,
    stream: Option<async_io::Async<TcpStream>>,
    opened: Arc<AtomicU64>,
    tries: Arc<AtomicU64>,
}

impl Naive {
    async fn call(&mut self, class: &str, object: &str, id: &str) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < EXPIRY {
            let text = format!(
                "SELECT body FROM objects WHERE oid = '{object}' /* id={id},c={class},d=1500 */"
            );
            let got = futures_lite::future::or(async { self.once(&text).await.ok() }, async {
                sleep(EXPIRY.saturating_sub(begun.elapsed())).await;
                None
            });
            match got.await {
                Some(true) => return true,
                Some(false) => {}
                None => self.stream = None,
            }
            sleep(ms(50)).await;
        }
        false
    }

    async fn once(&mut self, text: &str) -> std::io::Result<bool> {
        if self.stream.is_none() {
            let mut stream = async_io::Async::<TcpStream>::connect(self.agent).await?;
            self.opened.fetch_add(1, Ordering::Relaxed);
            stream.write_all(&pg::startup()).await?;
            while pg::read(&mut stream).await?.0 != b'Z' {}
            self.stream = Some(stream);
        }
        let Some(stream) = self.stream.as_mut() else {
            return Ok(false);
        };
        self.tries.fetch_add(1, Ordering::Relaxed);
        stream.write_all(&pg::query(text)).await?;
        let mut good = true;
        loop {
            match pg::read(stream).await?.0 {
                b'Z' => return Ok(good),
                b'E' => good = false,
                _ => {}
            }
        }
    }
}

/// Clients of one kind that call again and again; what they do is counted.
struct Crowd {
    stop: Arc<AtomicBool>,
    succeeded: Arc<AtomicU64>,
    opened: Box<dyn Fn() -> u64>,
    /// Requests that went out to the agent.
    tries: Arc<dyn Fn() -> u64 + Send + Sync>,
    tasks: Vec<async_executor::Task<()>>,
}

fn crowd(careful: bool, agent: SocketAddr, count: usize, pause: Duration) -> Crowd {
    let (stop, succeeded) = (Arc::<AtomicBool>::default(), Arc::<AtomicU64>::default());
    let (mut tasks, mut clients) = (Vec::new(), Vec::new());
    let (naive_opened, naive_tries) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
    for c in 0..count {
        let (stop, succeeded) = (stop.clone(), succeeded.clone());
        let from = pause.mul_f64(c as f64 / count as f64);
        let class = |n: u64| ["view", "view", "payment"][n as usize % 3];
        if careful {
            let client = Client::new(service(vec![agent]));
            clients.push(client.clone());
            tasks.push(spawn(async move {
                sleep(from).await;
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let call = Call::read(class(n), &format!("c{c}-{n}"), EXPIRY);
                    succeeded.fetch_add(
                        u64::from(client.call(call).await.is_ok()),
                        Ordering::Relaxed,
                    );
                    sleep(pause).await;
                }
            }));
        } else {
            let (opened, tries) = (naive_opened.clone(), naive_tries.clone());
            let mut naive = Naive {
                agent,
                stream: None,
                opened,
                tries,
            };
            tasks.push(spawn(async move {
                sleep(from).await;
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let good = naive
                        .call(class(n), &format!("c{c}-{n}"), &format!("{c}-{n}"))
                        .await;
                    succeeded.fetch_add(u64::from(good), Ordering::Relaxed);
                    sleep(pause).await;
                }
            }));
        }
    }
    let ours = clients.clone();
    let tries: Arc<dyn Fn() -> u64 + Send + Sync> = if careful {
        Arc::new(move || ours.iter().map(|c| c.stats().counters.attempts).sum())
    } else {
        Arc::new(move || naive_tries.load(Ordering::Relaxed))
    };
    let opened: Box<dyn Fn() -> u64> = if careful {
        Box::new(move || {
            clients
                .iter()
                .map(|c| c.stats().counters.connections_opened)
                .sum()
        })
    } else {
        Box::new(move || naive_opened.load(Ordering::Relaxed))
    };
    Crowd {
        stop,
        succeeded,
        opened,
        tries,
        tasks,
    }
}

impl Crowd {
    fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.tasks.into_iter().for_each(block_on);
    }
}

/// The increase of a count in each span.
fn sample(count: usize, span: Duration, of: impl Fn() -> u64) -> Vec<f64> {
    let (begun, mut before) = (Instant::now(), of());
    (1..=count)
        .map(|n| {
            std::thread::sleep((begun + span * n as u32).saturating_duration_since(Instant::now()));
            let now = of();
            std::mem::replace(&mut before, now).abs_diff(now) as f64
        })
        .collect()
}

fn agent_binary() -> PathBuf {
    let here = std::env::current_exe().unwrap_or_default();
    here.ancestors()
        .nth(2)
        .unwrap_or(Path::new("."))
        .join("tulipwall-agent")
}

fn start(world: &TestCluster) -> AgentProcess {
    let program = AgentProcess::start(
        agent_binary(),
        world.configuration("n1", 0).expect("loopback"),
        &[],
    );
    program.expect("the agent, built for release")
}

fn payments_twice(world: &TestCluster) -> usize {
    let mut objects: Vec<String> = world
        .received_queries()
        .into_values()
        .flatten()
        .filter(|s| s.ran && s.class == "payment")
        .map(|s| {
            s.statement
                .split('\'')
                .nth(1)
                .unwrap_or_default()
                .to_owned()
        })
        .collect();
    objects.sort();
    objects.windows(2).filter(|w| w[0] == w[1]).count()
}

/// The agent is killed and is back 300 ms later: when its clients come back, in connections each
/// 100 ms.
fn restart(careful: bool) -> Vec<f64> {
    let world = world(ms(5), 64);
    let agent = start(&world);
    let address = agent.address().expect("an address");
    let crowd = crowd(careful, address, CLIENTS, ms(100));
    std::thread::sleep(Duration::from_secs(2));
    let configuration = agent.configuration.clone();
    drop(agent);
    std::thread::sleep(ms(300));
    let again = AgentProcess::start(agent_binary(), configuration, &[]).expect("the agent");
    let each = sample(80, ms(100), || (crowd.opened)());
    crowd.end();
    drop(again);
    let (most, all) = (
        each.iter().copied().fold(0.0, f64::max),
        each.iter().sum::<f64>(),
    );
    let first = each.iter().position(|n| *n > 0.0).unwrap_or(0);
    let last = each.iter().rposition(|n| *n > 0.0).unwrap_or(0);
    let nine = {
        let mut sum = 0.0;
        each.iter()
            .position(|n| {
                sum += n;
                sum >= all * 0.9
            })
            .unwrap_or(0)
    };
    println!(
        "| {} | {most:.0} | {:.1} | {:.1} s | {:.1} s | {} |",
        if careful { "this library" } else { "naive" },
        most / (all / (last - first + 1) as f64),
        (nine - first + 1) as f64 / 10.0,
        (last - first + 1) as f64 / 10.0,
        payments_twice(&world),
    );
    each
}

/// For five seconds each attempt takes twenty times as long: what the endpoints get, and when
/// benefit is back.
fn brownout(careful: bool) -> (Vec<f64>, Vec<f64>) {
    let world = Arc::new(world(ms(10), 4));
    let agent = start(&world);
    let crowd = crowd(careful, agent.address().expect("an address"), 80, ms(180));
    std::thread::sleep(Duration::from_secs(2));
    let w = world.clone();
    let script = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(3));
        w.endpoints_in_zone(0)
            .iter()
            .for_each(|(_, a)| a.update_behavior(|w| w.work = ms(200)));
        std::thread::sleep(Duration::from_secs(5));
        w.endpoints_in_zone(0)
            .iter()
            .for_each(|(_, a)| a.update_behavior(|w| w.work = ms(10)));
    });
    let (w, succeeded) = (world.clone(), crowd.succeeded.clone());
    let seen = std::thread::spawn(move || {
        sample(64, ms(250), || {
            w.endpoints_in_zone(0)
                .iter()
                .map(|(_, a)| a.received_count() as u64)
                .sum()
        })
    });
    let tries = crowd.tries.clone();
    let asked = std::thread::spawn(move || sample(64, ms(250), || tries()));
    let good = sample(64, ms(250), || succeeded.load(Ordering::Relaxed));
    let (seen, asked) = (
        seen.join().unwrap_or_default(),
        asked.join().unwrap_or_default(),
    );
    let _ = script.join();
    crowd.end();
    let mean = |of: &[f64]| of.iter().sum::<f64>() / of.len().max(1) as f64 * 4.0;
    let usual = mean(&good[..12]);
    let back = good[32..]
        .windows(4)
        .position(|w| mean(w) >= usual * 0.95)
        .map(|n| n as f64 / 4.0);
    println!(
        "| {} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {} | {} |",
        if careful { "this library" } else { "naive" },
        mean(&asked[..12]),
        mean(&asked[14..32]),
        mean(&seen[..12]),
        mean(&seen[14..32]),
        mean(&seen[32..40]),
        usual,
        mean(&good[14..32]),
        back.map_or("not in 8 s".into(), |s| format!("{s:.2} s")),
        payments_twice(&world),
    );
    (seen, good)
}

fn plot(folder: &Path, name: &str, title: &str, x: f64, curves: [(&str, &[f64]); 2]) {
    let path = folder.join(name);
    let area = SVGBackend::new(&path, (900, 320)).into_drawing_area();
    let most = curves.iter().flat_map(|c| c.1).copied().fold(1.0, f64::max);
    let count = curves.iter().map(|c| c.1.len()).max().unwrap_or(1);
    let draw = || -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..count as f64 * x, 0.0..most * 1.1)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .light_line_style(WHITE)
            .draw()?;
        for (n, (label, curve)) in curves.into_iter().enumerate() {
            let points: Vec<(f64, f64)> = curve
                .iter()
                .enumerate()
                .map(|(i, y)| (i as f64 * x, *y))
                .collect();
            let width = 1 + 2 * n as u32;
            chart
                .draw_series(LineSeries::new(points, BLACK.stroke_width(width)))?
                .label(label)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 20, y)], BLACK.stroke_width(width))
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .draw()?;
        area.present()
    };
    if let Err(e) = draw() {
        eprintln!("{}: {e}", path.display());
    }
}

/// What a call takes beyond the same bytes on a bare socket, against a fake that answers at once;
/// in turns.
fn overhead() {
    let of = Endpoint::start(1, EndpointBehavior::default(), 1).expect("loopback");
    let client = Client::new(service(vec![of.address(0)]));
    let mut bare = block_on(async {
        let mut stream = async_io::Async::<TcpStream>::connect(of.address(0)).await?;
        stream.get_ref().set_nodelay(true)?;
        stream.write_all(&pg::startup()).await?;
        while pg::read(&mut stream).await?.0 != b'Z' {}
        Ok::<_, std::io::Error>(stream)
    })
    .expect("loopback");
    let query = pg::query(
        "SELECT body FROM objects WHERE oid = 'o1' /* id=1234567890123456-1,c=view,d=1500 */",
    );
    let (mut with, mut without) = (Vec::new(), Vec::new());
    for n in 0..12_000 {
        let begun = Instant::now();
        let good = block_on(client.call(Call::read("view", "o1", EXPIRY))).is_ok();
        with.push(begun.elapsed());
        let begun = Instant::now();
        let heard = block_on(async {
            bare.write_all(&query).await?;
            let mut room = [0; 4096];
            bare.read(&mut room).await
        });
        without.push(begun.elapsed());
        assert!(good && heard.is_ok(), "call {n}");
    }
    let at = |of: &mut Vec<Duration>, part: f64| {
        of.sort();
        of[(of.len() as f64 * part) as usize].as_secs_f64() * 1e6
    };
    let (w50, w99, b50, b99) = (
        at(&mut with, 0.5),
        at(&mut with, 0.99),
        at(&mut without, 0.5),
        at(&mut without, 0.99),
    );
    println!("\nA call: p50 {w50:.0} us, p99 {w99:.0} us; the same bytes on a bare socket: p50 {b50:.0} us, p99 {b99:.0} us.");
}

fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or_default()
}

fn memory() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let before = resident();
    let clients: Vec<Client> = (0..10_000)
        .map(|_| Client::new(service(vec![address, address])))
        .collect();
    println!(
        "\n10,000 idle clients: {:.1} KB each.",
        (resident() - before) as f64 / clients.len() as f64
    );
}

fn main() {
    memory();
    println!("\n| clients | most new connections in 100 ms | over the mean | nine tenths within | all within | payments run twice |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let (naive, careful) = (restart(false), restart(true));
    println!("\n| clients | commands/s at the agent before | during | deliveries/s before | during | 2 s after | satisfied/s before | during | benefit back after | payments run twice |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let ((naive_seen, naive_good), (seen, good)) = (brownout(false), brownout(true));
    overhead();
    if let Some(folder) = std::env::args().nth(1).map(PathBuf::from) {
        plot(
            &folder,
            "client-restart.svg",
            "new connections each 100 ms after a restart, 200 clients",
            0.1,
            [("naive", &naive), ("this library", &careful)],
        );
        plot(
            &folder,
            "client-brownout-load.svg",
            "deliveries at appliances each 250 ms; slow from 3 to 8 s",
            0.25,
            [("naive", &naive_seen), ("this library", &seen)],
        );
        plot(
            &folder,
            "client-brownout-benefit.svg",
            "satisfied commands each 250 ms; slow from 3 to 8 s",
            0.25,
            [("naive", &naive_good), ("this library", &good)],
        );
    }
}
