//! The resource usage of attempts, measured and estimated.

use crate::config::{Price, ZoneConfig};
use crate::remap::remap_classes;
use tulipwall::IndexOrigin;

/// The assumed size of an attempt before any was observed, in bytes in each direction.
const INITIAL_BYTES: f64 = 1024.0;
/// Factor by which the size of the largest recent attempt decays with each attempt.
const LARGEST_DECAY: f64 = 0.98;

/// The resource usage of traffic, in the units of all limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Attempts written completely.
    pub attempts: f64,
    /// Bytes written and read.
    pub bytes: f64,
    /// Cost at the price of the link.
    pub money: f64,
}

/// Traffic over a link, as counted on the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Attempts written completely.
    pub attempts: u64,
    /// Bytes written to endpoints.
    pub bytes_sent: u64,
    /// Bytes read from endpoints.
    pub bytes_received: u64,
}

/// The size of the largest recent attempt of a class to a zone, in bytes in each direction.
#[derive(Clone, Copy, Debug)]
struct LargestAttempt {
    bytes_sent: f64,
    bytes_received: f64,
}

impl LargestAttempt {
    const INITIAL: LargestAttempt = LargestAttempt {
        bytes_sent: INITIAL_BYTES,
        bytes_received: INITIAL_BYTES,
    };

    fn observe(&mut self, transfer: Transfer) {
        let sent = transfer.bytes_sent as f64;
        let received = transfer.bytes_received as f64;
        self.bytes_sent = (self.bytes_sent * LARGEST_DECAY).max(sent);
        self.bytes_received = (self.bytes_received * LARGEST_DECAY).max(received);
    }
}

/// Estimates the resource usage of attempts by zone and class.
#[derive(Clone, Debug)]
pub(super) struct UsageEstimator {
    /// The price of the link to each zone, by zone index.
    prices: Vec<Price>,
    /// By zone, then by class.
    largest: Vec<Vec<LargestAttempt>>,
}

impl UsageEstimator {
    pub(super) fn new(config: &ZoneConfig) -> UsageEstimator {
        let initial_by_class = vec![LargestAttempt::INITIAL; config.classes.len()];
        UsageEstimator {
            prices: prices(config),
            largest: vec![initial_by_class; config.zone_count_with_unnamed()],
        }
    }

    /// Applies a new configuration with the same zones.
    pub(super) fn reload(&mut self, config: &ZoneConfig, origins: &[IndexOrigin]) {
        self.prices = prices(config);
        for zone in &mut self.largest {
            let mut former: Vec<_> = std::mem::take(zone).into_iter().map(Some).collect();
            *zone = remap_classes(origins, &mut former)
                .into_iter()
                .map(|largest| largest.unwrap_or(LargestAttempt::INITIAL))
                .collect();
        }
    }

    pub(super) fn zone_count(&self) -> usize {
        self.largest.len()
    }

    /// The estimated usage of one more attempt, based on the largest recent one.
    pub(super) fn estimate(&self, to: usize, class: usize) -> ResourceUsage {
        let largest = self
            .largest
            .get(to)
            .and_then(|classes| classes.get(class))
            .copied()
            .unwrap_or(LargestAttempt::INITIAL);
        let money = self.cost(
            to,
            Transfer {
                attempts: 1,
                bytes_sent: largest.bytes_sent as u64,
                bytes_received: largest.bytes_received as u64,
            },
        );
        ResourceUsage {
            attempts: 1.0,
            bytes: largest.bytes_sent + largest.bytes_received,
            money,
        }
    }

    /// The resource usage of this traffic.
    pub(super) fn measure(&self, to: usize, transfer: Transfer) -> ResourceUsage {
        ResourceUsage {
            attempts: transfer.attempts as f64,
            bytes: (transfer.bytes_sent + transfer.bytes_received) as f64,
            money: self.cost(to, transfer),
        }
    }

    /// Updates the estimate with a completed attempt. An attempt that was not written completely is
    /// ignored, because it does not show the size of a whole one.
    pub(super) fn observe(&mut self, to: usize, class: usize, transfer: Transfer) {
        if transfer.attempts == 0 {
            return;
        }
        let largest = self.largest.get_mut(to).and_then(|z| z.get_mut(class));
        if let Some(largest) = largest {
            largest.observe(transfer);
        }
    }

    fn cost(&self, to: usize, transfer: Transfer) -> f64 {
        let Some(price) = self.prices.get(to) else {
            return 0.0;
        };
        price.cost(
            transfer.attempts,
            transfer.bytes_sent,
            transfer.bytes_received,
        )
    }
}

fn prices(config: &ZoneConfig) -> Vec<Price> {
    (0..config.zone_count_with_unnamed())
        .map(|zone| config.link(zone).price)
        .collect()
}
