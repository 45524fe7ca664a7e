//! When discovery is called for the endpoint list, and when a call counts as failed.
//!
//! An agent watches the list by long polls on one connection. It is held to any change 6 s after
//! its watch fell silent, or 2 s after the wait of the call where that is later, whether or not it
//! learned of the change. So silence is noticed, and the list called for anew with some attempts to
//! spare, before either.
//!
//! Without I/O and clock: the timer gets the settings and what happened, and returns durations.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::{list_call_interval, Settings};

/// Wait of a long poll where lists are pushed. Calls cost nothing there and stay on this machine,
/// so a short wait, which shows silence early, is free.
const PUSHED_WAIT: Duration = Duration::from_millis(1000);
/// How long after its wait a response may come where lists are pushed.
const PUSHED_GRACE: Duration = Duration::from_millis(250);
/// Timeout of a call that should be answered at once. Such calls are repeated while discovery is
/// away, so that it is reached within this time and [`RETRY_DELAY`] after its return.
const QUICK_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of the call beside the quick ones, for connections that come up late.
const PATIENT_TIMEOUT: Duration = Duration::from_millis(2000);
/// Delay of a call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay of a call after a malformed response, which costs time to read.
const MALFORMED_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Wait of a long poll where lists are polled, as a multiple of the interval in which the settings
/// want each agent to call.
///
/// A call that begins a watch is paid for by all agents there; one that goes on with it is not.
/// Discovery bears one beginning of each agent in that interval. With twice the interval, nearly
/// all of it drawn at random, agents whose watches fall silent together begin anew over nearly
/// twice the interval, at half of what discovery bears, and call as often on average as the
/// settings want of agents without a watch.
const POLLED_WAIT_FACTOR: u32 = 2;
/// The part of the wait that is drawn at random.
const POLLED_WAIT_RANDOM_PART: f64 = 0.95;
/// The longest wait that discovery accepts.
const MAX_WAIT: Duration = Duration::from_millis(60_000);
/// Timeout of the first call of a watch where lists are polled. Discovery answers it at once; its
/// own timeout comes first, so that both know of a failure. A second call beside it would be paid
/// for too, and would end the first.
const POLLED_FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long after its wait a response may come where lists are polled. Discovery answers at once
/// then; this leaves three quarters of the 2 s for calling anew.
const POLLED_GRACE: Duration = Duration::from_millis(500);
/// The first calls at a new address are spread over this time at most: half of the 4 s after which
/// an agent is held to what that address has where lists are pushed, and a third of the 6 s where
/// they are polled.
const MAX_ADDRESS_CHANGE_SPREAD: Duration = Duration::from_millis(2000);

/// How long requests wait, after a start, for a first response before they are served by the
/// configured list, where lists are pushed.
const STARTUP_LIST_TIMEOUT: Duration = Duration::from_millis(300);
/// Agents send nothing after a start before their first call has ended (see
/// [`ListLease`](crate::list_lease::ListLease)). Where an agent's share of the calls is longer than
/// this, its first call is delayed by this or by three quarters of the share at most, whichever is
/// longer: nobody who is answered waits for 4 s, and agents that all start at once, none of which
/// knows of the others, make at most a third more calls than the settings allow.
const STARTUP_SPREAD: Duration = Duration::from_millis(3000);

/// How a watch, or a call that was to begin one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// No response came in time.
    TimedOut,
    /// The connection ended, never came up, or was refused.
    Disconnected,
    /// Discovery answered that it refuses the call: it is there, so agents will be held to what it
    /// has.
    Refused,
    /// The response could not be read.
    Malformed,
}

/// Which of the first calls of a watch: both run at once where calls are free, the patient one
/// alone otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstCall {
    /// A call that is given up early and repeated.
    Quick,
    /// A call that allows for a connection that comes up late.
    Patient,
}

/// What the timer takes from the settings.
struct Timing {
    /// Calls cost nothing: discovery runs beside the agent and pushes its list.
    is_pushed: bool,
    /// The longest wait of a long poll.
    max_wait: Duration,
    /// First calls at a new address are spread over this time.
    address_change_spread: Duration,
    /// First calls after a start are spread over this time; `None` where the balancer schedules
    /// them, over the agent's share of the calls or at once.
    startup_spread: Option<Duration>,
}

impl Timing {
    fn from_settings(settings: &Settings) -> Timing {
        let is_pushed = !settings.shared_discovery;
        let max_wait = if is_pushed {
            PUSHED_WAIT
        } else {
            (settings.max_poll_interval * POLLED_WAIT_FACTOR).min(MAX_WAIT)
        };
        let share = list_call_interval(settings);
        let exceeds_startup_spread = share > STARTUP_SPREAD;
        Timing {
            is_pushed,
            max_wait,
            address_change_spread: share.min(MAX_ADDRESS_CHANGE_SPREAD),
            startup_spread: exceeds_startup_spread.then(|| STARTUP_SPREAD.max(share * 3 / 4)),
        }
    }
}

/// Times the calls of one agent.
pub struct WatchTimer {
    timing: Timing,
    rng: Pcg64Mcg,
    /// A response came since the last call that failed.
    was_answered: bool,
}

impl WatchTimer {
    /// A timer for an agent with these settings. Random draws come from the settings' seed.
    pub fn new(settings: &Settings) -> WatchTimer {
        WatchTimer {
            timing: Timing::from_settings(settings),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            was_answered: false,
        }
    }

    /// Continues under reloaded settings.
    pub fn reload(&mut self, settings: &Settings) {
        self.timing = Timing::from_settings(settings);
    }

    /// Whether calls cost nothing: then the list is called for at once, and again and again while
    /// no response comes.
    pub fn calls_are_free(&self) -> bool {
        self.timing.is_pushed
    }

    /// The wait of the first long poll of a watch, which is answered at once.
    pub fn first_wait(&self) -> Duration {
        Duration::ZERO
    }

    /// The wait of the next long poll of a watch.
    pub fn next_wait(&mut self) -> Duration {
        if self.timing.is_pushed {
            return self.timing.max_wait;
        }
        let random_part = self.rng.gen_range(0.0..POLLED_WAIT_RANDOM_PART);
        self.timing.max_wait.mul_f64(1.0 - random_part)
    }

    /// How long after its wait the response to a long poll may still come.
    pub fn response_grace(&self) -> Duration {
        if self.timing.is_pushed {
            PUSHED_GRACE
        } else {
            POLLED_GRACE
        }
    }

    /// How long a first call may take, with its connection and without its wait.
    pub fn first_call_timeout(&self, call: FirstCall) -> Duration {
        match (self.timing.is_pushed, call) {
            (true, FirstCall::Quick) => QUICK_TIMEOUT,
            (true, FirstCall::Patient) => PATIENT_TIMEOUT,
            (false, _) => POLLED_FIRST_CALL_TIMEOUT,
        }
    }

    /// Discovery has a new address: how long to wait before the first call there.
    pub fn on_address_change(&mut self) -> Duration {
        self.was_answered = false;
        if self.timing.is_pushed {
            return Duration::ZERO;
        }
        let part = self.rng.gen_range(0.0..1.0);
        self.timing.address_change_spread.mul_f64(part)
    }

    /// How long after its start an agent makes its first call; `None` where the balancer schedules
    /// it.
    pub fn startup_delay(&mut self) -> Option<Duration> {
        let spread = self.timing.startup_spread?;
        let part = self.rng.gen_range(0.0..1.0);
        Some(spread.mul_f64(part))
    }

    /// How long requests wait for a first response. Where lists are pushed an agent is held to what
    /// discovery has from its first moment; `None` elsewhere, where the list's lease says what may
    /// be sent.
    pub fn startup_list_timeout(&self) -> Option<Duration> {
        self.timing.is_pushed.then_some(STARTUP_LIST_TIMEOUT)
    }

    /// A response came.
    pub fn on_response(&mut self) {
        self.was_answered = true;
    }

    /// The delay between a free call that failed and the next one.
    pub fn retry_delay(&self, end: WatchEnd) -> Duration {
        match end {
            WatchEnd::Malformed => MALFORMED_RETRY_DELAY,
            WatchEnd::TimedOut | WatchEnd::Disconnected | WatchEnd::Refused => RETRY_DELAY,
        }
    }

    /// A watch, or its beginning, failed: the delay of the next call. `None` where calls are paid
    /// for and the balancer spreads them. A watch that was answered and then fell silent is begun
    /// anew at once there too: otherwise the silence would be noticed in time and mended too late.
    pub fn on_watch_end(&mut self, end: WatchEnd) -> Option<Duration> {
        let was_answered = std::mem::take(&mut self.was_answered);
        match (was_answered, end) {
            (true, WatchEnd::TimedOut) => Some(Duration::ZERO),
            (true, WatchEnd::Malformed) => Some(RETRY_DELAY),
            _ if self.timing.is_pushed => Some(self.retry_delay(end)),
            _ => None,
        }
    }
}
