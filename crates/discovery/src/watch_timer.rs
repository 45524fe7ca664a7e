//! Decides when discovery is called for the endpoint list, and when a call has timed out.
//!
//! An agent watches the list through long polls on one connection. It must comply with any change
//! from 6 s after its watch fell silent, or from 2 s after the wait of the call if that is later,
//! whether or not it received the change. The timeouts are short enough to detect silence, and to
//! call again with some attempts to spare, before both.
//!
//! The timer uses no I/O and no clock: it is given the settings and the events, and returns
//! durations.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use tulipwall::{list_call_interval, Settings};

/// Wait of a long poll where lists are pushed. Calls have no cost there and stay on this machine,
/// so the wait can be short, which detects silence early.
const PUSHED_WAIT: Duration = Duration::from_millis(1000);
/// How long after the wait of a call its response may arrive where lists are pushed.
const PUSHED_GRACE: Duration = Duration::from_millis(250);
/// Timeout of a call that should be answered at once. Such calls are repeated while discovery is
/// unavailable, so that it is reached within this time plus [`RETRY_DELAY`] after its return.
const QUICK_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout of the call made in parallel with the quick ones, for connections that open slowly.
const PATIENT_TIMEOUT: Duration = Duration::from_millis(2000);
/// Timeout of that call before the first response after a start, when the agent can send nothing:
/// allows for a discovery that takes seconds to answer. A lost connection costs no time, as the
/// quick calls go on beside it.
const STARTUP_PATIENT_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Delay between a failed call and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay between a malformed response and the next call. Reading such a response costs time.
const MALFORMED_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum wait of a long poll where lists are polled, as a multiple of the interval in which the
/// settings require each agent to call.
///
/// There, a call that begins a watch uses capacity that all agents share; a call that continues a
/// watch does not. Discovery can begin one watch for each agent in that interval. The wait is twice
/// the interval, and nearly all of it is random. So agents whose watches fall silent together begin
/// new ones over nearly twice the interval, at half of the rate that discovery can handle. On
/// average they call as often as the settings require of agents without a watch.
const POLLED_WAIT_FACTOR: u32 = 2;
/// The fraction of the maximum wait that is chosen at random.
const POLLED_WAIT_RANDOM_FRACTION: f64 = 0.95;
/// The longest wait that discovery accepts for a long poll.
const MAX_WAIT: Duration = Duration::from_millis(60_000);
/// Timeout of the first call of a watch where lists are polled. Discovery answers it at once.
/// Discovery's own timeout is shorter, so that both sides know of a failure. A second call in
/// parallel would use shared capacity as well, and would end the first one.
const POLLED_FIRST_CALL_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long after the wait of a call its response may arrive where lists are polled. Discovery
/// answers as soon as the wait ends; this leaves three quarters of the 2 s for another call.
const POLLED_GRACE: Duration = Duration::from_millis(500);
/// The longest time over which the first calls at a new address are spread. An agent must comply
/// with the list at that address after 4 s where lists are pushed and after 6 s where they are
/// polled; this is half of the one and a third of the other.
const MAX_ADDRESS_CHANGE_SPREAD: Duration = Duration::from_millis(2000);

/// The shortest time over which first calls after a start are spread if an agent's call interval
/// exceeds it. The spread is this or three quarters of the call interval, whichever is longer.
///
/// Agents send nothing after a start before they received a list (see
/// [`ListLease`](crate::list_lease::ListLease)). With this spread, no agent that is answered waits
/// for 4 s. Agents that all start at once, without knowing of each other, make at most a third more
/// calls than the settings allow.
const STARTUP_SPREAD: Duration = Duration::from_millis(3000);

/// The shortest and the longest delay after a call that did not reach discovery, where lists are
/// polled and none was received since the start. Such an agent serves nobody, so it is to call soon
/// after discovery's return; a call to an unreachable discovery uses no shared capacity.
const UNREACHABLE_RETRY_DELAYS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(400));

/// How a watch, or a call that was meant to begin one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// No response arrived in time.
    TimedOut,
    /// The connection ended, could not be opened, or was refused.
    Disconnected,
    /// Discovery answered that it refuses the call. It is reachable, so agents must comply with the
    /// changes that it has.
    Refused,
    /// The response could not be read.
    Malformed,
    /// Some entries of the response could not be read. The others were applied, and the endpoints of
    /// unreadable entries are no longer used.
    PartlyMalformed,
}

/// The kinds of first call of a watch. Where calls are free, both run in parallel; otherwise only
/// the patient one is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstCall {
    /// A call with a short timeout, which is repeated.
    Quick,
    /// A call with a timeout that allows for a connection that opens slowly.
    Patient,
}

/// The values that the timer derives from the settings.
struct Timing {
    /// Whether calls are free: discovery runs on the agent's machine and pushes its list.
    is_pushed: bool,
    /// The maximum wait of a long poll.
    max_wait: Duration,
    /// The time over which first calls at a new address are spread.
    address_change_spread: Duration,
    /// The time over which first calls after a start are spread; `None` where the balancer
    /// schedules them, over the agent's call interval or at once.
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
        let call_interval = list_call_interval(settings);
        let needs_startup_spread = call_interval > STARTUP_SPREAD;
        Timing {
            is_pushed,
            max_wait,
            address_change_spread: call_interval.min(MAX_ADDRESS_CHANGE_SPREAD),
            startup_spread: needs_startup_spread.then(|| STARTUP_SPREAD.max(call_interval * 3 / 4)),
        }
    }
}

/// Times the discovery calls of one agent.
pub struct WatchTimer {
    timing: Timing,
    rng: Pcg64Mcg,
    /// Whether a response arrived since the last failed call.
    was_answered: bool,
    /// Whether a response arrived since the start.
    was_ever_answered: bool,
}

impl WatchTimer {
    /// Creates a timer for an agent with these settings. Their seed initializes the random
    /// generator.
    pub fn new(settings: &Settings) -> WatchTimer {
        WatchTimer {
            timing: Timing::from_settings(settings),
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            was_answered: false,
            was_ever_answered: false,
        }
    }

    /// Applies reloaded settings.
    pub fn reload(&mut self, settings: &Settings) {
        self.timing = Timing::from_settings(settings);
    }

    /// Whether calls use no capacity that agents share. If so, the list is requested at once, and
    /// repeatedly while no response arrives.
    pub fn calls_are_free(&self) -> bool {
        self.timing.is_pushed
    }

    /// Returns the wait of the first long poll of a watch. It is zero: the poll is answered at
    /// once.
    pub fn first_wait(&self) -> Duration {
        Duration::ZERO
    }

    /// Returns the wait of the next long poll of a watch; partly random where lists are polled.
    pub fn next_wait(&mut self) -> Duration {
        if self.timing.is_pushed {
            return self.timing.max_wait;
        }
        let random_fraction = self.rng.gen_range(0.0..POLLED_WAIT_RANDOM_FRACTION);
        self.timing.max_wait.mul_f64(1.0 - random_fraction)
    }

    /// Returns how long after the wait of a long poll its response may still arrive.
    pub fn response_grace(&self) -> Duration {
        if self.timing.is_pushed {
            PUSHED_GRACE
        } else {
            POLLED_GRACE
        }
    }

    /// Returns the timeout of a first call, including its connection setup and excluding its wait.
    pub fn first_call_timeout(&self, call: FirstCall) -> Duration {
        match (self.timing.is_pushed, call) {
            (true, FirstCall::Quick) => QUICK_TIMEOUT,
            (true, FirstCall::Patient) if self.was_ever_answered => PATIENT_TIMEOUT,
            (true, FirstCall::Patient) => STARTUP_PATIENT_TIMEOUT,
            (false, _) => POLLED_FIRST_CALL_TIMEOUT,
        }
    }

    /// Returns the delay of the first call after the address of discovery changed.
    pub fn on_address_change(&mut self) -> Duration {
        self.was_answered = false;
        if self.timing.is_pushed {
            return Duration::ZERO;
        }
        let fraction = self.rng.gen_range(0.0..1.0);
        self.timing.address_change_spread.mul_f64(fraction)
    }

    /// Returns how long after its start an agent makes its first call; `None` where the balancer
    /// schedules that call.
    pub fn startup_delay(&mut self) -> Option<Duration> {
        let spread = self.timing.startup_spread?;
        let fraction = self.rng.gen_range(0.0..1.0);
        Some(spread.mul_f64(fraction))
    }

    /// Records that a response arrived.
    pub fn on_response(&mut self) {
        self.was_answered = true;
        self.was_ever_answered = true;
    }

    /// Returns the delay between a failed call and the next one, where calls are free.
    pub fn retry_delay(&self, end: WatchEnd) -> Duration {
        match end {
            WatchEnd::Malformed | WatchEnd::PartlyMalformed => MALFORMED_RETRY_DELAY,
            WatchEnd::TimedOut | WatchEnd::Disconnected | WatchEnd::Refused => RETRY_DELAY,
        }
    }

    /// Returns the delay of the next call after a watch, or the call that was meant to begin it,
    /// failed. `None` where calls use shared capacity and the balancer spreads them.
    ///
    /// A watch that was answered and then fell silent begins again at once there too. Otherwise the
    /// silence would be detected in time, but the new call would come too late. An agent that has
    /// received no list yet calls an unreachable discovery again soon.
    pub fn on_watch_end(&mut self, end: WatchEnd) -> Option<Duration> {
        let was_answered = std::mem::take(&mut self.was_answered);
        let is_unreachable = matches!(end, WatchEnd::TimedOut | WatchEnd::Disconnected);
        match (was_answered, end) {
            (true, WatchEnd::TimedOut) => Some(Duration::ZERO),
            (true, WatchEnd::Malformed | WatchEnd::PartlyMalformed) => Some(RETRY_DELAY),
            _ if self.timing.is_pushed => Some(self.retry_delay(end)),
            _ if is_unreachable && !self.was_ever_answered => Some(self.unreachable_retry_delay()),
            _ => None,
        }
    }

    fn unreachable_retry_delay(&mut self) -> Duration {
        let (shortest, longest) = UNREACHABLE_RETRY_DELAYS;
        self.rng.gen_range(shortest..longest)
    }
}
