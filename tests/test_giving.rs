//! How long a pool gives up hosts of its late work while other pools lack some.

use rockwick::core::sched::giving::Giving;
use rockwick::core::sched::offers::{Offers, Taken};

/// Passes a second, and the bound on giving without a sign that anybody gets a host.
const PASSES_PER_S: u64 = 10;
const GIVE_S: u64 = 2;

struct Fixture {
    giving: Giving,
    offers: Offers,
    now_ms: u64,
}

impl Fixture {
    fn new() -> Self {
        Self {
            giving: Giving::default(),
            offers: Offers::default(),
            now_ms: 10_000,
        }
    }

    /// Runs passes for some seconds and returns whether the pool gives hosts at the end.
    fn pass_seconds(&mut self, seconds: u64, lacked: u64) -> bool {
        let mut gives = false;
        for _ in 0..seconds * PASSES_PER_S {
            self.now_ms += 1_000 / PASSES_PER_S;
            gives = self.giving.note(lacked, &self.offers, self.now_ms);
        }
        gives
    }
}

/// A pool whose hosts nobody took kept them closed for as long as another pool lacked one.
#[test]
fn giving_untaken() {
    let mut fixture = Fixture::new();
    assert!(!fixture.pass_seconds(1, 0));
    assert!(fixture.pass_seconds(1, 1));
    assert!(!fixture.pass_seconds(GIVE_S, 1));
    assert!(!fixture.pass_seconds(10, 1));
}

/// Hosts are given on while others get some: the number that they lack changes, or this pool's are taken.
#[test]
fn giving_goes_on() {
    let mut fixture = Fixture::new();
    for n in 0..10 {
        assert!(fixture.pass_seconds(1, 40 - n));
    }
    for n in 0..10 {
        let host = format!("m-{n}");
        fixture.offers.row.taken.insert(host, Taken::default());
        assert!(fixture.pass_seconds(1, 30));
    }
    assert!(!fixture.pass_seconds(GIVE_S, 30));
    assert!(fixture.pass_seconds(1, 31), "another host is lacked");
}
