//! Counts of what is taken, sent and answered, printed on request or at exit.

use std::cell::Cell;
use std::fmt;
use tulipwall::Outcome;

#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    pub fn add(&self) {
        self.0.set(self.0.get() + 1);
    }
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

#[derive(Default)]
pub struct Counters {
    pub clients: Count,
    pub clients_closed: Count,   // between two requests, by either side
    pub clients_rejected: Count, // at the limit of descriptors
    pub clients_late: Count,     // ended for want of a whole request or message
    pub floods: Count,           // requests rejected for how many their clients wrote ahead
    pub taken: Count,
    pub faulty: Count, // statements that were answered with their fault
    pub succeeded: Count,
    pub rejected: Count,
    pub scrapped: Count,
    pub left: Count, // clients that went away
    pub opened: Count,
    pub reused: Count,
    pub gone_idle: Count, // connections found closed by the endpoint while idle
    pub sent: Count,
    pub spoilt: Count,  // answers that could not be read
    pub unasked: Count, // connections closed for what came behind an answer
    pub ended: [Count; 8],
    pub lists: Count,
    pub list_failures: Count,
    pub list_silences: Count, // watches that fell silent, and calls without an answer
    pub rollout_status: Count,
    pub votes: Count,
    pub platform_ends: Count,
    pub door_dropped: Count, // readers of the operators' door that did not read
}

const OUTCOMES: [&str; 8] = [
    "satisfied",
    "failed",
    "turned_away",
    "timed_out",
    "no_connection",
    "broken",
    "withdrawn",
    "not_sent",
];

impl Counters {
    pub fn end(&self, outcome: Outcome) {
        self.ended[tulipwall_zones::outcome_index(outcome)].add();
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let n = |c: &Count| c.get();
        write!(
            f,
            "clients: taken {} denied {} late {} closed {}; ",
            n(&self.clients),
            n(&self.clients_rejected),
            n(&self.clients_late),
            n(&self.clients_closed)
        )?;
        write!(
            f,
            "commands: taken {} faulty {} satisfied {} ",
            n(&self.taken),
            n(&self.faulty),
            n(&self.succeeded)
        )?;
        write!(f, "floods {} ", n(&self.floods))?;
        write!(
            f,
            "denied {} scrapped {} left {}; ",
            n(&self.rejected),
            n(&self.scrapped),
            n(&self.left)
        )?;
        write!(f, "deliveries: written {}", n(&self.sent))?;
        for (name, count) in OUTCOMES.iter().zip(&self.ended) {
            write!(f, " {name} {}", n(count))?;
        }
        write!(
            f,
            "; connections: opened {} reused {} ",
            n(&self.opened),
            n(&self.reused)
        )?;
        write!(
            f,
            "spoilt {} unasked {} ",
            n(&self.spoilt),
            n(&self.unasked)
        )?;
        write!(
            f,
            "found_closed {}; lists: told {} ",
            n(&self.gone_idle),
            n(&self.lists)
        )?;
        write!(
            f,
            "failed {} silent {}; ",
            n(&self.list_failures),
            n(&self.list_silences)
        )?;
        write!(f, "platform: news {} ", n(&self.rollout_status))?;
        write!(
            f,
            "votes {} ended {}",
            n(&self.votes),
            n(&self.platform_ends)
        )?;
        write!(f, "; door: dropped {}", n(&self.door_dropped))
    }
}
