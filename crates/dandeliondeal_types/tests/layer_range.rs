//! Containment of layer ranges.

use dandeliondeal_types::LayerRange;

#[test]
fn range_contains() {
    let range = LayerRange::new(2, 6);
    assert!(range.contains(LayerRange::new(2, 6)));
    assert!(range.contains(LayerRange::new(3, 4)));
    assert!(!range.contains(LayerRange::new(1, 4)));
    assert!(!range.contains(LayerRange::new(5, 7)));
}
