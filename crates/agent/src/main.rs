//! The real agent: the decisions of `tulipwall` on sockets. One thread, one `Choice`.

use futures_lite::future::{self, FutureExt};
use std::io;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tulipwall_agent::agent::Agent;
use tulipwall_agent::lifecycle::life::Phase;
use tulipwall_agent::lifecycle::signals::{self, Signals};
use tulipwall_agent::lifecycle::start::Start;
use tulipwall_agent::memory::pools::Slot;
use tulipwall_agent::reactor::{Source, Timer};
use tulipwall_agent::wire::connection::Connection;
use tulipwall_agent::{client, delivery, discovery, platform, reactor};

/// Many small values come and go with each command.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// How soon to look again for a free descriptor.
const ROOM_AGAIN: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let read = Signals::new().map_err(|e| format!("signals: {e}"));
    let (signals, start) = match read.and_then(|signals| Ok((signals, Start::read()?))) {
        Ok(both) => both,
        Err(fault) => {
            log::error!("{fault}");
            return ExitCode::FAILURE;
        }
    };
    log::info!("{}: listening on {}", start.name, start.listen);
    let agent = Agent::start(start);
    let run = async {
        let listener = TcpListener::bind(agent.listen)
            .map_err(|e| io::Error::new(e.kind(), format!("field listen: {}: {e}", agent.listen)))?;
        listener.set_nonblocking(true)?;
        let listener = Rc::new(Source::new(listener)?);
        let a = agent.clone();
        agent.tasks.spawn(async move { discovery::run(&a).await }).detach();
        let a = agent.clone();
        agent.tasks.spawn(async move { platform::run(&a).await }).detach();
        let a = agent.clone();
        agent.tasks.spawn(async move { watch(&a).await }).detach();
        let a = agent.clone();
        agent.tasks.spawn(async move { signals::obey(&a, signals).await }).detach();
        let a = agent.clone();
        let ready = async move {
            delivery::warm(&a).await;
            a.life.reach(Phase::Serving);
        };
        agent.tasks.spawn(ready).detach();
        let (a, l) = (agent.clone(), listener.clone());
        let accepting = agent.tasks.spawn(async move { accept(&a, &l).await });
        agent.life.reached(Phase::Closing).await;
        accepting.cancel().await.transpose()?;
        drain(&agent, &listener);
        drop(listener);
        agent.life.reached(Phase::Stopped).await;
        Ok::<(), io::Error>(())
    };
    let outcome = reactor::run(&agent.tasks, run).and_then(|outcome| outcome);
    log::info!("{}; {}", agent.counters, agent.kept());
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log::error!("{fault}");
            ExitCode::FAILURE
        }
    }
}

/// Takes clients in. Without a free descriptor the client that was idle for longest is asked to go, and who
/// comes before there is room is denied at once. Guards against commands that are lost in the queue of
/// connections, which count as taken; a short rush beyond the limit is denied, too.
async fn accept(agent: &Rc<Agent>, listener: &Source<TcpListener>) -> io::Result<()> {
    loop {
        let mut slot = agent.sockets.client();
        let beyond = if slot.is_none() { agent.sockets.beyond() } else { None };
        if agent.sockets.clients_crowd() {
            agent.life.make_room(agent.clock.now());
        }
        if slot.is_none() && beyond.is_none() {
            agent.sockets.client_gone().or(Timer::after(ROOM_AGAIN)).await;
            continue;
        }
        match listener.read(|| Connection::accept(listener.get())).await {
            Ok(client) => {
                slot = slot.or_else(|| agent.sockets.client());
                match (slot, beyond) {
                    (Some(slot), _) => welcome(agent, client, slot),
                    (None, Some(slot)) => {
                        agent.counters.clients_denied.add();
                        agent.tasks.spawn(client::deny(agent.clone(), client, slot)).detach();
                    }
                    (None, None) => {}
                }
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => {
                log::warn!("accept: {e}");
                agent.make_room();
                Timer::after(ROOM_AGAIN).await;
            }
        }
        // One at a time: those that are in have their turn first.
        future::yield_now().await;
    }
}

fn welcome(agent: &Rc<Agent>, client: Connection, slot: Slot) {
    agent.counters.clients.add();
    agent.tasks.spawn(client::serve(agent.clone(), client, slot)).detach();
}

/// Takes in those that had connected before the listener closes: their commands count as taken.
fn drain(agent: &Rc<Agent>, listener: &Source<TcpListener>) {
    while let Some(slot) = agent.sockets.client() {
        let Ok(client) = Connection::accept(listener.get()) else { break };
        welcome(agent, client, slot);
    }
}

/// Asks the module what is due, when it says so.
async fn watch(agent: &Agent) {
    let mut swept = Duration::ZERO;
    loop {
        // What came in while this agent stood still is told first, in its order.
        future::yield_now().await;
        let due = agent.hand.wait();
        if due.watch {
            agent.watch_due.set(true);
            agent.watch.notify(1);
        }
        let now = agent.clock.now();
        if let Some(vote) = due.vote {
            *agent.vote.borrow_mut() = Some((vote, now));
            agent.voted.notify(1);
        }
        due.notes.iter().for_each(|note| log::info!("{note}"));
        if now >= swept + Duration::from_secs(1) {
            agent.sweep();
            swept = now;
        }
        agent.until(due.until).await;
    }
}
