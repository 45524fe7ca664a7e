//! The router's state for one zone: latencies, attempt rate, sustained rate and overflow.

use crate::remap::remap_classes;
use std::time::Duration;
use tulipwall::IndexOrigin;

/// Gain of the moving average of response latencies of a class.
const LATENCY_GAIN: f64 = 0.05;
/// A latency average is discarded after this time without a response.
const LATENCY_TTL: Duration = Duration::from_secs(10);
/// Factor by which the shortest handshake grows with each connection, until a handshake is as short
/// again.
const HANDSHAKE_GROWTH: f64 = 1.02;
/// Gain of the moving average of the attempt rate.
const RATE_GAIN: f64 = 0.2;
/// The local zone sustains its rate up to this ratio of its latency to the best recent one. The
/// ratio is far above 1, because the minimum of an average over long-tailed latencies is low.
const SUSTAINED_LATENCY_RATIO: f64 = 1.8;
/// Decay per tick of the rate that the local zone has sustained: by half in five minutes.
const SUSTAINED_DECAY: f64 = 0.99977;
/// Decay per tick of the recent capacity towards the current one: by half in 1.5 seconds.
const CAPACITY_DECAY: f64 = 0.955;
/// The local zone is saturated if its responses are slower than remote ones, including the latency
/// of the link, by more than this factor.
const SATURATED_RATIO: f64 = 1.25;
/// The local zone has capacity again if they are slower by less than this factor.
const RECOVERED_RATIO: f64 = 1.02;
/// Growth of the overflow per tick of saturation: by this factor, but at least by the step below.
const OVERFLOW_GROWTH: f64 = 1.5;
const OVERFLOW_MIN_STEP: f64 = 0.02;
/// Decay of the overflow per tick after the cooldown: by half in about two seconds.
const OVERFLOW_DECAY: f64 = 0.965;
/// The minimum fraction that crosses, so that the latency of the link stays known.
const MIN_OVERFLOW: f64 = 0.01;
/// The maximum fraction that crosses.
pub(super) const MAX_OVERFLOW: f64 = 0.98;
/// Bounds of the time without a rise that must pass before the overflow falls.
const MIN_COOLDOWN: Duration = Duration::from_secs(1);
const MAX_COOLDOWN: Duration = Duration::from_secs(16);
/// After this time without a change of direction, the cooldown is halved.
const COOLDOWN_HALVING_INTERVAL: Duration = Duration::from_secs(20);

/// The moving average of response latencies of one class.
#[derive(Clone, Copy, Debug)]
struct RecentLatency {
    average_s: f64,
    updated: Duration,
}

impl RecentLatency {
    fn is_recent(&self, now: Duration) -> bool {
        now < self.updated + LATENCY_TTL
    }
}

/// The router's state for one zone.
#[derive(Clone, Debug)]
pub(super) struct ZoneState {
    /// By class; `None` without a recent response.
    latencies: Vec<Option<RecentLatency>>,
    attempts_since_tick: f64,
    /// Moving average of attempts per second.
    rate: f64,
    /// The recent capacity, which served the sustained rate.
    capacity: f64,
    /// The highest recent rate, per unit of capacity, at which latencies stayed normal.
    sustained_rate: f64,
    /// The shortest recent time to open a connection, in seconds; `None` before the first one.
    handshake_s: Option<f64>,
    /// The weight of an endpoint of this zone relative to a local one, 0 to 1.
    pub(super) weight: f64,
    /// How much traffic is to cross to this zone because of latencies.
    pub(super) overflow: Overflow,
}

impl ZoneState {
    pub(super) fn new(class_count: usize) -> ZoneState {
        ZoneState {
            latencies: vec![None; class_count],
            attempts_since_tick: 0.0,
            rate: 0.0,
            capacity: 0.0,
            sustained_rate: 0.0,
            handshake_s: None,
            weight: 1.0,
            overflow: Overflow::default(),
        }
    }

    /// Switches to the classes of a new configuration.
    pub(super) fn reload(&mut self, origins: &[IndexOrigin]) {
        self.latencies = remap_classes(origins, &mut self.latencies);
    }

    pub(super) fn count_attempt(&mut self) {
        self.attempts_since_tick += 1.0;
    }

    /// Adds the latency of a response and returns the moving average of its class, in seconds.
    pub(super) fn observe_latency(&mut self, now: Duration, class: usize, latency_s: f64) -> f64 {
        let former = self.latencies[class]
            .filter(|latency| latency.is_recent(now))
            .map_or(latency_s, |latency| latency.average_s);
        let average_s = former + (latency_s - former) * LATENCY_GAIN;
        self.latencies[class] = Some(RecentLatency {
            average_s,
            updated: now,
        });
        average_s
    }

    pub(super) fn observe_handshake(&mut self, duration: Duration) {
        let duration_s = duration.as_secs_f64();
        self.handshake_s = Some(match self.handshake_s {
            Some(shortest) => (shortest * HANDSHAKE_GROWTH).min(duration_s),
            None => duration_s,
        });
    }

    /// The moving average of latencies of a class, in seconds; `None` without a recent response.
    pub(super) fn latency(&self, class: usize) -> Option<f64> {
        let latency = self.latencies.get(class).copied().flatten()?;
        Some(latency.average_s)
    }

    pub(super) fn handshake_s(&self) -> Option<f64> {
        self.handshake_s
    }

    /// The moving average of attempts per second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Updates the rate from the attempts in the `elapsed` time since the last tick, and drops
    /// averages without recent responses. Only the `observed` classes have averages.
    pub(super) fn tick(
        &mut self,
        now: Duration,
        elapsed: Duration,
        observed: impl Iterator<Item = usize>,
    ) {
        self.rate += (self.attempts_since_tick / elapsed.as_secs_f64() - self.rate) * RATE_GAIN;
        self.attempts_since_tick = 0.0;
        for class in observed {
            if let Some(latency) = self.latencies.get_mut(class) {
                *latency = latency.filter(|l| l.is_recent(now));
            }
        }
    }

    /// Updates and returns the rate that the zone sustains per unit of capacity, in attempts per
    /// second. `latency_ratio` is the ratio of its latencies to the best recent ones.
    pub(super) fn update_sustained_rate(&mut self, capacity: f64, latency_ratio: f64) -> f64 {
        self.sustained_rate *= SUSTAINED_DECAY;
        self.capacity = (self.capacity * CAPACITY_DECAY).max(capacity);
        if capacity > 0.0 && latency_ratio <= SUSTAINED_LATENCY_RATIO {
            self.sustained_rate = self.sustained_rate.max(self.rate / self.capacity);
        }
        self.sustained_rate
    }
}

/// The fraction of requests that is to cross to a zone, derived from response latencies.
///
/// The fraction rises without delay, but falls only after a cooldown without a rise. The cooldown
/// doubles whenever the direction changes again soon, and halves while it does not. This keeps a
/// flapping local zone from swinging requests back and forth between the zones.
#[derive(Clone, Debug)]
pub(super) struct Overflow {
    fraction: f64,
    rising: bool,
    last_rise: Duration,
    cooldown: Duration,
    cooldown_changed: Duration,
    direction_changes: u64,
}

impl Default for Overflow {
    fn default() -> Overflow {
        Overflow {
            fraction: 0.0,
            rising: false,
            last_rise: Duration::ZERO,
            cooldown: MIN_COOLDOWN,
            cooldown_changed: Duration::ZERO,
            direction_changes: 0,
        }
    }
}

impl Overflow {
    /// The fraction of requests that is to cross, between 0 and [`MAX_OVERFLOW`].
    pub(super) fn fraction(&self) -> f64 {
        self.fraction
    }

    /// The number of times that the fraction began to rise.
    pub(super) fn direction_changes(&self) -> u64 {
        self.direction_changes
    }

    /// Updates the fraction; called once per tick. `local_slowdown` is the factor by which local
    /// responses are slower than those of the zone, including the latency of the link; `None` if
    /// the local zone has no capacity.
    pub(super) fn update(&mut self, now: Duration, local_slowdown: Option<f64>) {
        self.shorten_cooldown(now);
        let rises = local_slowdown.is_none_or(|ratio| ratio > SATURATED_RATIO);
        let falls = local_slowdown.is_some_and(|ratio| ratio < RECOVERED_RATIO);
        if rises {
            self.start_rising(now);
            self.last_rise = now;
            self.fraction = if local_slowdown.is_some() {
                self.raised_fraction()
            } else {
                MAX_OVERFLOW
            };
        }
        if falls && now >= self.last_rise + self.cooldown {
            self.rising = false;
            self.fraction = (self.fraction * OVERFLOW_DECAY).max(MIN_OVERFLOW);
        }
        self.fraction = self.fraction.max(MIN_OVERFLOW);
    }

    fn raised_fraction(&self) -> f64 {
        (self.fraction * OVERFLOW_GROWTH)
            .max(self.fraction + OVERFLOW_MIN_STEP)
            .min(MAX_OVERFLOW)
    }

    fn shorten_cooldown(&mut self, now: Duration) {
        if now > self.cooldown_changed + COOLDOWN_HALVING_INTERVAL {
            self.cooldown = (self.cooldown / 2).max(MIN_COOLDOWN);
            self.cooldown_changed = now;
        }
    }

    /// Marks the fraction as rising and counts the change of direction, unless it already rises.
    fn start_rising(&mut self, now: Duration) {
        if self.rising {
            return;
        }
        let rose_recently =
            now < self.last_rise + COOLDOWN_HALVING_INTERVAL && self.direction_changes > 0;
        if rose_recently {
            self.cooldown = (self.cooldown * 2).min(MAX_COOLDOWN);
        }
        self.rising = true;
        self.cooldown_changed = now;
        self.direction_changes += 1;
    }
}
