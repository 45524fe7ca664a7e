//! Ranks of classes by their benefit per cost of crossing.

/// Lower costs are raised to this value, so that a class that costs nothing ranks first.
const MIN_COST: f64 = 1e-12;

/// The benefit of a response divided by the cost of an attempt.
pub(super) fn benefit_per_cost(priority_weight: f64, cost: f64) -> f64 {
    priority_weight.max(0.0) / cost.max(MIN_COST)
}

/// The rank of each class: 0 for the highest benefit per cost among the covered classes, 1 for the
/// lowest, equal ranks for equal values. Classes that are not covered have rank 1.
pub(super) fn rank_by_benefit_per_cost(
    benefit_per_cost: &[f64],
    is_covered: impl Fn(usize) -> bool,
) -> Vec<f64> {
    let mut order: Vec<usize> = (0..benefit_per_cost.len())
        .filter(|class| is_covered(*class))
        .collect();
    order.sort_by(|a, b| benefit_per_cost[*b].total_cmp(&benefit_per_cost[*a]));
    let last_position = order.len().saturating_sub(1).max(1) as f64;
    let mut ranks = vec![1.0; benefit_per_cost.len()];
    let mut previous: Option<usize> = None;
    for (position, class) in order.into_iter().enumerate() {
        ranks[class] = match previous {
            Some(equal) if benefit_per_cost[equal] == benefit_per_cost[class] => ranks[equal],
            _ => position as f64 / last_position,
        };
        previous = Some(class);
    }
    ranks
}
