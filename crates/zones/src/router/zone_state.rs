//! What the router knows of one zone.

use crate::remap::remap_classes;
use std::time::Duration;
use tulipwall::IndexOrigin;

/// Gain of the moving average of response latencies of a class.
const LATENCY_GAIN: f64 = 0.05;
/// An average without a response for as long says nothing.
const LATENCY_TTL: Duration = Duration::from_secs(10);
/// Factor by which the shortest handshake rises with each connection until it is met again.
const HANDSHAKE_GROWTH: f64 = 1.02;
/// Gain of the moving average of the attempt rate.
const RATE_GAIN: f64 = 0.2;
/// Up to this ratio to its best latency of late the local zone sustains its rate. It lies far above
/// 1, as the best of an average over long-tailed latencies lies low.
const SUSTAINED_LATENCY_RATIO: f64 = 1.8;
/// Decay per tick of the rate that the local zone was seen to sustain: by half in five minutes.
const SUSTAINED_DECAY: f64 = 0.99977;
/// Decay per tick of the recent capacity towards the present one: by half in 1.5 seconds.
const CAPACITY_DECAY: f64 = 0.955;
/// The local zone is saturated when its responses are slower than remote ones, link included, by
/// this factor.
const SATURATED_RATIO: f64 = 1.25;
/// It has capacity again when they are not slower than by this factor.
const RECOVERED_RATIO: f64 = 1.02;
/// Per tick of saturation the overflow grows by this factor, and by this much at least.
const OVERFLOW_GROWTH: f64 = 1.5;
const OVERFLOW_MIN_STEP: f64 = 0.02;
/// Decay of the overflow per tick after the calm span: by half in about two seconds.
const OVERFLOW_DECAY: f64 = 0.965;
/// At least this fraction crosses, so that the latency of the link stays known.
const MIN_OVERFLOW: f64 = 0.01;
/// At most this fraction crosses.
pub(super) const MAX_OVERFLOW: f64 = 0.98;
/// Bounds of the calm span.
const MIN_CALM_SPAN: Duration = Duration::from_secs(1);
const MAX_CALM_SPAN: Duration = Duration::from_secs(16);
/// After as long without a change of direction, the calm span is halved.
const CALM_SPAN_HALVING: Duration = Duration::from_secs(20);

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

/// What the router knows of one zone.
#[derive(Clone, Debug)]
pub(super) struct ZoneState {
    /// By class.
    latencies: Vec<Option<RecentLatency>>,
    attempts_since_tick: f64,
    /// Attempts a second.
    rate: f64,
    /// Recent capacity: the sustained rate was sustained by this.
    capacity: f64,
    /// The highest rate per unit of capacity at which latencies stayed usual.
    sustained_rate: f64,
    /// The shortest time to a new connection of late, in seconds.
    handshake_s: Option<f64>,
    /// Weight of an endpoint of this zone against a local one.
    pub(super) weight: f64,
    /// How much is to cross to this zone by its latencies.
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

    /// Continues with the classes of a new configuration.
    pub(super) fn reload(&mut self, origins: &[IndexOrigin]) {
        self.latencies = remap_classes(origins, &mut self.latencies);
    }

    pub(super) fn count_attempt(&mut self) {
        self.attempts_since_tick += 1.0;
    }

    /// Counts a response and returns the moving average of its class, in seconds.
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

    /// The moving average of latencies of a class, in seconds.
    pub(super) fn latency(&self, class: usize) -> Option<f64> {
        let latency = self.latencies.get(class).copied().flatten()?;
        Some(latency.average_s)
    }

    pub(super) fn handshake_s(&self) -> Option<f64> {
        self.handshake_s
    }

    /// Attempts a second.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Updates the rate after a span between ticks, and drops averages without recent responses.
    /// Other classes than those `observed` have none.
    pub(super) fn tick(
        &mut self,
        now: Duration,
        span: Duration,
        observed: impl Iterator<Item = usize>,
    ) {
        self.rate += (self.attempts_since_tick / span.as_secs_f64() - self.rate) * RATE_GAIN;
        self.attempts_since_tick = 0.0;
        for class in observed {
            if let Some(latency) = self.latencies.get_mut(class) {
                *latency = latency.filter(|l| l.is_recent(now));
            }
        }
    }

    /// Learns which rate the zone sustains per unit of capacity, and returns it. `latency_ratio`:
    /// its latencies against their best of late.
    pub(super) fn update_sustained_rate(&mut self, capacity: f64, latency_ratio: f64) -> f64 {
        self.sustained_rate *= SUSTAINED_DECAY;
        self.capacity = (self.capacity * CAPACITY_DECAY).max(capacity);
        if capacity > 0.0 && latency_ratio <= SUSTAINED_LATENCY_RATIO {
            self.sustained_rate = self.sustained_rate.max(self.rate / self.capacity);
        }
        self.sustained_rate
    }
}

/// The fraction of requests that is to cross to a zone, by the latencies of responses.
///
/// Rising is never delayed. Falling waits for a calm span, which doubles each time the direction
/// changes soon and halves while it does not, so that a local zone that flaps does not make
/// requests swing with it.
#[derive(Clone, Debug)]
pub(super) struct Overflow {
    fraction: f64,
    rising: bool,
    last_rise: Duration,
    calm_span: Duration,
    calm_span_changed: Duration,
    direction_changes: u64,
}

impl Default for Overflow {
    fn default() -> Overflow {
        Overflow {
            fraction: 0.0,
            rising: false,
            last_rise: Duration::ZERO,
            calm_span: MIN_CALM_SPAN,
            calm_span_changed: Duration::ZERO,
            direction_changes: 0,
        }
    }
}

impl Overflow {
    /// The fraction of requests that is to cross, 0 to [`MAX_OVERFLOW`].
    pub(super) fn fraction(&self) -> f64 {
        self.fraction
    }

    /// How often the direction changed to rising.
    pub(super) fn direction_changes(&self) -> u64 {
        self.direction_changes
    }

    /// Updates the fraction, once a tick. `local_slowdown`: how much slower local responses are
    /// than those of the zone, link included; `None` where the local zone has no capacity.
    pub(super) fn update(&mut self, now: Duration, local_slowdown: Option<f64>) {
        self.relax_calm_span(now);
        let rises = local_slowdown.is_none_or(|ratio| ratio > SATURATED_RATIO);
        let falls = local_slowdown.is_some_and(|ratio| ratio < RECOVERED_RATIO);
        if rises {
            self.change_direction(now);
            self.last_rise = now;
            self.fraction = if local_slowdown.is_some() {
                self.raised_fraction()
            } else {
                MAX_OVERFLOW
            };
        }
        if falls && now >= self.last_rise + self.calm_span {
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

    fn relax_calm_span(&mut self, now: Duration) {
        if now > self.calm_span_changed + CALM_SPAN_HALVING {
            self.calm_span = (self.calm_span / 2).max(MIN_CALM_SPAN);
            self.calm_span_changed = now;
        }
    }

    /// Begins to rise, unless it rises already.
    fn change_direction(&mut self, now: Duration) {
        if self.rising {
            return;
        }
        let rose_recently = now < self.last_rise + CALM_SPAN_HALVING && self.direction_changes > 0;
        if rose_recently {
            self.calm_span = (self.calm_span * 2).min(MAX_CALM_SPAN);
        }
        self.rising = true;
        self.calm_span_changed = now;
        self.direction_changes += 1;
    }
}
