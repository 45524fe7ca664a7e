//! The rollout platform: its notifications, and the agent's votes. There is one connection at a
//! time, but for an old one that is read to its end once the address has changed.

mod calls;
mod messages;
mod session;

use crate::agent::Agent;
use calls::Calls;
use futures_lite::FutureExt;
use session::{run_session, Session, SessionEnd};
use std::rc::Rc;
use std::time::Duration;
use tulipwall::VoteReply;

/// How long until a connection is opened again; doubled while nothing is received there.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Keeps a session open for as long as the program runs and there is a platform.
pub async fn run(agent: &Rc<Agent>) {
    let calls = Rc::new(Calls::default());
    let address = &agent.control.platform;
    let mut reconnect_delay = MIN_RECONNECT_DELAY;
    loop {
        let seen_changes = address.changes();
        let Some(platform) = address.get() else {
            address.changed_since(seen_changes).await;
            calls.awaiting_contact.set(true);
            continue;
        };
        let mut session = None;
        let address_changed = async {
            address.changed_since(seen_changes).await;
            SessionEnd::AddressChanged
        };
        let end = address_changed
            .or(run_session(agent, platform, &calls, &mut session))
            .await;
        log::debug!("platform: {end}");
        if address.changes() != seen_changes {
            // At once, and the old connection is read meanwhile: what it reports is not repeated.
            calls.awaiting_contact.set(true);
            if let Some(session) = session {
                drain_in_background(agent, session, &calls);
            }
            continue;
        }
        let spoke = session.as_ref().is_some_and(|s| s.received_line);
        on_disconnect(agent, &calls, session);
        // What is reported while no connection is open is not repeated: the next one is opened at
        // once where the platform spoke, later and later where it did not.
        reconnect_delay = if spoke {
            MIN_RECONNECT_DELAY
        } else {
            (reconnect_delay * 2).min(MAX_RECONNECT_DELAY)
        };
        address
            .changed_since(seen_changes)
            .or(agent.sleep_until(agent.clock.now() + reconnect_delay))
            .await;
        if address.changes() != seen_changes {
            calls.awaiting_contact.set(true);
        }
    }
}

/// The votes that the end of a session leaves without a reply.
fn on_disconnect(agent: &Agent, calls: &Calls, session: Option<Session>) {
    agent.counters.platform_disconnects.increment();
    let spoke = session.as_ref().is_some_and(|s| s.received_line);
    if let Some(session) = session {
        session.abandon_vote(agent, calls);
    }
    if !spoke && agent.control.pending_vote.take().is_some() {
        // It was not written and never will count.
        agent.balancer.on_vote_reply(VoteReply::Refused);
    }
}

fn drain_in_background(agent: &Rc<Agent>, session: Session, calls: &Rc<Calls>) {
    let agent_handle = agent.clone();
    let calls = calls.clone();
    let drain = async move { session.drain(&agent_handle, &calls).await };
    agent.executors.tasks.spawn(drain).detach();
}
