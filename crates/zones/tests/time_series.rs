//! Time series of cross-zone traffic over long periods.

use std::time::Duration;
use tulipwall_zones::*;

#[test]
fn drops_old_bins_and_keeps_no_empty_ones() {
    let mut series = TimeSeries::new(Duration::from_secs(10), 360);
    for n in 0..2000 {
        series.bin(Duration::from_secs(n * 25)).attempts += 1;
    }
    assert!(series.bins().count() <= 144 + 1);
    let (first, last) = (
        series.bins().next().unwrap().index,
        series.bins().last().unwrap().index,
    );
    assert!(last - first < 360);
}

#[test]
fn merges_series_by_adding_their_bins() {
    let (mut one, mut two) = (
        TimeSeries::new(Duration::from_secs(1), 10),
        TimeSeries::new(Duration::from_secs(1), 10),
    );
    for n in [1, 3, 5] {
        one.bin(Duration::from_secs(n)).bytes_sent += 10;
    }
    for n in [3, 4, 5, 12] {
        two.bin(Duration::from_secs(n)).bytes_sent += 1;
    }
    one.merge(&two);
    let bins: Vec<(u32, u64)> = one.bins().map(|b| (b.index, b.bytes_sent)).collect();
    assert_eq!(bins, [(3, 11), (4, 1), (5, 11), (12, 1)]);
}
