//! An endpoint: it listens once for each zone that calls it, so that the way from there can be
//! slow, cut and counted apart.

use crate::ground::{self, locked, sleep, Ends};
use crate::pg;
use async_executor::Task;
use async_io::Async;
use async_lock::Semaphore;
use futures_lite::future::FutureExt;
use futures_lite::AsyncWriteExt;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What is kept of single attempts, at most.
const SEEN_MOST: usize = 1_000_000;

/// What it does with a query that has come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    Answers,
    /// An error, after its work.
    Fails,
    /// Turns it away at once: it never runs.
    TurnsAway,
    /// The same, as one that leaves: 57P03, and ends the connection.
    Leaves,
    /// Ends the connection in the place of an answer.
    Resets,
    /// Ends the connection right behind its answer.
    EndsAfter,
    /// Sends a copy of its answer right behind it.
    Twice,
    /// Sends another value behind its answer, so many milliseconds later.
    TwiceAfter(u16),
    /// Sends so many bytes of its answer and ends the connection.
    Cut(u16),
    /// Sends its answer byte by byte, one in so many milliseconds.
    Trickles(u16),
    /// Sends an answer that stops short of its end; the connection stays open.
    Half,
    /// The same, and ends the connection.
    HalfEnds,
    /// Bytes that are no answer.
    Garbage,
    /// Never answers.
    Silent,
}

/// How it behaves, which may change at any time.
#[derive(Clone, Debug)]
pub struct Ways {
    /// What one query takes.
    pub work: Duration,
    /// Of single classes, where it is other.
    pub classes: BTreeMap<String, Duration>,
    /// The part of it that is always the same, 0 to 1; the rest is exponential. Real work differs
    /// from request to request, and decisions that compare quick answers with the median take equal
    /// ones for a standstill.
    pub steady: f64,
    /// Queries that run at once; the others wait.
    pub cores: usize,
    pub act: Act,
    /// Acts in the place of `act`, each with its probability.
    pub now_and_then: Vec<(Act, f64)>,
    /// Bytes of a value.
    pub value: usize,
    /// Takes connections and says nothing on them.
    pub mute: bool,
}

impl Default for Ways {
    fn default() -> Ways {
        Ways {
            work: Duration::ZERO,
            classes: BTreeMap::new(),
            steady: 1.0,
            cores: 64,
            act: Act::Answers,
            now_and_then: Vec::new(),
            value: 2,
            mute: false,
        }
    }
}

/// The way from one zone to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    pub there: Duration,
    pub back: Duration,
    /// Nothing passes; connections stay open.
    pub cut: bool,
}

/// One query that came whole.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub from: usize,
    pub class: String,
    pub id: String,
    /// The key by which repeats are told, where there is one.
    pub key: Option<String>,
    pub statement: String,
    /// It was run, whatever became of its answer.
    pub ran: bool,
    /// How long after its answer was begun another one behind it was written, once it was.
    pub behind: Option<Duration>,
}

/// What passed on one way and class, counted at this end of the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counted {
    pub attempts: u64,
    pub read: u64,
    pub written: u64,
}

#[derive(Default)]
struct State {
    ways: Ways,
    links: Vec<Link>,
    seen: Vec<Seen>,
    counted: BTreeMap<(usize, String), Counted>,
}

/// The name under which bytes are counted that belong to no query.
pub const CONNECTIONS: &str = "(connections)";

struct Shared {
    state: Mutex<State>,
    cores: Semaphore,
    rng: Mutex<Pcg64Mcg>,
}

pub struct Endpoint {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    ends: Arc<Ends>,
    listening: Mutex<Vec<Task<()>>>,
}

impl Endpoint {
    /// Listens for callers of `zones` zones.
    pub fn start(zones: usize, ways: Ways, seed: u64) -> io::Result<Endpoint> {
        let shared = Arc::new(Shared {
            cores: Semaphore::new(ways.cores.max(1)),
            state: Mutex::new(State {
                ways,
                links: vec![Link::default(); zones],
                ..State::default()
            }),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        });
        let mut endpoint = Endpoint {
            shared,
            addresses: Vec::new(),
            ends: Arc::default(),
            listening: Mutex::default(),
        };
        let unbound = vec![SocketAddr::from(([127, 0, 0, 1], 0)); zones];
        endpoint.addresses = endpoint.listen(&unbound)?;
        Ok(endpoint)
    }

    fn listen(&self, at: &[SocketAddr]) -> io::Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for (from, at) in at.iter().enumerate() {
            let shared = self.shared.clone();
            let serve = move |stream| serve(shared.clone(), from, stream);
            let (address, task) = ground::listen_at(*at, &self.ends, serve)?;
            addresses.push(address);
            locked(&self.listening).push(task);
        }
        Ok(addresses)
    }

    /// Where a zone reaches it.
    pub fn address(&self, from: usize) -> SocketAddr {
        self.addresses[from]
    }

    pub fn ways(&self, change: impl FnOnce(&mut Ways)) {
        change(&mut locked(&self.shared.state).ways);
    }

    pub fn link(&self, from: usize, link: Link) {
        locked(&self.shared.state).links[from] = link;
    }

    /// Dies: its connections are reset, new ones refused.
    pub fn crash(&self) {
        locked(&self.listening).clear();
        self.ends.end();
    }

    /// Is back at its addresses.
    pub fn restart(&self) -> io::Result<()> {
        self.listen(&self.addresses).map(drop)
    }

    pub fn seen(&self) -> Vec<Seen> {
        locked(&self.shared.state).seen.clone()
    }

    /// How many queries came whole.
    pub fn seen_count(&self) -> usize {
        locked(&self.shared.state).seen.len()
    }

    /// By zone of the caller and class, [`CONNECTIONS`] for what belongs to no query.
    pub fn counted(&self) -> BTreeMap<(usize, String), Counted> {
        locked(&self.shared.state).counted.clone()
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.crash();
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        locked(&self.state)
    }

    fn count(&self, from: usize, class: &str, add: impl FnOnce(&mut Counted)) {
        add(self
            .state()
            .counted
            .entry((from, class.to_owned()))
            .or_default());
    }

    fn link(&self, from: usize) -> Link {
        self.state().links[from]
    }

    fn act(&self) -> Act {
        let ways = self.state().ways.clone();
        let mut drawn = locked(&self.rng).gen_range(0.0..1.0);
        for (act, probability) in &ways.now_and_then {
            drawn -= probability;
            if drawn < 0.0 {
                return *act;
            }
        }
        ways.act
    }
}

/// Runs until the caller or this side ends it.
async fn serve(shared: Arc<Shared>, from: usize, mut stream: Async<TcpStream>) {
    // However it ends, the caller notices.
    let _ = talk(&shared, from, &mut stream).await;
}

async fn talk(shared: &Shared, from: usize, stream: &mut Async<TcpStream>) -> io::Result<()> {
    let took = pg::read_startup(stream).await?;
    shared.count(from, CONNECTIONS, |c| c.read += took as u64);
    if shared.state().ways.mute {
        futures_lite::future::pending::<()>().await;
    }
    let link = shared.link(from);
    cut(shared, from).await;
    sleep(link.there + link.back).await;
    let welcome = pg::welcome();
    stream.write_all(&welcome).await?;
    shared.count(from, CONNECTIONS, |c| c.written += welcome.len() as u64);
    loop {
        let (tag, body) = pg::read(stream).await?;
        if tag != b'Q' {
            return Ok(());
        }
        let at = Instant::now();
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
        let named = |name| {
            pg::comment(&text)
                .find(|(n, _)| *n == name)
                .map(|(_, value)| value.to_owned())
        };
        let class = named("c").unwrap_or_default();
        let act = shared.act();
        let seen = Seen {
            at,
            from,
            class: class.clone(),
            id: named("id").unwrap_or_default(),
            key: named("k"),
            statement: text,
            ran: !matches!(act, Act::TurnsAway | Act::Leaves),
            behind: None,
        };
        let nth = {
            let mut state = shared.state();
            if state.seen.len() < SEEN_MOST {
                state.seen.push(seen);
            }
            state.seen.len() - 1
        };
        shared.count(from, &class, |c| {
            c.attempts += 1;
            c.read += body.len() as u64 + 5;
        });
        let answer = {
            let gone = gone(stream);
            let work = async {
                cut(shared, from).await;
                sleep(shared.link(from).there).await;
                let answer = answer(shared, &class, act).await;
                cut(shared, from).await;
                sleep(shared.link(from).back).await;
                Some(answer)
            };
            // A caller that has gone is not answered: nothing is written that nobody reads.
            let gone = async {
                gone.await;
                None
            };
            work.or(gone).await
        };
        let Some(Some(answer)) = answer else {
            return Ok(());
        };
        let begun = Instant::now();
        if let Act::Trickles(gap) = act {
            for byte in &answer {
                stream.write_all(&[*byte]).await?;
                sleep(Duration::from_millis(gap.into())).await;
            }
        } else {
            stream.write_all(&answer).await?;
        }
        shared.count(from, &class, |c| c.written += answer.len() as u64);
        if matches!(
            act,
            Act::EndsAfter | Act::HalfEnds | Act::Leaves | Act::Cut(_)
        ) {
            return Ok(());
        }
        if let Act::TwiceAfter(gap) = act {
            sleep(Duration::from_millis(gap.into())).await;
            let written = stream.write_all(&pg::value(&[0xee])).await;
            shared.state().seen[nth].behind = Some(begun.elapsed());
            written?;
        }
    }
}

/// Waits while the way is cut.
async fn cut(shared: &Shared, from: usize) {
    while shared.link(from).cut {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Ready once the caller has closed its end.
async fn gone(stream: &Async<TcpStream>) {
    loop {
        let mut room = [0; 1];
        match stream.peek(&mut room).await {
            // It has written ahead: nothing more can be told before that is read.
            Ok(n) if n > 0 => futures_lite::future::pending().await,
            _ => return,
        }
    }
}

/// The bytes of its answer; nothing where the connection ends in its place.
async fn answer(shared: &Shared, class: &str, act: Act) -> Option<Vec<u8>> {
    if act == Act::TurnsAway {
        return Some(pg::error("53300", "full"));
    }
    if act == Act::Leaves {
        return Some(pg::error("57P03", "leaving"));
    }
    let (work, steady, value) = {
        let state = shared.state();
        let work = state
            .ways
            .classes
            .get(class)
            .copied()
            .unwrap_or(state.ways.work);
        let mut value = vec![0x9f; state.ways.value];
        value.last_mut().into_iter().for_each(|b| *b = 3);
        (work, state.ways.steady, value)
    };
    let drawn = locked(&shared.rng).gen_range(0.0..1.0f64);
    let work = work.mul_f64((steady - (1.0 - steady) * (1.0 - drawn).ln()).max(0.0));
    let core = shared.cores.acquire().await;
    sleep(work).await;
    drop(core);
    let mut bytes = pg::value(&value);
    match act {
        Act::Fails => bytes = pg::error("XX000", "failed"),
        Act::Resets => return None,
        Act::Twice => bytes.extend(bytes.clone()),
        Act::Half | Act::HalfEnds => bytes.truncate(20),
        Act::Cut(most) => bytes.truncate(most.into()),
        Act::Garbage => bytes = b"\0\xff\xff no answer at all".to_vec(),
        Act::Silent => futures_lite::future::pending().await,
        Act::Answers | Act::TurnsAway | Act::Leaves | Act::EndsAfter => {}
        Act::TwiceAfter(_) | Act::Trickles(_) => {}
    }
    Some(bytes)
}
