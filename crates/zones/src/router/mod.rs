//! Decides how much traffic crosses to other zones. Traffic stays in the local zone while it has
//! capacity, overflows gradually as it fills up, and returns gradually.
//!
//! Two signals indicate that the local zone is full:
//!
//! - *Its sustained rate*: it receives up to [`TRUSTED_RATE_FACTOR`] times the highest rate per
//!   unit of capacity at which its latencies stayed normal in the last minutes. Traffic beyond that
//!   crosses at once, so that the loss of half of the local endpoints does not have to show in
//!   latencies first.
//! - *Its latencies*: while they are higher than those of the remote zone, including the latency of
//!   the link, more traffic crosses with each tick; once they are lower again, less (see
//!   [`zone_state::Overflow`]).

mod class_latency;
mod observed_classes;
mod zone_state;

use crate::config::{ClassProfile, RoutingPolicy, ZoneConfig};
use crate::remap::remap_classes;
use class_latency::ClassLatency;
use observed_classes::ObservedClasses;
use std::time::Duration;
use tulipwall::{IndexOrigin, ZoneCapacity};
use zone_state::{ZoneState, MAX_OVERFLOW};

/// The time between two ticks. A late tick counts once.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The local zone receives up to this many times the highest rate that it has sustained.
const TRUSTED_RATE_FACTOR: f64 = 1.25;
/// Decay per tick of the recent number of warm endpoints towards the current one: by half in five
/// seconds.
const WARM_DECAY: f64 = 0.986;
/// Endpoints in slow start keep at least this fraction of their share.
const MIN_SLOW_START_FACTOR: f64 = 0.2;
/// Faster remote zones are preferred to slower ones by this power of their latency ratio.
const PREFERENCE_EXPONENT: i32 = 4;
/// The minimum weight of remote endpoints, so that their latencies stay known.
const MIN_WEIGHT: f64 = 1e-4;
/// The minimum total weight of remote zones, which is a divisor.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;
/// Lower latencies are raised to this value, in seconds, because ratios divide by them.
const MIN_LATENCY_S: f64 = 1e-6;
/// Lower ratios are raised to this value in a geometric mean, which takes their logarithm.
const MIN_RATIO: f64 = 1e-6;
/// The maximum of a measured link latency, in seconds.
const MAX_LINK_LATENCY_S: f64 = 60.0;

/// The routing between zones of one agent, derived from response latencies and zone capacities.
#[derive(Clone, Debug)]
pub struct ZoneRouter {
    local_zone: usize,
    policy: RoutingPolicy,
    /// By class, in seconds.
    latency_objectives: Vec<f64>,
    /// The configured latency of the link to each zone; `None` if it is measured.
    link_latencies: Vec<Option<Duration>>,
    /// By class.
    classes: Vec<ClassLatency>,
    /// The only classes that ticks visit.
    observed_classes: ObservedClasses,
    /// By zone.
    zones: Vec<ZoneState>,
    /// The recent number of warm endpoints in all zones.
    warm_endpoints: f64,
    slow_start_factor: f64,
    last_tick: Option<Duration>,
}

impl ZoneRouter {
    /// Creates a router that has seen no traffic.
    pub fn new(config: &ZoneConfig) -> ZoneRouter {
        let class_count = config.classes.len();
        ZoneRouter {
            local_zone: config.local_zone,
            policy: config.routing,
            latency_objectives: latency_objectives(&config.classes),
            link_latencies: config.link_latencies(),
            classes: vec![ClassLatency::default(); class_count],
            observed_classes: ObservedClasses::default(),
            zones: vec![ZoneState::new(class_count); config.zone_count_with_unnamed()],
            warm_endpoints: 0.0,
            slow_start_factor: 1.0,
            last_tick: None,
        }
    }

    /// Applies a new configuration with the same zones, whose classes are mapped by `origins`. The
    /// learned latencies and rates are kept.
    pub fn reload(&mut self, config: &ZoneConfig, origins: &[IndexOrigin]) {
        self.policy = config.routing;
        self.link_latencies = config.link_latencies();
        self.latency_objectives = latency_objectives(&config.classes);
        let former = std::mem::take(&mut self.classes);
        let mut former: Vec<Option<ClassLatency>> = former.into_iter().map(Some).collect();
        self.classes = remap_classes(origins, &mut former)
            .into_iter()
            .map(Option::unwrap_or_default)
            .collect();
        let classes = self.classes.iter().enumerate();
        let observed = classes.filter(|(_, latency)| latency.typical().is_some());
        self.observed_classes
            .replace(observed.map(|(class, _)| class));
        for zone in &mut self.zones {
            zone.reload(origins);
        }
    }

    /// Counts an attempt that is sent to this zone.
    pub fn on_attempt(&mut self, zone: usize) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.count_attempt();
        }
    }

    /// Records the latency of a successful response from this zone.
    pub fn on_response(&mut self, now: Duration, zone: usize, class: usize, latency: Duration) {
        let Some(class_latency) = self.classes.get_mut(class) else {
            return;
        };
        let Some(state) = self.zones.get_mut(zone) else {
            return;
        };
        self.observed_classes.insert(class);
        let latency_s = latency.as_secs_f64().max(MIN_LATENCY_S);
        class_latency.observe(latency_s);
        let average_s = state.observe_latency(now, class, latency_s);
        if zone == self.local_zone {
            class_latency.set_local(average_s);
        }
    }

    /// Records a connection to this zone that was ready for requests after `handshake`.
    pub fn on_connection(&mut self, zone: usize, handshake: Duration) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.observe_handshake(handshake);
        }
    }

    /// The latency that the round trip to a zone adds to a response: the configured value, or else
    /// how much longer opening a connection takes there than locally. Zero while it is unknown.
    pub fn added_latency(&self, zone: usize) -> Duration {
        if zone == self.local_zone {
            return Duration::ZERO;
        }
        if let Some(configured) = self.link_latencies.get(zone).copied().flatten() {
            return configured;
        }
        let added_s = match (self.handshake_s(zone), self.handshake_s(self.local_zone)) {
            (Some(remote), Some(local)) => (remote - local).max(0.0),
            _ => 0.0,
        };
        Duration::from_secs_f64(added_s.min(MAX_LINK_LATENCY_S))
    }

    fn handshake_s(&self, zone: usize) -> Option<f64> {
        self.zones.get(zone)?.handshake_s()
    }

    /// Updates how much traffic is to cross from now on. Call it about every 100 ms, with the
    /// capacities by zone index. A call after a stall counts as a single tick.
    pub fn tick(&mut self, now: Duration, zone_capacities: &[ZoneCapacity]) {
        let elapsed = self
            .last_tick
            .map_or(TICK_INTERVAL, |last| now.saturating_sub(last));
        if elapsed < TICK_INTERVAL / 2 {
            return;
        }
        self.last_tick = Some(now);
        for zone in &mut self.zones {
            zone.tick(now, elapsed, self.observed_classes.iter());
        }
        self.update_saturation();
        self.update_slow_start(zone_capacities);
        let local_capacity = capacity_of(zone_capacities, self.local_zone);
        let Some(excess) = self.update_excess(local_capacity) else {
            return;
        };
        let remote_zones = self.rank_remote_zones(zone_capacities);
        self.update_overflows(now, &remote_zones, local_capacity);
        self.update_weights(&remote_zones, local_capacity, excess);
    }

    fn update_saturation(&mut self) {
        for class in self.observed_classes.iter() {
            let latency = self.classes.get_mut(class);
            let objective_s = self.latency_objectives.get(class);
            if let (Some(latency), Some(objective_s)) = (latency, objective_s) {
                latency.update_saturation(*objective_s);
            }
        }
    }

    /// Lowers the slow start factor after a loss of warm endpoints. The remaining ones then carry
    /// more load than usual, and endpoints in slow start must not be given a share of that load.
    fn update_slow_start(&mut self, zone_capacities: &[ZoneCapacity]) {
        let warm: f64 = zone_capacities.iter().map(|zone| zone.warm as f64).sum();
        self.warm_endpoints = (self.warm_endpoints * WARM_DECAY).max(warm);
        self.slow_start_factor = if self.warm_endpoints > 0.0 {
            (warm / self.warm_endpoints).clamp(MIN_SLOW_START_FACTOR, 1.0)
        } else {
            1.0
        };
    }

    /// The fraction of all traffic in excess of the rate that the local zone can sustain; `None` if
    /// the local zone is unknown.
    fn update_excess(&mut self, local_capacity: f64) -> Option<f64> {
        let total_rate: f64 = self.zones.iter().map(ZoneState::rate).sum();
        let latency_ratio = self.local_latency_ratio();
        let local = self.zones.get_mut(self.local_zone)?;
        let sustained_rate = local.update_sustained_rate(local_capacity, latency_ratio);
        if local_capacity > 0.0 && sustained_rate > 0.0 && total_rate > 0.0 {
            let trusted = sustained_rate * TRUSTED_RATE_FACTOR * local_capacity;
            Some((1.0 - trusted / total_rate).clamp(0.0, 1.0))
        } else {
            Some(0.0)
        }
    }

    /// The remote zones, each with a preference derived from its latencies.
    fn rank_remote_zones(&self, zone_capacities: &[ZoneCapacity]) -> Vec<RemoteZone> {
        let mut remote_zones: Vec<RemoteZone> = (0..self.zones.len())
            .filter(|zone| *zone != self.local_zone)
            .map(|zone| RemoteZone {
                zone,
                capacity: capacity_of(zone_capacities, zone),
                latency_ratio: self.latency_over_typical(zone),
                preference: 0.0,
            })
            .collect();
        let best_ratio = remote_zones
            .iter()
            .filter(|remote| remote.capacity > 0.0)
            .map(|remote| remote.latency_ratio)
            .fold(f64::MAX, f64::min);
        for remote in &mut remote_zones {
            let relative = (best_ratio / remote.latency_ratio).min(1.0);
            remote.preference = relative.powi(PREFERENCE_EXPONENT);
        }
        remote_zones
    }

    fn update_overflows(
        &mut self,
        now: Duration,
        remote_zones: &[RemoteZone],
        local_capacity: f64,
    ) {
        for remote in remote_zones {
            let local_slowdown = (local_capacity > 0.0).then(|| self.local_slowdown(remote.zone));
            self.zones[remote.zone].overflow.update(now, local_slowdown);
        }
    }

    fn update_weights(&mut self, remote_zones: &[RemoteZone], local_capacity: f64, excess: f64) {
        let total_weight: f64 = remote_zones
            .iter()
            .map(|remote| remote.capacity * remote.preference)
            .sum();
        for remote in remote_zones {
            let state = &mut self.zones[remote.zone];
            let fraction = state.overflow.fraction().max(excess).min(MAX_OVERFLOW);
            let desired_weight = if local_capacity > 0.0 {
                fraction / (1.0 - fraction) * local_capacity / total_weight.max(MIN_TOTAL_WEIGHT)
            } else {
                1.0
            };
            // A remote endpoint never weighs more than a local one, because it also serves its own
            // zone. Without this bound, a flapping local zone drove the other zone into overload:
            // the crossing share went from 0.31 to 0.64 and p99 from 393 to 728 ms.
            state.weight = (remote.preference * desired_weight.min(1.0)).max(MIN_WEIGHT);
        }
    }

    /// The ratio of local latencies to the best recent ones: the mean over classes, or 1 if none is
    /// known.
    fn local_latency_ratio(&self) -> f64 {
        let classes = self.observed_classes.iter();
        let ratio = |class: usize| self.classes.get(class)?.local_over_best();
        let ratios: Vec<f64> = classes.filter_map(ratio).collect();
        if ratios.is_empty() {
            1.0
        } else {
            ratios.iter().sum::<f64>() / ratios.len() as f64
        }
    }

    /// The average latency of responses from a zone, in seconds. Without recent responses from a
    /// remote zone, it is the best local average plus the latency of the link.
    fn latency(&self, zone: usize, class: usize) -> Option<f64> {
        let measured = self.zones.get(zone).and_then(|state| state.latency(class));
        if measured.is_some() || zone == self.local_zone {
            return measured;
        }
        let best_local = self.classes.get(class)?.best_local()?;
        Some(best_local + self.added_latency(zone).as_secs_f64())
    }

    /// The factor by which local responses are slower than those of a zone, including the latency
    /// of the link: the geometric mean over the classes for which both are known.
    ///
    /// Classes are compared one by one, not through a typical latency that moves with them: the
    /// zones respond unequally often and would follow such a latency at unequal speed.
    fn local_slowdown(&self, zone: usize) -> f64 {
        let ratio = |class| {
            let local = self.latency(self.local_zone, class)?;
            Some(local / self.latency(zone, class)?)
        };
        geometric_mean(self.observed_classes.iter().filter_map(ratio))
    }

    /// The ratio of the latencies of a zone to the typical ones: the geometric mean over classes.
    fn latency_over_typical(&self, zone: usize) -> f64 {
        let ratio = |class: usize| {
            let latency = self.latency(zone, class)?;
            Some(latency / self.classes.get(class)?.typical()?)
        };
        geometric_mean(self.observed_classes.iter().filter_map(ratio))
    }

    /// The weight of an endpoint of this zone relative to a local one, 0 to 1; `None` if the
    /// balancer's own weight applies.
    pub fn weight(&self, zone: usize) -> Option<f64> {
        if self.policy != RoutingPolicy::LocalFirst || zone == self.local_zone {
            return None;
        }
        Some(self.zones.get(zone)?.weight)
    }

    /// Whether local responses of this class are close to being late.
    pub fn is_saturated(&self, class: usize) -> bool {
        self.classes
            .get(class)
            .is_some_and(ClassLatency::is_saturated)
    }

    /// The fraction of its share that an endpoint in slow start receives, 0 to 1.
    pub fn slow_start_factor(&self) -> f64 {
        self.slow_start_factor
    }

    /// The number of class visits by all ticks so far: a measure of work that does not depend on a
    /// clock.
    pub fn classes_visited(&self) -> u64 {
        self.observed_classes.visited()
    }

    /// The number of times that traffic to this zone began to rise.
    pub fn direction_changes(&self, zone: usize) -> u64 {
        self.zones
            .get(zone)
            .map_or(0, |state| state.overflow.direction_changes())
    }
}

/// The state of a remote zone during one tick.
#[derive(Clone, Copy, Debug)]
struct RemoteZone {
    zone: usize,
    capacity: f64,
    /// The ratio of its latencies to the typical ones.
    latency_ratio: f64,
    /// 1 for the fastest remote zone with capacity, lower for slower ones.
    preference: f64,
}

fn capacity_of(zone_capacities: &[ZoneCapacity], zone: usize) -> f64 {
    zone_capacities
        .get(zone)
        .map_or(0.0, |capacity| capacity.capacity)
}

fn latency_objectives(classes: &[ClassProfile]) -> Vec<f64> {
    classes
        .iter()
        .map(|class| class.latency_objective.as_secs_f64())
        .collect()
}

/// The geometric mean of the ratios; 1 if there are none.
fn geometric_mean(ratios: impl Iterator<Item = f64>) -> f64 {
    let mut log_sum = 0.0;
    let mut count = 0.0;
    for ratio in ratios {
        log_sum += ratio.max(MIN_RATIO).ln();
        count += 1.0;
    }
    if count > 0.0 {
        f64::exp(log_sum / count)
    } else {
        1.0
    }
}
