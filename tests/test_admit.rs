//! Admission and routing decisions of one entry: quotas, queues, windows, ejection, retry budgets and backoff.

use rockwick::core::admit::{Bucket, Queue, Shed};
use rockwick::core::config::Class;
use rockwick::core::health::{may_eject, share_percent, Change, ExchangeOutcome, Health};
use rockwick::core::retry::{Backoff, Cost, RetryBudget};
use rockwick::core::route::{class_may_enter, pick_candidate, Candidate, Window};

#[test]
fn admit_quota_split() {
    // A quota of 90 requests a second is split over 9 entries: together they must not exceed it.
    let mut buckets: Vec<Bucket> = (0..9).map(|_| Bucket::new(90, 90, 9, 0)).collect();
    let mut taken = 0;
    for ms in 0..10_000 {
        for b in &mut buckets {
            taken += u32::from(b.take(ms).is_ok());
        }
    }
    let most = 90 + 90 * 10;
    assert!(taken <= most, "{taken} of {most}");
    assert!(taken >= most * 95 / 100, "{taken} of {most}");
}

#[test]
fn admit_quota_small() {
    // A third of one request a second, asked for more often than a thousandth of a request is earned.
    let mut bucket = Bucket::new(1, 1, 3, 0);
    let taken = (0..60_000).step_by(4).filter(|ms| bucket.take(*ms).is_ok());
    let taken = taken.count();
    assert!((19..=21).contains(&taken), "{taken} of 20 in a minute");
}

#[test]
fn admit_quota_wait() {
    let mut bucket = Bucket::new(2, 1, 1, 0);
    assert_eq!(bucket.take(0), Ok(()));
    assert_eq!(bucket.take(0), Err(500));
    assert_eq!(bucket.take(250), Err(250));
    assert_eq!(bucket.take(500), Ok(()));
    assert_eq!(
        Bucket::new(0, 1, 3, 0).take(0),
        Ok(()),
        "a rate of 0 is no limit"
    );
}

#[test]
fn admit_queue_order() {
    let mut queue = Queue::new();
    for (n, class) in [Class::Batch, Class::Normal, Class::Urgent, Class::Normal]
        .iter()
        .enumerate()
    {
        assert_eq!(queue.enqueue(*class, n, 10, 1, 1_000), Ok(None));
    }
    let order: Vec<usize> = std::iter::from_fn(|| queue.dequeue()).collect();
    assert_eq!(order, [2, 1, 3, 0]);
}

#[test]
fn admit_queue_full() {
    let mut queue = Queue::new();
    assert_eq!(queue.enqueue(Class::Batch, 1, 2, 1, 1_000), Ok(None));
    assert_eq!(queue.enqueue(Class::Normal, 2, 2, 1, 1_000), Ok(None));
    assert_eq!(queue.enqueue(Class::Batch, 3, 2, 1, 1_000), Err(Shed::Full));
    assert_eq!(
        queue.enqueue(Class::Urgent, 4, 2, 1, 1_000),
        Ok(Some(1)),
        "a batch request is dropped for it"
    );
    assert_eq!(queue.enqueue(Class::Urgent, 5, 2, 1, 1_000), Ok(Some(2)));
    assert_eq!(
        queue.enqueue(Class::Urgent, 6, 2, 1, 1_000),
        Err(Shed::Full)
    );
}

#[test]
fn admit_queue_too_late() {
    let mut queue = Queue::new();
    queue.record_exchange(100);
    for n in 0..8 {
        assert_eq!(queue.enqueue(Class::Normal, n, 100, 4, 10_000), Ok(None));
    }
    assert_eq!(queue.expected_wait_ms(Class::Normal, 4), 300);
    assert_eq!(
        queue.enqueue(Class::Normal, 9, 100, 4, 299),
        Err(Shed::TooLate)
    );
    assert_eq!(
        queue.enqueue(Class::Urgent, 9, 100, 4, 299),
        Ok(None),
        "an urgent request goes before the waiting ones"
    );
}

#[test]
fn admit_window() {
    let mut w = Window::new(8, 9);
    assert_eq!(
        w.size(),
        1,
        "each of nine entries starts with a window of one"
    );
    for n in 1..=16 {
        w.grow();
        assert_eq!(
            w.size(),
            if n < 16 { 1 } else { 2 },
            "the window grows by one after sixteen answers"
        );
    }
    for _ in 0..200 {
        w.grow();
    }
    assert_eq!(w.size(), 8);
    w.shrink();
    assert_eq!(w.size(), 6);
    for _ in 0..20 {
        w.shrink();
    }
    assert_eq!(w.size(), 1);
}

#[test]
fn admit_pick() {
    let candidate = |in_flight, window, is_excluded| Candidate {
        in_flight,
        window,
        is_excluded,
        is_same_hall: true,
    };
    let mut rng = fastrand::Rng::with_seed(7);
    let list = [
        candidate(4, 4, false),
        candidate(0, 4, true),
        candidate(3, 4, false),
        candidate(1, 4, false),
    ];
    let mut counts = [0; 4];
    for _ in 0..1_000 {
        let at = pick_candidate(list.len(), |i| list[i], &mut rng).expect("there is room");
        counts[at] += 1;
    }
    assert_eq!(
        (counts[0], counts[1]),
        (0, 0),
        "neither the full candidate nor the excluded one"
    );
    assert!(
        counts[3] > counts[2],
        "the less loaded candidate is picked more often: {counts:?}"
    );
    assert_eq!(pick_candidate(2, |i| list[i], &mut rng), None);
    assert_eq!(pick_candidate(0, |i| list[i], &mut rng), None);
}

#[test]
fn admit_batch_leaves_room() {
    // 80 slots over 9 entries: batch requests of all entries together leave one slot in eight free.
    let mut batch = 0;
    for _ in 0..9 {
        let mut here = 0;
        while class_may_enter(Class::Batch, here, 80, 9) {
            here += 1;
        }
        batch += here;
    }
    assert!(batch <= 70, "{batch}");
    assert!(class_may_enter(Class::Urgent, 70, 80, 9));
}

#[test]
fn admit_ejection() {
    let mut h = Health::default();
    for _ in 0..4 {
        assert_eq!(
            h.record_outcome(ExchangeOutcome::Bad, true, 0),
            Change::None
        );
    }
    assert_eq!(
        h.record_outcome(ExchangeOutcome::Full, true, 0),
        Change::None,
        "a full backend server is not at fault"
    );
    assert_eq!(
        h.record_outcome(ExchangeOutcome::Bad, true, 0),
        Change::Ejected(2_000)
    );
    assert!(h.is_ejected(1_999) && !h.is_ejected(2_000));
    assert_eq!(
        h.record_outcome(ExchangeOutcome::Bad, true, 2_000),
        Change::Ejected(6_000),
        "one fault during probation ejects again"
    );
    assert_eq!(
        h.record_outcome(ExchangeOutcome::Good, true, 6_000),
        Change::Readmitted
    );
    assert_eq!(
        h.record_outcome(ExchangeOutcome::Bad, true, 6_001),
        Change::None
    );
    assert_eq!(share_percent(6_000, 6_000), 10);
    assert_eq!(share_percent(6_000, 8_500), 50);
    assert_eq!(share_percent(6_000, 60_000), 100);
}

#[test]
fn admit_ejection_cap() {
    assert!(may_eject(0, 2) && !may_eject(1, 2) && !may_eject(0, 1));
    let mut h = Health::default();
    for _ in 0..50 {
        assert_eq!(
            h.record_outcome(ExchangeOutcome::Bad, false, 0),
            Change::None
        );
    }
}

#[test]
fn admit_retry_budget() {
    let budget = RetryBudget::new();
    let saved = std::iter::from_fn(|| budget.spend(Cost::Lost, 0).then_some(())).count();
    assert_eq!(saved, 10);
    for _ in 0..1_000 {
        budget.earn();
    }
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        retries += u32::from(budget.spend(Cost::Lost, 0));
    }
    assert!(
        retries <= 110,
        "at most a tenth of the requests and the saved retries: {retries}"
    );
}

#[test]
fn admit_backoff() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut b = Backoff::default();
    for full in [500, 1_000, 2_000, 4_000, 4_000, 4_000] {
        let ms = b.next_pause(&mut rng);
        assert!((full / 2..=full).contains(&ms), "{ms} of {full}");
    }
    b.reset();
    assert!(b.next_pause(&mut rng) <= 500);
}
