//! A fleet of clients of one kind that make calls continuously.

use crate::naive::{NaiveClient, NaiveCounters};
use crate::CALL_TIMEOUT;
use async_executor::Task;
use futures_lite::future::block_on;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tulipwall_client::{Call, Client, Counters};
use tulipwall_testkit::client_config;
use tulipwall_testkit::runtime::{sleep, spawn};

/// The classes of a client's calls, in rotation.
const CLASSES: [&str; 3] = ["view", "view", "payment"];

/// Which client is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// A client with a fixed retry pause and no budget.
    Naive,
    /// The client of this library.
    Library,
}

impl ClientKind {
    /// Returns the name in tables and plots.
    pub fn label(self) -> &'static str {
        match self {
            ClientKind::Naive => "naive",
            ClientKind::Library => "this library",
        }
    }
}

/// Clients of one kind that make calls until the fleet is stopped.
pub struct ClientFleet {
    stop: Arc<AtomicBool>,
    succeeded: Arc<AtomicU64>,
    clients: FleetClients,
    tasks: Vec<Task<()>>,
}

/// The source of a fleet's counts.
#[derive(Clone)]
enum FleetClients {
    Naive(NaiveCounters),
    Library(Vec<Client>),
}

/// A client whose calls are counted.
pub trait MeasuredClient {
    /// Reads an object and returns whether that succeeded in time. `id` is unique to the call.
    fn call(&mut self, class: &str, object: &str, id: &str) -> impl Future<Output = bool> + Send;
}

impl MeasuredClient for Client {
    async fn call(&mut self, class: &str, object: &str, _id: &str) -> bool {
        let call = Call::read(class, object, CALL_TIMEOUT);
        Client::call(self, call).await.is_ok()
    }
}

/// The call loop of one client of a fleet.
struct CallLoop {
    /// The index of the client in its fleet.
    client_number: usize,
    start_delay: Duration,
    pause: Duration,
    stop: Arc<AtomicBool>,
    succeeded: Arc<AtomicU64>,
}

impl CallLoop {
    /// Makes calls until the fleet is stopped.
    async fn run(self, mut client: impl MeasuredClient) {
        sleep(self.start_delay).await;
        for number in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let class = CLASSES[number % CLASSES.len()];
            let id = format!("{}-{number}", self.client_number);
            let succeeded = client.call(class, &format!("c{id}"), &id).await;
            self.succeeded
                .fetch_add(u64::from(succeeded), Ordering::Relaxed);
            sleep(self.pause).await;
        }
    }
}

impl ClientFleet {
    /// Starts this many clients, each with a pause between its calls. Their starts are spread over
    /// the length of one pause.
    pub fn start(
        kind: ClientKind,
        agent: SocketAddr,
        count: usize,
        pause: Duration,
    ) -> ClientFleet {
        let stop = Arc::<AtomicBool>::default();
        let succeeded = Arc::<AtomicU64>::default();
        let call_loops = (0..count).map(|client_number| CallLoop {
            client_number,
            start_delay: pause.mul_f64(client_number as f64 / count as f64),
            pause,
            stop: stop.clone(),
            succeeded: succeeded.clone(),
        });
        let (clients, tasks) = match kind {
            ClientKind::Naive => spawn_naive(agent, call_loops),
            ClientKind::Library => spawn_library(agent, call_loops),
        };
        ClientFleet {
            stop,
            succeeded,
            clients,
            tasks,
        }
    }

    /// Returns a function that reads the number of successful calls.
    pub fn success_count(&self) -> impl Fn() -> u64 + Send + 'static {
        let succeeded = self.succeeded.clone();
        move || succeeded.load(Ordering::Relaxed)
    }

    /// Returns a function that reads the number of requests sent to the agent.
    pub fn attempt_count(&self) -> impl Fn() -> u64 + Send + 'static {
        let clients = self.clients.clone();
        move || match &clients {
            FleetClients::Naive(counters) => counters.attempts.load(Ordering::Relaxed),
            FleetClients::Library(clients) => sum_counters(clients, |c| c.attempts),
        }
    }

    /// Returns a function that reads the number of opened connections.
    pub fn connection_count(&self) -> impl Fn() -> u64 + Send + 'static {
        let clients = self.clients.clone();
        move || match &clients {
            FleetClients::Naive(counters) => counters.connections_opened.load(Ordering::Relaxed),
            FleetClients::Library(clients) => sum_counters(clients, |c| c.connections_opened),
        }
    }

    /// Stops the clients and waits until their last calls have ended.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.tasks.into_iter().for_each(block_on);
    }
}

fn sum_counters(clients: &[Client], counter: impl Fn(&Counters) -> u64) -> u64 {
    let counters = clients.iter().map(|client| client.stats().counters);
    counters.map(|counters| counter(&counters)).sum()
}

fn spawn_library(
    agent: SocketAddr,
    call_loops: impl Iterator<Item = CallLoop>,
) -> (FleetClients, Vec<Task<()>>) {
    let mut clients = Vec::new();
    let mut tasks = Vec::new();
    for call_loop in call_loops {
        let client = Client::new(client_config(vec![agent]));
        clients.push(client.clone());
        tasks.push(spawn(call_loop.run(client)));
    }
    (FleetClients::Library(clients), tasks)
}

fn spawn_naive(
    agent: SocketAddr,
    call_loops: impl Iterator<Item = CallLoop>,
) -> (FleetClients, Vec<Task<()>>) {
    let counters = NaiveCounters::default();
    let spawn_client = |call_loop: CallLoop| {
        let client = NaiveClient::new(agent, counters.clone());
        spawn(call_loop.run(client))
    };
    let tasks = call_loops.map(spawn_client).collect();
    (FleetClients::Naive(counters), tasks)
}
