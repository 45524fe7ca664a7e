//! Experiments on a model of the whole installation, and load on real agents.
//!
//! The model is [`tulipwall_testkit::simulation`]: the real decisions, zones and client retries in
//! simulated time, with the rules checked from outside. Here a scenario in KDL says what world it
//! is, what varies and over how many seeds; runs are spread over cores, kept as records, compared
//! and drawn.

pub mod fleet;
pub mod load;
pub mod records;
pub mod report;
pub mod run;
pub mod scale;
pub mod scenario;
pub mod stats;
