//! How a pool's jobs are spread over parts of the store.

use std::collections::BTreeMap;

use rockwick::core::sched::rows::{intake_part, intake_parts, pool_of_part};

#[test]
fn intake_spreads() {
    let mut jobs: BTreeMap<String, u32> = BTreeMap::new();
    for n in 0..6_400u64 {
        let part = intake_part("pool", &format!("{:016x}", n * 0x9e37_79b9));
        *jobs.entry(part).or_default() += 1;
    }
    let most = jobs.values().max().copied();
    assert!(most < Some(200), "100 a part on average, {most:?} in one");
}

#[test]
fn intake_parts_known() {
    let parts = intake_parts("a/b");
    assert!(parts.contains(&intake_part("a/b", "00000000000000aa")));
    assert!(parts.iter().all(|part| pool_of_part(part) == "a/b"));
}
