//! The agent as a program: its tasks, from the listener to the last answer.

use crate::admin;
use crate::agent::Agent;
use crate::control::{discovery, platform};
use crate::lifecycle::phase::Phase;
use crate::lifecycle::signals::{self, Signals};
use crate::lifecycle::start::{ConfigPaths, StartupConfig, StartupError};
use crate::observability::logging;
use crate::observability::logging::EVIDENCE;
use crate::protocol::buffer::MAX_RETAINED_CAPACITY;
use crate::protocol::connection::Connection;
use crate::runtime::reactor::{self, Source, Timer};
use crate::server::connection as client;
use crate::server::overflow;
use crate::upstream::limits::ConnectionPermit;
use crate::upstream::warm_up::warm_up;
use futures_lite::future::{self, FutureExt};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tulipwall_config::LogForm;
use tulipwall_discovery::watchdog::Watchdog;

/// Connections that may wait to be taken in, where there are fewer places: what the standard
/// library asks for.
const QUEUE_LEAST: usize = 128;
const WATCH_EVERY: Duration = Duration::from_secs(60);
/// How soon to look again for a free descriptor.
const ROOM_AGAIN: Duration = Duration::from_millis(20);

/// A start counts as done after so long, half of what nine in ten of them may take, whatever is
/// still awaited: a list, or connections to endpoints that hang or come up late. What cannot be
/// served yet is rejected then.
const READY_WITHIN: Duration = Duration::from_secs(5);

/// Runs one agent until it is told to leave; whether it ended as it should. `form` is that of its
/// log, where the installation's own does not count.
pub fn run(files: ConfigPaths, form: Option<LogForm>) -> bool {
    let read = Signals::new().map_err(|e| vec![StartupError::Signals(e)]);
    let read = read.and_then(|signals| Ok((signals, StartupConfig::read(&files)?)));
    let told = read.as_ref().ok().and_then(|(_, start)| start.log_format);
    logging::begin(form.or(told).unwrap_or(LogForm::Text));
    let (signals, start) = match read {
        Ok(both) => both,
        Err(faults) => {
            faults.iter().for_each(|fault| log::error!("{fault}"));
            return false;
        }
    };
    log::info!(agent = start.name.as_str(), address:% = start.listen;
        "{}: listening on {}", start.name, start.listen);
    let opening = start.admin_address.clone();
    let agent = Agent::start(start);
    let run = async {
        let listener = TcpListener::bind(agent.start_addresses.listen).map_err(|e| {
            io::Error::new(
                e.kind(),
                format!("field listen: {}: {e}", agent.start_addresses.listen),
            )
        })?;
        listener.set_nonblocking(true)?;
        // Guards a rush while this agent does not get to run: whoever finds the queue full has its
        // first packet dropped, which it sends again a second later. Harms where it stands still
        // for long: more requests are late then. All that wait are taken in at once, and each may
        // hold a small buffer before it is held back: a quarter of that memory at most.
        let bears = agent.limits.max_buffered_bytes() / 4 / MAX_RETAINED_CAPACITY;
        let queue = agent
            .limits
            .connections
            .max_clients()
            .min(bears)
            .max(QUEUE_LEAST);
        rustix::net::listen(&listener, i32::try_from(queue).unwrap_or(i32::MAX))?;
        let listener = Rc::new(Source::new(listener)?);
        let opened = opening.as_ref().map(admin::open).transpose();
        let opened = opened.map_err(|e| io::Error::new(e.kind(), format!("door: {e}")))?;
        let door = opened.map(|listening| {
            let a = agent.clone();
            agent
                .executors
                .tasks
                .spawn(async move { admin::run(&a, listening).await })
        });
        let a = agent.clone();
        agent
            .executors
            .urgent
            .spawn(async move { discovery::run(&a).await })
            .detach();
        let a = agent.clone();
        agent
            .executors
            .tasks
            .spawn(async move { platform::run(&a).await })
            .detach();
        let a = agent.clone();
        agent
            .executors
            .tasks
            .spawn(async move { watch(&a).await })
            .detach();
        let a = agent.clone();
        agent
            .executors
            .tasks
            .spawn(async move { signals::obey(&a, signals, &files).await })
            .detach();
        let a = agent.clone();
        let ready = async move {
            let warm = async {
                // Where calls are paid for, requests and connections do not wait here: nothing is
                // vouched for yet, so that the module sends nothing and denies at half of a
                // request's time.
                if let Some(within) = Watchdog::new(&a.service_config().settings).start_within() {
                    a.sleep_until(a.clock.now() + within)
                        .or(a.endpoints.serving_allowed())
                        .await;
                }
                a.endpoints.allow_serving();
                warm_up(&a).await;
            };
            warm.or(a.sleep_until(a.clock.now() + READY_WITHIN)).await;
            a.lifecycle.advance_to(Phase::Serving);
        };
        agent.executors.tasks.spawn(ready).detach();
        let (a, l) = (agent.clone(), listener.clone());
        let accepting = agent
            .executors
            .tasks
            .spawn(async move { accept(&a, &l).await });
        // It ends once the program closes and nobody waits to be taken in any more.
        let stopped = async {
            agent.lifecycle.wait_for(Phase::Stopped).await;
            Ok(())
        };
        accepting.or(stopped).await?;
        drop(listener);
        agent.lifecycle.mark_listener_closed();
        agent.lifecycle.wait_for(Phase::Stopped).await;
        if let Some(door) = door {
            // Its socket's file goes with it.
            door.cancel().await;
        }
        Ok::<(), io::Error>(())
    };
    let outcome = reactor::run(&agent.executors.tasks, &agent.executors.urgent, run)
        .and_then(|outcome| outcome);
    log::info!("{}; {}", agent.counters, agent.retained_summary());
    outcome.inspect_err(|fault| log::error!("{fault}")).is_ok()
}

/// Takes clients in. Without a free descriptor the client that was idle for longest is asked to go,
/// and who comes before there is room is rejected at once. Guards against requests that are lost in
/// the queue of connections, which count as taken; a short rush beyond the limit is rejected, too.
/// Ends when the program closes and all that had connected before are in.
async fn accept(agent: &Rc<Agent>, listener: &Source<TcpListener>) -> io::Result<()> {
    loop {
        let mut slot = agent.limits.connections.client_permit();
        let overflow = if slot.is_none() {
            agent.limits.connections.overflow_permit()
        } else {
            None
        };
        if agent.limits.connections.is_nearly_full() {
            agent.lifecycle.evict_idle_client(agent.clock.now());
        }
        if slot.is_none() && overflow.is_none() {
            agent
                .limits
                .connections
                .client_permit_freed()
                .or(Timer::after(ROOM_AGAIN))
                .await;
            continue;
        }
        let closing = async {
            agent.lifecycle.wait_for(Phase::Terminating).await;
            None
        };
        let next = async { Some(listener.read(|| Connection::accept(listener.get())).await) };
        let accepted = match agent.lifecycle.is_terminating() {
            // Asked of the listener itself: the event of who connected just now may be still to
            // come.
            true => Connection::accept(listener.get()),
            false => match next.or(closing).await {
                Some(accepted) => accepted,
                None => continue,
            },
        };
        match accepted {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Ok(client) => {
                slot = slot.or_else(|| agent.limits.connections.client_permit());
                match (slot, overflow) {
                    (Some(slot), _) => welcome(agent, client, slot),
                    (None, Some(slot)) => {
                        agent.counters.clients_rejected.increment();
                        agent
                            .executors
                            .tasks
                            .spawn(overflow::reject_client(agent.clone(), client, slot))
                            .detach();
                    }
                    (None, None) => {}
                }
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => {
                log::warn!("accept: {e}");
                agent.pool.evict_idle();
                Timer::after(ROOM_AGAIN).await;
            }
        }
        // One at a time: those that are in have their turn first.
        future::yield_now().await;
    }
}

fn welcome(agent: &Rc<Agent>, client: Connection, slot: ConnectionPermit) {
    agent.counters.clients_accepted.increment();
    agent
        .executors
        .tasks
        .spawn(client::serve(agent.clone(), client, slot))
        .detach();
}

/// Asks the module what is due, when it says so.
async fn watch(agent: &Agent) {
    let (mut swept, mut said) = (Duration::ZERO, agent.clock.now());
    loop {
        // What came in while this agent stood still is told first, in its order.
        future::yield_now().await;
        let due = agent.balancer.poll();
        if due.open_watch {
            agent.control.watch_request.raise();
        }
        let now = agent.clock.now();
        if let Some(vote) = due.vote {
            agent.control.pending_vote.cast(vote, now);
        }
        agent.update_zone_traffic();
        due.log_lines.iter().for_each(|note| log::info!("{note}"));
        for note in &due.log_lines {
            log::debug!(target: EVIDENCE, "{} note {note}", agent.clock.wall(now));
        }
        if now >= swept + Duration::from_secs(1) {
            agent.pool.close_stale();
            agent.drop_retired_classes();
            swept = now;
        }
        if now >= said + WATCH_EVERY {
            if let Some(otherwise) = agent.balancer.divergences() {
                log::info!("watched settings would have decided otherwise: {otherwise}");
            }
            said = now;
        }
        agent.sleep_until(due.next_poll).await;
    }
}
