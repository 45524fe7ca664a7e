//! A server that reads and writes through the agents; here against a fake that it starts itself.
//!
//!     cargo run -p tulipwall-client --example calls

use std::time::Duration;
use tulipwall_client::{
    blocking, Call, CallError, ClientConfig, DeduplicationScope, Idempotency, RequestClass,
};
use tulipwall_testkit::{Endpoint, EndpointBehavior, ResponseBehavior};

fn main() -> std::io::Result<()> {
    let agent = Endpoint::start(1, EndpointBehavior::default(), 1)?;
    let latency_objective = Duration::from_millis(400);
    let keyed = Idempotency::Keyed {
        scope: DeduplicationScope::All,
        window: Duration::from_secs(3),
    };
    let classes = [
        ("view", Idempotency::Idempotent, 3.0),
        ("send", keyed, 3.0),
        ("payment", Idempotency::NonIdempotent, 9.0),
    ];
    let class = |(name, idempotency, priority_weight): (&str, _, _)| RequestClass {
        name: name.into(),
        idempotency,
        latency_objective,
        priority_weight,
    };
    let client = blocking::Client::new(ClientConfig::new(
        vec![agent.address(0)],
        classes.map(class).to_vec(),
    ));
    let expiry = Duration::from_millis(800);
    println!(
        "view: {:?}",
        client
            .call(Call::read("view", "profile-7", expiry))
            .map(|a| a.value)
    );
    let message = Call::write("send", "thread-7", b"hello".to_vec(), expiry)
        .tenant("northern")
        .key("m-1");
    println!(
        "send: {:?}",
        client.call(message).map(|a| a.attempts.agents.len())
    );
    agent.update_behavior(|w| w.response = ResponseBehavior::Close);
    match client.call(Call::write("payment", "p-1", vec![1], expiry)) {
        Err(CallError::Failed {
            attempts: tried, ..
        }) => {
            println!("payment: it may have run: {}", tried.may_have_executed)
        }
        other => println!("payment: {other:?}"),
    }
    println!("{:?}", client.stats().counters);
    Ok(())
}
