//! Statistics without a word of balancing: averages, histograms, tests and hashing.

mod ewma;
mod latency_histogram;
mod likelihood;
mod outcome_counts;
mod rendezvous;
mod rendezvous_tree;
mod rendezvous_trie;

pub(crate) use ewma::Ewma;
pub(crate) use latency_histogram::LatencyHistogram;
pub(crate) use likelihood::{
    chernoff_bound_of_fair_coin, chernoff_bound_of_mean, ln_factorial, log_likelihood_ratio,
    Proportion,
};
pub(crate) use outcome_counts::OutcomeCounts;
pub(crate) use rendezvous_tree::{KindWeight, RankedMembers, RendezvousTree};
pub(crate) use rendezvous_trie::RendezvousMember;
