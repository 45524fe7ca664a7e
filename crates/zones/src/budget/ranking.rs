//! Ranks of classes by their benefit for the cost of crossing.

/// Costs below count as this, so that a class that costs nothing ranks first.
const MIN_COST: f64 = 1e-12;

/// Benefit for cost.
pub(super) fn worth(priority_weight: f64, cost: f64) -> f64 {
    priority_weight.max(0.0) / cost.max(MIN_COST)
}

/// The rank of each class: 0 for the highest worth among those covered, 1 for the lowest, equal
/// ranks for equal worth. Classes that are not covered have rank 1.
pub(super) fn rank_by_worth(worth: &[f64], is_covered: impl Fn(usize) -> bool) -> Vec<f64> {
    let mut order: Vec<usize> = (0..worth.len())
        .filter(|class| is_covered(*class))
        .collect();
    order.sort_by(|a, b| worth[*b].total_cmp(&worth[*a]));
    let last_position = order.len().saturating_sub(1).max(1) as f64;
    let mut ranks = vec![1.0; worth.len()];
    let mut previous: Option<usize> = None;
    for (position, class) in order.into_iter().enumerate() {
        ranks[class] = match previous {
            Some(equal) if worth[equal] == worth[class] => ranks[equal],
            _ => position as f64 / last_position,
        };
        previous = Some(class);
    }
    ranks
}
