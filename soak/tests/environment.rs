//! Soaks that run at the same time.

use std::path::PathBuf;

use soak::fleet::Environment;
use stand_ins::layout::STORE_PORT;

// Guards against a soak that ends because another one uses its addresses.
#[test]
fn soaks_at_the_same_time_have_different_addresses() {
    let start = || Environment::new(PathBuf::new(), PathBuf::new(), 7);
    let (first, second, third) = (start(), start(), start());
    let addresses = [&first, &second, &third].map(|e| e.layout.address(0, STORE_PORT));
    assert_ne!(addresses[0], addresses[1]);
    assert_ne!(addresses[1], addresses[2]);
    assert_ne!(addresses[0], addresses[2]);
    drop(first);
    assert_eq!(start().layout.address(0, STORE_PORT), addresses[0]);
}
