//! Crowds of clients that press on an agent: they write slowly, stop within a message, flood, or use
//! large requests and values. Nothing that they are answered is checked.

use crate::pg;
use crate::raw_client::RawClient;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdBehavior {
    /// Each writes a startup message of many short parameters, some bytes at a time.
    SlowStartup,
    /// Each writes half of a large request and stays.
    HalfRequest,
    /// Each writes very many empty queries behind a request.
    ShortMessages,
    /// Each writes statements with very many short attributes.
    ShortAttributes,
    /// Each writes large statements.
    LargeRequests,
    /// Each uses a new and very long class name in each request.
    LongNames,
    /// Each sends one small request after another and reads no response.
    ReadsNothing,
    /// Each connects and writes nothing.
    Silent,
    /// Each asks for encryption again and again.
    EncryptionRequests,
}

impl CrowdBehavior {
    /// All behaviors.
    pub const ALL: [CrowdBehavior; 9] = [
        CrowdBehavior::SlowStartup,
        CrowdBehavior::HalfRequest,
        CrowdBehavior::ShortMessages,
        CrowdBehavior::ShortAttributes,
        CrowdBehavior::LargeRequests,
        CrowdBehavior::LongNames,
        CrowdBehavior::ReadsNothing,
        CrowdBehavior::Silent,
        CrowdBehavior::EncryptionRequests,
    ];

    /// Returns what the `client`th client of a crowd writes. `crowd` makes the ids of different
    /// crowds distinct.
    pub fn bytes(self, crowd: u64, client: usize) -> Vec<u8> {
        let id = |n: usize| format!("crowd{crowd}-{client}-{n}");
        match self {
            CrowdBehavior::SlowStartup => long_startup(),
            CrowdBehavior::HalfRequest => half_request(),
            CrowdBehavior::ShortMessages => {
                let mut bytes = requests(1, |n| view("a", &id(n), "view", ""));
                bytes.extend(pg::query("").repeat(15_000));
                bytes
            }
            CrowdBehavior::ShortAttributes => {
                let attributes = ",a=b".repeat(25_000);
                requests(2, |n| view("a", &id(n), "view", &attributes))
            }
            CrowdBehavior::LargeRequests => {
                let object = "9f".repeat(50_000);
                requests(3, |n| view(&object, &id(n), "view", ""))
            }
            CrowdBehavior::LongNames => requests(3, |n| view("a", &id(n), &id(n).repeat(5000), "")),
            CrowdBehavior::ReadsNothing => requests(30, |n| view("a", &id(n), "view", "")),
            CrowdBehavior::Silent => Vec::new(),
            CrowdBehavior::EncryptionRequests => [0, 0, 0, 8, 4, 210, 22, 47].repeat(10_000),
        }
    }

    /// Returns how many bytes a client writes at a time.
    pub fn bytes_per_write(self) -> usize {
        match self {
            CrowdBehavior::SlowStartup => 700,
            CrowdBehavior::HalfRequest | CrowdBehavior::ShortMessages => 4000,
            _ => 40_000,
        }
    }

    /// Returns whether the clients read what the agent writes.
    pub fn reads(self) -> bool {
        self != CrowdBehavior::ReadsNothing
    }
}

/// Clients that all behave alike. Those that the agent has closed come back.
pub struct Crowd {
    behavior: CrowdBehavior,
    address: SocketAddr,
    contents: Vec<Arc<[u8]>>,
    clients: Vec<RawClient>,
}

impl Crowd {
    /// Connects `count` clients at once.
    pub fn connect(
        address: SocketAddr,
        behavior: CrowdBehavior,
        number: u64,
        count: usize,
    ) -> io::Result<Crowd> {
        let contents = (0..count).map(|n| behavior.bytes(number, n).into());
        let mut crowd = Crowd {
            behavior,
            address,
            contents: contents.collect(),
            clients: Vec::new(),
        };
        for n in 0..count {
            let client = crowd.connect_client(n)?;
            crowd.clients.push(client);
        }
        Ok(crowd)
    }

    /// Lets each client write and read once. Does not wait for the agent.
    pub fn step(&mut self) -> io::Result<()> {
        for n in 0..self.clients.len() {
            let client = &mut self.clients[n];
            client.write(self.behavior.bytes_per_write());
            if self.behavior.reads() {
                client.discard_received();
            }
            if client.is_closed() {
                self.clients[n] = self.connect_client(n)?;
            }
        }
        Ok(())
    }

    fn connect_client(&self, n: usize) -> io::Result<RawClient> {
        let mut client = RawClient::connect(self.address, self.contents[n].clone())?;
        client.write(self.behavior.bytes_per_write());
        Ok(client)
    }
}

fn long_startup() -> Vec<u8> {
    const LENGTH: u32 = 9000;
    let mut startup = LENGTH.to_be_bytes().to_vec();
    startup.extend(b"\0\x03\0\0");
    while startup.len() < LENGTH as usize - 100 {
        startup.extend(b"a\0b\0");
    }
    startup
}

fn half_request() -> Vec<u8> {
    let mut bytes = pg::startup();
    bytes.extend(b"Q\x00\x02\x00\x00");
    bytes.extend([b' '; 100_000]);
    bytes
}

fn requests(count: usize, request: impl Fn(usize) -> Vec<u8>) -> Vec<u8> {
    let mut bytes = pg::startup();
    (0..count).for_each(|n| bytes.extend(request(n)));
    bytes
}

fn view(object: &str, id: &str, class: &str, attributes: &str) -> Vec<u8> {
    pg::query(&format!(
        "SELECT body FROM objects WHERE oid = '{object}' /* id={id},c={class},d=1400{attributes} */"
    ))
}
