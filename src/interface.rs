//! What goes into a [`Choice`](crate::Choice) and what comes back: plain data, no decisions.
//! Times are spans since the start; appliances, lanes, customers and zones are small indices.

use std::collections::BTreeSet;
use std::time::Duration;

/// What sending to the other zones means just now, told by the account of what crosses. Nothing told: as ever.
#[derive(Clone, Debug, PartialEq)]
pub struct Crossings {
    /// By zone, as numbered in [`Listed::zone`]; the own zone's is not read.
    pub zones: Vec<Crossing>,
    /// What part of its share a cold appliance gets, 0 to 1: less while warm ones just took over much.
    pub cold: f64,
}

impl Default for Crossings {
    fn default() -> Crossings {
        Crossings {
            zones: Vec::new(),
            cold: 1.0,
        }
    }
}

/// One zone other than the agent's own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Crossing {
    /// What an appliance there draws against a near one, 0 to 1; `None`: the module's own figure.
    pub draw: Option<f64>,
    /// What the way there and back adds to each answer.
    pub added: Duration,
    /// By lane, for first deliveries: it goes there only where no near appliance can take it.
    pub last: Vec<bool>,
    /// The same for further deliveries and second copies.
    pub again_last: Vec<bool>,
}

impl Crossing {
    /// Whether a delivery of this lane goes there only where no near appliance can take it.
    pub fn spares(&self, lane: usize, again: bool) -> bool {
        let last = if again { &self.again_last } else { &self.last };
        last.get(lane) == Some(&true)
    }
}

/// What one zone holds, for whoever accounts for what crosses: counts of appliances.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Room {
    pub running: usize,
    pub draining: usize,
    /// Neither at rest nor silent.
    pub awake: usize,
    pub warm: usize, // of those awake
    /// What those awake can take, in warm appliances of usual pace.
    pub open: f64,
    pub in_flight: usize,
}

/// What an agent reads at its start, and anew at each renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    pub seed: u64,
    pub agents: u32,
    pub zone: usize,
    pub lanes: Vec<Lane>,
    pub customers: Vec<Customer>,
    pub benefit_by_work: bool,
    pub list_asked: bool,
    /// Calls for the list cost a discovery that all agents share.
    pub list_shared: bool,
    pub ask_within: Duration,
    pub second_copies: bool,
    pub withdraw: bool,
    pub come_back: Option<Duration>,
    pub deliveries: usize,
    pub crossing_price: f64,
    pub cold_share: f64,
    pub cold_for: Duration,
    pub fall_for: Duration,
    /// Times what it can do just then, for as long: a cold appliance falls over.
    pub fall_multiple: f64,
    /// An appliance may be asked for its load.
    pub probes: bool,
    /// An appliance works faster for keys that it met lately.
    pub warm_keys: bool,
    pub tick: Duration,
    pub rollout: Rollout,
}

/// How builds are offered here.
#[derive(Clone, Debug, PartialEq)]
pub struct Rollout {
    pub caps: Vec<f64>,
    pub free: f64,
    pub by_lane: bool,
    pub guarded_stages: usize,
    pub one_way: bool,
    pub by_clock: bool,
    pub in_place: bool,
    pub back_votes: u32, // agents that must agree to send back
    pub hold_votes: u32, // and to stop the clock
    pub tallied: bool,   // the platform counts outcomes for all
    pub vote_life: Duration,
    pub vote_wait: Duration,
    pub votes_per_s: f64,
    pub flagged_share: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Lane {
    pub quoted: Duration,
    pub benefit: f64,
    pub repeats: Repeats,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeats {
    Idempotent,
    Deduplicated {
        group: Group,
        window: Duration,
    },
    #[default]
    Unrepeatable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    pub share: f64,
}

/// Whose a number is under settings that were read anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Whose it was.
    Same,
    /// A name that goes on under other rules; under this number commands in hand end by the earlier ones.
    Was(usize),
    /// A name that was not there before.
    New,
    /// Nobody's but that of commands in hand.
    Over,
    /// Nobody's.
    Free,
}

/// Whose the numbers of lanes and customers are, by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Numbering {
    pub lanes: Vec<Origin>,
    pub customers: Vec<Origin>,
}

/// The numbers that commands in hand count in; `zones` are those of their deliveries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InHand {
    pub lanes: BTreeSet<usize>,
    pub customers: BTreeSet<usize>,
    pub zones: BTreeSet<usize>,
}

/// A command as it arrives; `key` is a number that equal keys share, at every agent.
#[derive(Clone, Debug)]
pub struct Command {
    pub lane: usize,
    pub customer: Option<usize>,
    pub key: Option<u64>,
    pub left: Duration,
    /// A rough hint of what it costs, where its client gave one.
    pub work: Option<Duration>,
    /// Its client says that it has asked for the same before.
    pub again: bool,
}

/// One line of the list of appliances.
#[derive(Clone, Debug)]
pub struct Listed {
    pub appliance: usize,
    pub zone: usize,
    pub cell: u64,
    /// The same number at every agent.
    pub mark: u64,
    /// Machines of one kind are alike, but for what befalls them.
    pub kind: usize,
    pub build: u32,
    pub standing: Standing,
    pub started: Option<Duration>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    Running,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Trial,
    GoingBack,
    Released,
    Withdrawn,
}

/// What the platform says of the newest build.
#[derive(Clone, Debug)]
pub struct News {
    pub build: u32,
    pub stage: usize,
    pub phase: Phase,
    pub cap: f64,
    pub began: Duration, // this state
}

/// What became of the vote that is out, as far as the platform says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Counted,
    Moot,
    Refused,
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Satisfied,
    Failed,
    TurnedAway,
    TimedOut,
    NoConnection,
    Broken,
    Withdrawn,
    NotSent,
}

impl Outcome {
    /// The delivery provably never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent
        )
    }
}

/// How one delivery ended; `closed` when its command has had the final answer.
#[derive(Clone, Debug)]
pub struct End {
    pub outcome: Outcome,
    pub took: Duration,
    pub closed: bool,
    /// Commands that the appliance said it held, late and roughly.
    pub held: Option<f64>,
}

/// What the platform counted for one build and lane in a sample of all agents' deliveries over a past while.
#[derive(Clone, Debug)]
pub struct Tally {
    pub build: u32,
    pub lane: usize,
    pub deliveries: f64,
    /// Those of them that were not satisfied.
    pub failed: f64,
    /// Mean time of the others.
    pub took: Duration,
    /// Since it was counted.
    pub age: Duration,
}

/// What to do with a command now.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Deliver it; ask again at `look` if it is still open then.
    Send {
        appliance: usize,
        time_out: Duration,
        look: Option<Duration>,
    },
    /// Keep it and ask again at this time.
    NotYet { until: Duration },
    /// A final denial, with a time to come back where that may be named.
    Deny { come_back: Option<Duration> },
    /// A final answer that promises nothing.
    Scrap,
    /// Stop waiting for this delivery; the command is answered.
    Withdraw { delivery: usize },
    /// Nothing: an answer is still due, or none is owed.
    Wait,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Hold,
    Back,
    None,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Vote {
    pub build: u32,
    pub stage: usize,
    pub verdict: Verdict,
}

/// What is due now, and when to ask again.
#[derive(Clone, Debug, Default)]
pub struct Due {
    pub until: Duration,
    pub vote: Option<Vote>,
    pub watch: bool,
    /// Appliances to ask for their load.
    pub asks: Vec<usize>,
    pub notes: Vec<String>,
}
