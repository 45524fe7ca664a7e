//! A server that reads and writes through the agents; here against a stand-in that it starts itself.
//!
//!     cargo run -p tulipwall-client --example calls

use std::time::Duration;
use tulipwall_client::{blocking, Call, Group, Lane, Repeats, Service, Unanswered};
use tulipwall_testkit::{Act, Appliance, Ways};

fn main() -> std::io::Result<()> {
    let agent = Appliance::start(1, Ways::default(), 1)?;
    let quoted = Duration::from_millis(400);
    let keyed = Repeats::Deduplicated {
        group: Group::All,
        window: Duration::from_secs(3),
    };
    let lanes = [
        ("view", Repeats::Idempotent, 3.0),
        ("send", keyed, 3.0),
        ("payment", Repeats::Unrepeatable, 9.0),
    ];
    let lane = |(name, repeats, benefit): (&str, _, _)| Lane {
        name: name.into(),
        repeats,
        quoted,
        benefit,
    };
    let client = blocking::Client::new(Service::new(
        vec![agent.address(0)],
        lanes.map(lane).to_vec(),
    ));
    let expiry = Duration::from_millis(800);
    println!(
        "view: {:?}",
        client
            .call(Call::read("view", "profile-7", expiry))
            .map(|a| a.value)
    );
    let message = Call::write("send", "thread-7", b"hello".to_vec(), expiry)
        .customer("northern")
        .key("m-1");
    println!(
        "send: {:?}",
        client.call(message).map(|a| a.tried.agents.len())
    );
    agent.ways(|w| w.act = Act::Resets);
    match client.call(Call::write("payment", "p-1", vec![1], expiry)) {
        Err(Unanswered::Scrapped { tried, .. }) => {
            println!("payment: it may have run: {}", tried.may_have_run)
        }
        other => println!("payment: {other:?}"),
    }
    println!("{:?}", client.seen().counters);
    Ok(())
}
