//! Values kept by class, carried over to the class indices of a new configuration.

use tulipwall::IndexOrigin;

/// Takes the values of the classes that remain out of `old` and returns them by their new index.
///
/// What stays in `old` belongs to classes that were removed, or whose index another class has now.
pub(crate) fn remap_classes<T>(origins: &[IndexOrigin], old: &mut [Option<T>]) -> Vec<Option<T>> {
    let mut take = |index: usize| old.get_mut(index).and_then(Option::take);
    let mut kept: Vec<Option<T>> = origins.iter().map(|_| None).collect();
    // A moved class takes its value first: its former index may be another class's by now.
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
