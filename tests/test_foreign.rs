//! Unreadable entries that another writer left in the list of workers: none of them is used as a worker, and the
//! readable ones keep working.

use fastrand::Rng;
use rockwick::core::sched::job::JobState;
use rockwick::core::sched::state::Event;
use rockwick::platform::Platform;
use rockwick::port::fleet::{Directory, OperatorEvent, WorkerEvent, SPAN_MAX_MS};
use serde_json::{json, Value};
use standin::fleet::Fleet;

use crate::world::{job, World, POOL};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Returns an entry as a worker writes it.
fn entry() -> Value {
    json!({
        "service": "pool", "address": "127.0.0.1:9", "zone": "hall", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "machine": "m-9", "labels": ["a", "r1"],
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "clock_ms": 1, "sequence": 4
    })
}

/// Returns the entry with one field replaced, or removed if `value` is absent.
fn entry_with(field: &str, value: Option<Value>) -> Vec<u8> {
    let mut entry = entry();
    let fields = entry.as_object_mut().expect("the entry is an object");
    match value {
        Some(value) => fields.insert(field.to_string(), value),
        None => fields.remove(field),
    };
    entry.to_string().into_bytes()
}

fn unreadable_entries() -> Vec<Vec<u8>> {
    let mut unreadable = vec![
        b"".to_vec(),
        b"\xff\xfe{".to_vec(),
        b"[]".to_vec(),
        b"7".to_vec(),
    ];
    for field in ["service", "address", "zone", "state", "capacity"] {
        unreadable.push(entry_with(field, None));
        unreadable.push(entry_with(field, Some(json!(7))));
        unreadable.push(entry_with(field, Some(Value::Null)));
    }
    unreadable.push(entry_with("state", Some(json!("asleep"))));
    unreadable.push(entry_with("address", Some(json!("nowhere"))));
    unreadable.push(entry_with(
        "capacity",
        Some(json!({"cpu": "many", "mem_mb": 1})),
    ));
    unreadable.push(entry_with(
        "capacity",
        Some(json!({"cpu": -1, "mem_mb": 1})),
    ));
    unreadable.push(entry_with("capacity", Some(json!({"mem_mb": 1}))));
    unreadable.push(entry_with("labels", Some(json!("a"))));
    unreadable.push(entry_with("machine", Some(json!({}))));
    unreadable.push(entry_with(
        "service",
        Some(json!("x".repeat(60_000).into_bytes())),
    ));
    unreadable
}

#[test]
fn foreign_entries() {
    let fleet = Fleet::start("pool", 2, 50).expect("the fleet starts");
    let platform = Platform::new(fleet.address, Some(fleet.address));
    let unreadable = unreadable_entries();
    for (n, value) in unreadable.iter().enumerate() {
        fleet.put_bytes("servers", "", &format!("x-{n}"), value);
    }
    fleet.put("servers", "", "good", &entry());
    smol::block_on(async {
        let events = platform.read_workers().await.expect("read").changes;
        for (n, value) in unreadable.iter().enumerate() {
            let text = String::from_utf8_lossy(value);
            let id = format!("x-{n}");
            let is_reported =
                |w: &WorkerEvent| matches!(w, WorkerEvent::Unreadable(k, _) if *k == id);
            assert!(
                events.iter().any(is_reported),
                "{}",
                text.get(..200).unwrap_or(&text)
            );
        }
        let present = events
            .iter()
            .filter(|w| matches!(w, WorkerEvent::Present(_)));
        assert_eq!(present.count(), 3, "the readable entries are read");
    });
}

/// A worker's entry is overwritten with an unreadable one. Its tasks go on, and it gets no new ones until the worker
/// writes its entry again.
#[test]
fn foreign_overwrites() {
    let mut world = World::new(1, 1, 1);
    world.run(SETTLE_MS);
    let worker_id = world.worker_ids()[0].clone();
    world.submit("first", job(2, 1_000, 3_000));
    world.run(500);
    assert_eq!(world.running_on(&worker_id), 2);
    let unreadable = WorkerEvent::Unreadable(worker_id.clone(), "not JSON".to_string());
    world.deliver_event(0, Event::Worker(unreadable));
    world.submit("second", job(2, 1_000, 500));
    world.run(600);
    assert_eq!(
        world.running("second"),
        0,
        "an unreadable entry is no usable worker"
    );
    assert_eq!(
        world.running("first"),
        2,
        "tasks that run on the worker go on"
    );
    let good = world.worker_info(&worker_id);
    world.deliver_event(0, Event::Worker(WorkerEvent::Present(good)));
    world.run(300);
    assert_eq!(world.running("second"), 2);
}

/// An unreadable progress row affects only its own job: the next owner loads the pool and runs the other jobs.
#[test]
fn foreign_progress() {
    let mut world = World::new(2, 2, 2);
    world.run(SETTLE_MS);
    world.submit("bad", job(2, 1_000, 20_000));
    world.run(500);
    world.corrupt_progress("bad");
    let owner = world.owner_entry().expect("the pool has an owner");
    world.kill(owner);
    world.run(SETTLE_MS);
    let starts = world.starts;
    world.submit("good", job(2, 1_000, 500));
    world.run(4_000);
    assert_eq!(world.recorded_state("good"), JobState::Completed);
    assert_eq!(
        world.starts,
        starts + 2,
        "no task of the unreadable job is started again"
    );
}

/// Returns a copy of a good row with some bytes changed, removed or repeated.
fn mutate(rng: &mut Rng, good: &[u8]) -> Vec<u8> {
    let mut bytes = good.to_vec();
    for _ in 0..rng.usize(1..6) {
        let at = rng
            .usize(0..bytes.len().max(1))
            .min(bytes.len().saturating_sub(1));
        match rng.u32(0..4) {
            0 if !bytes.is_empty() => bytes[at] = rng.u8(..),
            1 if !bytes.is_empty() => {
                bytes.remove(at);
            }
            2 => bytes.truncate(at),
            _ => {
                let part = bytes[at..].to_vec();
                bytes.extend(part);
            }
        }
    }
    bytes
}

/// Random bytes in the rows of workers and of the operator: nothing panics, each row is reported in some form, and all
/// good rows between them are read.
#[test]
fn foreign_fuzz() {
    let fleet = Fleet::start("pool", 2, 50).expect("the fleet starts");
    let platform = Platform::new(fleet.address, Some(fleet.address));
    fleet.configure(7, "pool");
    let good = entry().to_string().into_bytes();
    let wave = json!({"wave": 3, "machines": ["m-0"], "duration_s": 20.5, "maximum": 2});
    let wave = wave.to_string().into_bytes();
    let mut rng = Rng::with_seed(29);
    for n in 0..600 {
        fleet.put_bytes("servers", "", &format!("x-{n}"), &mutate(&mut rng, &good));
        fleet.put_bytes(
            "op",
            "",
            &format!("wave/{}", n + 10),
            &mutate(&mut rng, &wave),
        );
        if n % 100 == 0 {
            fleet.put("servers", "", &format!("good-{n}"), &entry());
        }
    }
    smol::block_on(async {
        let events = platform.read_workers().await.expect("read").changes;
        assert_eq!(events.len(), 600 + 6 + 2);
        let is_good_entry =
            |w: &&WorkerEvent| matches!(w, WorkerEvent::Present(f) if f.id.starts_with("good"));
        assert_eq!(events.iter().filter(is_good_entry).count(), 6);
        let operator_events = platform.read_operator_table().await.expect("read").changes;
        assert!(operator_events
            .iter()
            .any(|w| matches!(w, OperatorEvent::Config(_))));
        assert!(operator_events.len() > 600, "{}", operator_events.len());
    });
}

/// Unreadable entries between the others change no decision.
#[test]
fn foreign_changes_nothing() {
    let simulate = |is_foreign: bool| {
        let mut world = World::new(5, 2, 4);
        world.run(SETTLE_MS);
        for n in 0..20 {
            if is_foreign {
                let unreadable = WorkerEvent::Unreadable(format!("x-{n}"), "not JSON".to_string());
                world.deliver_event(n % 2, Event::Worker(unreadable));
            }
            world.submit(&format!("job-{n}"), job(3, 900, 700));
            world.run(400);
        }
        world.run(8_000);
        let states = (0..20).map(|n| world.recorded_state(&format!("job-{n}")));
        (world.starts, states.collect::<Vec<_>>())
    };
    assert_eq!(simulate(true), simulate(false));
}

/// Returns a number as other writers may leave it: small, at a bound, or far too large.
fn odd_number(rng: &mut Rng) -> Value {
    const BOUNDS: [u64; 8] = [0, 1, 1 << 16, 1 << 24, 1 << 30, 1 << 32, 1 << 44, 1 << 63];
    let bound = BOUNDS[rng.usize(0..BOUNDS.len())];
    match rng.u32(0..6) {
        0 => json!(rng.u64(..)),
        1 => json!(u64::MAX),
        2 => json!(bound as f64 * 1.5),
        3 => json!(bound.saturating_add(1)),
        _ => json!(bound),
    }
}

fn odd_text(rng: &mut Rng) -> String {
    let pieces = [
        "", "pool", "a", "\u{e9}", "\r\n", "\u{0}", "r1", " ", "/", "x: 1",
    ];
    let count = rng.usize(0..4);
    (0..count)
        .map(|_| pieces[rng.usize(0..pieces.len())])
        .collect()
}

/// Entries with odd numbers and texts, and jobs with odd numbers, in a pool with good ones: nothing overflows, orders go
/// only to ids that a header can carry, and the good jobs are done.
#[test]
fn foreign_extremes() {
    let fleet = Fleet::start("pool", 1, 50).expect("the fleet starts");
    let platform = Platform::new(fleet.address, Some(fleet.address));
    for seed in 0..60 {
        let mut rng = Rng::with_seed(seed);
        for n in 0..8 {
            let mut row = entry();
            row["service"] = json!(POOL);
            row["capacity"] = json!({"cpu": odd_number(&mut rng), "mem_mb": odd_number(&mut rng),
                "gpu": odd_number(&mut rng)});
            row["born"] = odd_number(&mut rng);
            row["machine"] = json!(odd_text(&mut rng));
            row["zone"] = json!(odd_text(&mut rng));
            row["labels"] = json!([odd_text(&mut rng), odd_text(&mut rng)]);
            let id = format!("x-{n}-{}", odd_text(&mut rng));
            fleet.put("servers", "", &id, &row);
        }
        let events = smol::block_on(platform.read_workers())
            .expect("read")
            .changes;
        let mut world = World::new(seed, 2, 2);
        world.run(SETTLE_MS);
        let mut present = 0;
        for event in events {
            if let WorkerEvent::Present(info) = &event {
                assert!(
                    info.id.bytes().all(|b| (b' '..=b'~').contains(&b)),
                    "{info:?}"
                );
                present += u32::from(info.id.starts_with("x-"));
            }
            (0..2).for_each(|n| world.deliver_event(n, Event::Worker(event.clone())));
        }
        for n in 0..8 {
            let number = |rng: &mut Rng| odd_number(rng).as_f64().unwrap_or(0.0) as u64;
            // The simulated workers take as long as estimated, in their own sums.
            let estimate_ms = number(&mut rng).min(SPAN_MAX_MS);
            let mut odd = job(rng.u16(1..40), number(&mut rng), estimate_ms);
            odd.steps[0].mem_mb = number(&mut rng);
            odd.steps[0].gang = rng.bool();
            if odd.fault().is_none() {
                world.submit(&format!("odd-{n}"), odd);
            }
        }
        world.submit("good", job(2, 1_000, 300));
        world.run(SETTLE_MS);
        assert_eq!(
            world.recorded_state("good"),
            JobState::Completed,
            "seed {seed}, {present} odd"
        );
    }
}
