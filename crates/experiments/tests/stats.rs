//! Compares the statistics of the experiments with textbook values.

use tulipwall_experiments::stats::*;

#[test]
fn intervals_and_tests_agree_with_the_textbook() {
    let m = Mean::of(&[4.0, 5.0, 6.0, 7.0, 8.0]);
    assert_eq!((m.mean, m.variance), (6.0, 2.5));
    assert!((m.half() - 2.776 * 0.5f64.sqrt()).abs() < 1e-9);
    assert!(!m.differs(&Mean::of(&[5.0, 6.0, 7.0, 8.0, 9.0])));
    assert!(m.differs(&Mean::of(&[14.0, 15.0, 16.0, 17.0, 18.0])));
    assert!(!Mean::of(&[1.0]).differs(&Mean::of(&[2.0])) && Mean::of(&[1.0]).half().is_infinite());
    assert!(!Mean::of(&[3.0; 4]).differs(&Mean::of(&[3.0; 4])));
}

#[test]
fn one_in_twenty_equal_samples_seems_to_differ() {
    // Compares two samples of ten from the same uniform distribution, 1000 times. The test is at
    // the 5% level, so about 50 pairs should seem to differ.
    let mut state = 12345u64;
    let mut draw = || {
        state = state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (state >> 33) as f64 / (1u64 << 31) as f64
    };
    let mut sample = || Mean::of(&(0..10).map(|_| draw()).collect::<Vec<_>>());
    let differ = (0..1000).filter(|_| sample().differs(&sample())).count();
    assert!((20..=85).contains(&differ), "{differ}");
}
