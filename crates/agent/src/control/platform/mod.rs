//! The connection to the rollout platform, which carries its notifications and the agent's votes.
//! One connection is open at a time; after a change of the address, the old connection is also read
//! until it ends.

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

/// Delay before reconnecting, doubled after each connection on which nothing was received.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Upper limit of the doubled delay.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Keeps a session open until the program ends, whenever a platform is configured.
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
            // Reconnects at once. The old connection is still read, as the platform does not repeat
            // what it has reported there.
            calls.awaiting_contact.set(true);
            if let Some(session) = session {
                drain_in_background(agent, session, &calls);
            }
            continue;
        }
        let platform_responded = session.as_ref().is_some_and(|s| s.received_line);
        on_disconnect(agent, &calls, session);
        // The platform does not repeat what it reports while no connection is open. So the delay
        // is short after a session in which it sent a line, and grows otherwise.
        reconnect_delay = if platform_responded {
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

/// Resolves the vote that the end of a session leaves without a reply.
fn on_disconnect(agent: &Agent, calls: &Calls, session: Option<Session>) {
    agent.counters.platform_disconnects.increment();
    let platform_responded = session.as_ref().is_some_and(|s| s.received_line);
    if let Some(session) = session {
        session.abandon_vote(agent, calls);
    }
    if !platform_responded && agent.control.pending_vote.take().is_some() {
        // The vote was not written and will never count.
        agent.balancer.on_vote_reply(VoteReply::Refused);
    }
}

/// Reads an old connection until it ends, in a task of its own.
fn drain_in_background(agent: &Rc<Agent>, session: Session, calls: &Rc<Calls>) {
    let agent_handle = agent.clone();
    let calls = calls.clone();
    let drain = async move { session.drain(&agent_handle, &calls).await };
    agent.executors.tasks.spawn(drain).detach();
}
