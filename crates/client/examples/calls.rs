//! Example of a server that reads and writes through the agents. It starts a fake agent itself.
//!
//!     cargo run -p tulipwall-client --example calls

use std::time::Duration;
use tulipwall_client::{
    blocking, Call, CallError, ClientConfig, DeduplicationScope, Idempotency, RequestClass,
};
use tulipwall_testkit::{Endpoint, EndpointBehavior, ResponseBehavior};

const TIMEOUT: Duration = Duration::from_millis(800);

fn main() -> std::io::Result<()> {
    let agent = Endpoint::start(1, EndpointBehavior::default(), 1)?;
    let config = ClientConfig::new(vec![agent.address(0)], request_classes());
    let client = blocking::Client::new(config);

    let read = client.call(Call::read("view", "profile-7", TIMEOUT));
    println!("view: {:?}", read.map(|response| response.value));

    let message = Call::write("send", "thread-7", b"hello".to_vec(), TIMEOUT)
        .tenant("northern")
        .key("m-1");
    let sent = client.call(message);
    println!("send: {:?}", sent.map(|r| r.attempts.agents.len()));

    // The agent closes the connection instead of responding. The payment may have run and is
    // therefore not sent again.
    agent.update_behavior(|behavior| behavior.response = ResponseBehavior::Close);
    match client.call(Call::write("payment", "p-1", vec![1], TIMEOUT)) {
        Err(CallError::Failed { attempts, .. }) => {
            println!("payment: it may have run: {}", attempts.may_have_executed);
        }
        other => println!("payment: {other:?}"),
    }
    println!("{:?}", client.stats().counters);
    Ok(())
}

fn request_classes() -> Vec<RequestClass> {
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: Duration::from_secs(3),
    };
    let class = |name: &str, idempotency, priority_weight| RequestClass {
        name: name.into(),
        idempotency,
        latency_objective: Duration::from_millis(400),
        priority_weight,
    };
    vec![
        class("view", Idempotency::Idempotent, 3.0),
        class("send", keyed, 3.0),
        class("payment", Idempotency::NonIdempotent, 9.0),
    ]
}
