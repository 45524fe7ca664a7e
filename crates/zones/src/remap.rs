//! Moves per-class values to the class indices of a new configuration.

use tulipwall::IndexOrigin;

/// Takes the values of the remaining classes out of `old` and returns them by new class index.
///
/// The values left in `old` belong to classes that were removed or whose index was reassigned to
/// another class.
pub(crate) fn remap_classes<T>(origins: &[IndexOrigin], old: &mut [Option<T>]) -> Vec<Option<T>> {
    let mut take = |index: usize| old.get_mut(index).and_then(Option::take);
    let mut kept: Vec<Option<T>> = origins.iter().map(|_| None).collect();
    // Moved classes take their values first, because another class may use their former index now.
    for (index, origin) in origins.iter().enumerate() {
        if let IndexOrigin::MovedFrom(former) = origin {
            kept[index] = take(*former);
        }
    }
    for (index, origin) in origins.iter().enumerate() {
        if matches!(origin, IndexOrigin::Same | IndexOrigin::Retired) {
            kept[index] = take(index);
        }
    }
    kept
}
