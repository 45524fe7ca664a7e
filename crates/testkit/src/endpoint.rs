//! An endpoint: it listens once for each zone that calls it, so that the way from there can be
//! slow, cut and counted apart.

use crate::pg;
use crate::runtime::{self, lock_unpoisoned, sleep, TerminationSignal};
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
pub enum ResponseBehavior {
    Answer,
    /// An error, after its work.
    Fail,
    /// Turns it away at once: it never runs.
    Reject,
    /// The same, as one that leaves: 57P03, and ends the connection.
    RejectAndClose,
    /// Ends the connection in the place of an answer.
    Close,
    /// Ends the connection right behind its answer.
    AnswerAndClose,
    /// Sends a copy of its answer right behind it.
    AnswerTwice,
    /// Sends another value behind its answer, so many milliseconds later.
    AnswerAgainAfterMs(u16),
    /// Sends so many bytes of its answer and ends the connection.
    CloseAfterBytes(u16),
    /// Sends its answer byte by byte, one in so many milliseconds.
    ByteEveryMs(u16),
    /// Sends an answer that stops short of its end; the connection stays open.
    StallMidAnswer,
    /// The same, and ends the connection.
    CloseMidAnswer,
    /// Bytes that are no answer.
    Garbage,
    /// Never answers.
    NeverAnswer,
}

/// How it behaves, which may change at any time.
#[derive(Clone, Debug)]
pub struct EndpointBehavior {
    /// What one query takes.
    pub work: Duration,
    /// Of single classes, where it is other.
    pub work_by_class: BTreeMap<String, Duration>,
    /// The part of it that is always the same, 0 to 1; the rest is exponential. Real work differs
    /// from request to request, and decisions that compare quick answers with the median take equal
    /// ones for a standstill.
    pub fixed_work_share: f64,
    /// Queries that run at once; the others wait.
    pub cores: usize,
    pub response: ResponseBehavior,
    /// Acts in the place of `act`, each with its probability.
    pub random_responses: Vec<(ResponseBehavior, f64)>,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Takes connections and says nothing on them.
    pub unresponsive: bool,
}

impl Default for EndpointBehavior {
    fn default() -> EndpointBehavior {
        EndpointBehavior {
            work: Duration::ZERO,
            work_by_class: BTreeMap::new(),
            fixed_work_share: 1.0,
            cores: 64,
            response: ResponseBehavior::Answer,
            random_responses: Vec::new(),
            value_bytes: 2,
            unresponsive: false,
        }
    }
}

/// The way from one zone to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    pub request_delay: Duration,
    pub reply_delay: Duration,
    /// Nothing passes; connections stay open.
    pub cut: bool,
}

/// One query that came whole.
#[derive(Clone, Debug)]
pub struct ReceivedQuery {
    pub at: Instant,
    pub from_zone: usize,
    pub class: String,
    pub id: String,
    /// The key by which repeats are told, where there is one.
    pub key: Option<String>,
    pub statement: String,
    /// It was run, whatever became of its answer.
    pub ran: bool,
    /// How long after its answer was begun another one behind it was written, once it was.
    pub duplicate_delay: Option<Duration>,
}

/// What passed on one way and class, counted at this end of the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TransferCounts {
    pub attempts: u64,
    pub read: u64,
    pub written: u64,
}

#[derive(Default)]
struct State {
    ways: EndpointBehavior,
    links: Vec<Link>,
    seen: Vec<ReceivedQuery>,
    counted: BTreeMap<(usize, String), TransferCounts>,
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
    ends: Arc<TerminationSignal>,
    listening: Mutex<Vec<Task<()>>>,
}

impl Endpoint {
    /// Listens for callers of `zones` zones.
    pub fn start(zones: usize, ways: EndpointBehavior, seed: u64) -> io::Result<Endpoint> {
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
            let (address, task) = runtime::listen_at(*at, &self.ends, serve)?;
            addresses.push(address);
            lock_unpoisoned(&self.listening).push(task);
        }
        Ok(addresses)
    }

    /// Where a zone reaches it.
    pub fn address(&self, from: usize) -> SocketAddr {
        self.addresses[from]
    }

    pub fn update_behavior(&self, change: impl FnOnce(&mut EndpointBehavior)) {
        change(&mut lock_unpoisoned(&self.shared.state).ways);
    }

    pub fn set_link(&self, from: usize, link: Link) {
        lock_unpoisoned(&self.shared.state).links[from] = link;
    }

    /// Dies: its connections are reset, new ones refused.
    pub fn crash(&self) {
        lock_unpoisoned(&self.listening).clear();
        self.ends.end();
    }

    /// Is back at its addresses.
    pub fn restart(&self) -> io::Result<()> {
        self.listen(&self.addresses).map(drop)
    }

    pub fn received_queries(&self) -> Vec<ReceivedQuery> {
        lock_unpoisoned(&self.shared.state).seen.clone()
    }

    /// How many queries came whole.
    pub fn received_count(&self) -> usize {
        lock_unpoisoned(&self.shared.state).seen.len()
    }

    /// By zone of the caller and class, [`CONNECTIONS`] for what belongs to no query.
    pub fn transfer_counts(&self) -> BTreeMap<(usize, String), TransferCounts> {
        lock_unpoisoned(&self.shared.state).counted.clone()
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.crash();
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        lock_unpoisoned(&self.state)
    }

    fn count(&self, from: usize, class: &str, add: impl FnOnce(&mut TransferCounts)) {
        add(self
            .state()
            .counted
            .entry((from, class.to_owned()))
            .or_default());
    }

    fn link(&self, from: usize) -> Link {
        self.state().links[from]
    }

    fn act(&self) -> ResponseBehavior {
        let ways = self.state().ways.clone();
        let mut drawn = lock_unpoisoned(&self.rng).gen_range(0.0..1.0);
        for (act, probability) in &ways.random_responses {
            drawn -= probability;
            if drawn < 0.0 {
                return *act;
            }
        }
        ways.response
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
    if shared.state().ways.unresponsive {
        futures_lite::future::pending::<()>().await;
    }
    let link = shared.link(from);
    cut(shared, from).await;
    sleep(link.request_delay + link.reply_delay).await;
    let welcome = pg::startup_reply();
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
            pg::comment_fields(&text)
                .find(|(n, _)| *n == name)
                .map(|(_, value)| value.to_owned())
        };
        let class = named("c").unwrap_or_default();
        let act = shared.act();
        let seen = ReceivedQuery {
            at,
            from_zone: from,
            class: class.clone(),
            id: named("id").unwrap_or_default(),
            key: named("k"),
            statement: text,
            ran: !matches!(
                act,
                ResponseBehavior::Reject | ResponseBehavior::RejectAndClose
            ),
            duplicate_delay: None,
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
                sleep(shared.link(from).request_delay).await;
                let answer = answer(shared, &class, act).await;
                cut(shared, from).await;
                sleep(shared.link(from).reply_delay).await;
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
        if let ResponseBehavior::ByteEveryMs(gap) = act {
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
            ResponseBehavior::AnswerAndClose
                | ResponseBehavior::CloseMidAnswer
                | ResponseBehavior::RejectAndClose
                | ResponseBehavior::CloseAfterBytes(_)
        ) {
            return Ok(());
        }
        if let ResponseBehavior::AnswerAgainAfterMs(gap) = act {
            sleep(Duration::from_millis(gap.into())).await;
            let written = stream.write_all(&pg::value_reply(&[0xee])).await;
            shared.state().seen[nth].duplicate_delay = Some(begun.elapsed());
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
async fn answer(shared: &Shared, class: &str, act: ResponseBehavior) -> Option<Vec<u8>> {
    if act == ResponseBehavior::Reject {
        return Some(pg::error_reply("53300", "full"));
    }
    if act == ResponseBehavior::RejectAndClose {
        return Some(pg::error_reply("57P03", "leaving"));
    }
    let (work, steady, value) = {
        let state = shared.state();
        let work = state
            .ways
            .work_by_class
            .get(class)
            .copied()
            .unwrap_or(state.ways.work);
        let mut value = vec![0x9f; state.ways.value_bytes];
        value.last_mut().into_iter().for_each(|b| *b = 3);
        (work, state.ways.fixed_work_share, value)
    };
    let drawn = lock_unpoisoned(&shared.rng).gen_range(0.0..1.0f64);
    let work = work.mul_f64((steady - (1.0 - steady) * (1.0 - drawn).ln()).max(0.0));
    let core = shared.cores.acquire().await;
    sleep(work).await;
    drop(core);
    let mut bytes = pg::value_reply(&value);
    match act {
        ResponseBehavior::Fail => bytes = pg::error_reply("XX000", "failed"),
        ResponseBehavior::Close => return None,
        ResponseBehavior::AnswerTwice => bytes.extend(bytes.clone()),
        ResponseBehavior::StallMidAnswer | ResponseBehavior::CloseMidAnswer => bytes.truncate(20),
        ResponseBehavior::CloseAfterBytes(most) => bytes.truncate(most.into()),
        ResponseBehavior::Garbage => bytes = b"\0\xff\xff no answer at all".to_vec(),
        ResponseBehavior::NeverAnswer => futures_lite::future::pending().await,
        ResponseBehavior::Answer
        | ResponseBehavior::Reject
        | ResponseBehavior::RejectAndClose
        | ResponseBehavior::AnswerAndClose => {}
        ResponseBehavior::AnswerAgainAfterMs(_) | ResponseBehavior::ByteEveryMs(_) => {}
    }
    Some(bytes)
}
