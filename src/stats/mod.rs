//! Statistics that do not depend on load balancing: averages, histograms, significance tests and
//! hashing.

mod decaying_counts;
mod ewma;
mod latency_histogram;
mod likelihood;
mod max_tree;
mod outcome_counts;
mod rendezvous;
mod rendezvous_tree;
mod rendezvous_trie;

#[cfg(test)]
#[path = "../../tests/unit/stats/mod.rs"]
mod tests;

pub(crate) use decaying_counts::DecayingCounts;
pub(crate) use ewma::Ewma;
pub(crate) use latency_histogram::LatencyHistogram;
pub(crate) use likelihood::{
    chernoff_bound_of_fair_coin, chernoff_bound_of_mean, ln_factorial, log_likelihood_ratio,
    Proportion,
};
pub(crate) use max_tree::MaxTree;
pub(crate) use outcome_counts::OutcomeCounts;
pub(crate) use rendezvous_tree::{KindWeight, RankedMembers, RendezvousTree};
pub(crate) use rendezvous_trie::RendezvousMember;
