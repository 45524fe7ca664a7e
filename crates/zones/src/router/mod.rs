//! How much traffic crosses: the local zone first while it has capacity, more by degrees as it
//! fills, and back by degrees.
//!
//! Two signals say that the local zone is full. *The rate that it was seen to sustain*: it is given
//! up to [`TRUSTED_RATE_FACTOR`] times the highest rate per unit of capacity at which its latencies
//! stayed usual in the last minutes. What comes beyond crosses at once, so that the loss of half of
//! the local endpoints does not have to show in latencies first. And *its latencies*: once they are
//! higher than those of the remote zone, link included, more crosses with each tick; once they are
//! lower again, less (see [`zone_state::Overflow`]).

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

/// Ticks are this far apart; a late one counts once.
const TICK: Duration = Duration::from_millis(100);
/// The local zone is given up to this many times the highest rate that it was seen to sustain.
const TRUSTED_RATE_FACTOR: f64 = 1.25;
/// Decay per tick of the recent number of warm endpoints towards the present one: by half in five
/// seconds.
const WARM_DECAY: f64 = 0.986;
/// Endpoints that warm up keep at least this fraction of their share.
const MIN_SLOW_START_FACTOR: f64 = 0.2;
/// Of several remote zones the faster ones are preferred by this power of their latency ratio.
const PREFERENCE_EXPONENT: i32 = 4;
/// Weights of remote endpoints are not below this, so that their latencies stay known.
const MIN_WEIGHT: f64 = 1e-4;
/// The total weight of remote zones counts at least as this.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;
/// Latencies below count as this, in seconds.
const MIN_LATENCY_S: f64 = 1e-6;
/// Ratios below count as this in a geometric mean.
const MIN_RATIO: f64 = 1e-6;
/// A measured link latency is at most this, in seconds.
const MAX_LINK_LATENCY_S: f64 = 60.0;

/// The routing between zones of one agent.
#[derive(Clone, Debug)]
pub struct ZoneRouter {
    local_zone: usize,
    policy: RoutingPolicy,
    /// By class, in seconds.
    latency_objectives: Vec<f64>,
    /// By zone: the configured latency of the link to it.
    link_latencies: Vec<Option<Duration>>,
    classes: Vec<ClassLatency>,
    /// Ticks look at no other classes.
    observed_classes: ObservedClasses,
    zones: Vec<ZoneState>,
    /// Warm endpoints of late.
    warm_endpoints: f64,
    slow_start_factor: f64,
    last_tick: Option<Duration>,
}

impl ZoneRouter {
    /// A router that has seen no traffic.
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

    /// Continues under a new configuration of the same zones, with its classes mapped by `origins`;
    /// what was learned stays.
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
        let observed = classes.filter(|(_, latency)| latency.usual().is_some());
        self.observed_classes
            .replace(observed.map(|(class, _)| class));
        for zone in &mut self.zones {
            zone.reload(origins);
        }
    }

    /// An attempt goes to this zone.
    pub fn on_attempt(&mut self, zone: usize) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.count_attempt();
        }
    }

    /// A successful response came from this zone.
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

    /// A connection to this zone was ready for requests after `handshake`.
    pub fn on_connection(&mut self, zone: usize, handshake: Duration) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.observe_handshake(handshake);
        }
    }

    /// What the round trip to a zone adds to a response: as configured, else how much longer new
    /// connections take there than locally. Zero while neither is known.
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

    /// Updates how much is to cross from now on; to be called about every 100 ms, with the
    /// capacities by zone index. After a stall it counts once.
    pub fn tick(&mut self, now: Duration, zone_capacities: &[ZoneCapacity]) {
        let span = self.last_tick.map_or(TICK, |last| now.saturating_sub(last));
        if span < TICK / 2 {
            return;
        }
        self.last_tick = Some(now);
        for zone in &mut self.zones {
            zone.tick(now, span, self.observed_classes.iter());
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

    /// Warm endpoints that take over from others carry more than usual; those that warm up must not
    /// follow them.
    fn update_slow_start(&mut self, zone_capacities: &[ZoneCapacity]) {
        let warm: f64 = zone_capacities.iter().map(|zone| zone.warm as f64).sum();
        self.warm_endpoints = (self.warm_endpoints * WARM_DECAY).max(warm);
        self.slow_start_factor = if self.warm_endpoints > 0.0 {
            (warm / self.warm_endpoints).clamp(MIN_SLOW_START_FACTOR, 1.0)
        } else {
            1.0
        };
    }

    /// The fraction of all traffic beyond what the local zone was seen to sustain; `None` where the
    /// local zone is unknown.
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

    /// The remote zones, with the preference that their latencies give them.
    fn rank_remote_zones(&self, zone_capacities: &[ZoneCapacity]) -> Vec<RemoteZone> {
        let mut remote_zones: Vec<RemoteZone> = (0..self.zones.len())
            .filter(|zone| *zone != self.local_zone)
            .map(|zone| RemoteZone {
                zone,
                capacity: capacity_of(zone_capacities, zone),
                latency_ratio: self.latency_over_usual(zone),
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
            let wanted = if local_capacity > 0.0 {
                fraction / (1.0 - fraction) * local_capacity / total_weight.max(MIN_TOTAL_WEIGHT)
            } else {
                1.0
            };
            // No remote endpoint weighs more than a local one: it has its own zone's load. Without
            // this bound a flapping local zone drove the other zone into overload (0.31 to 0.64
            // crossing, p99 393 to 728 ms).
            state.weight = (remote.preference * wanted.min(1.0)).max(MIN_WEIGHT);
        }
    }

    /// Local latencies against their best of late: the mean over classes, 1 where none is known.
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

    /// The average latency of responses from a zone, in seconds. Where none came of late: the best
    /// local one plus the link's latency.
    fn latency(&self, zone: usize, class: usize) -> Option<f64> {
        let measured = self.zones.get(zone).and_then(|state| state.latency(class));
        if measured.is_some() || zone == self.local_zone {
            return measured;
        }
        let best_local = self.classes.get(class)?.best_local()?;
        Some(best_local + self.added_latency(zone).as_secs_f64())
    }

    /// How much slower local responses are than those of a zone, link included: the geometric mean
    /// over the classes of which both are known. Compared class by class and not with a usual
    /// latency that moves with them: zones are heard unequally often, and would follow it unequally
    /// fast.
    fn local_slowdown(&self, zone: usize) -> f64 {
        let ratio = |class| {
            let local = self.latency(self.local_zone, class)?;
            Some(local / self.latency(zone, class)?)
        };
        geometric_mean(self.observed_classes.iter().filter_map(ratio))
    }

    /// Latencies of responses from a zone against the usual ones of their classes.
    fn latency_over_usual(&self, zone: usize) -> f64 {
        let ratio = |class: usize| {
            let latency = self.latency(zone, class)?;
            Some(latency / self.classes.get(class)?.usual()?)
        };
        geometric_mean(self.observed_classes.iter().filter_map(ratio))
    }

    /// The weight of an endpoint of this zone against a local one, 0 to 1; `None` where the
    /// balancer's own weight holds.
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

    /// The fraction of its share that an endpoint gets while it warms up.
    pub fn slow_start_factor(&self) -> f64 {
        self.slow_start_factor
    }

    /// Classes that ticks have looked at so far, each as often as it was: a measure of work that
    /// does not depend on a clock.
    pub fn classes_visited(&self) -> u64 {
        self.observed_classes.visited()
    }

    /// How often the traffic to this zone changed its direction to rising.
    pub fn direction_changes(&self, zone: usize) -> u64 {
        self.zones
            .get(zone)
            .map_or(0, |state| state.overflow.direction_changes())
    }
}

/// A remote zone as one tick sees it.
#[derive(Clone, Copy, Debug)]
struct RemoteZone {
    zone: usize,
    capacity: f64,
    /// Its latencies against the usual ones.
    latency_ratio: f64,
    /// 1 for the fastest remote zone with capacity, less for slower ones.
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

/// The geometric mean; 1 of nothing.
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
