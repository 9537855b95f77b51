//! Entries of another writer in the list of workers: such an entry names no worker to use, and all others hold.

use fastrand::Rng;
use rockwick::core::sched::job::JobState;
use rockwick::core::sched::state::Event;
use rockwick::platform::Platform;
use rockwick::port::fleet::{Directory, OperatorEvent, WorkerEvent};
use serde_json::{json, Value};
use standin::fleet::Fleet;

use crate::world::{job, World};

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// An entry as a worker writes it.
fn entry() -> Value {
    json!({
        "service": "pool", "address": "127.0.0.1:9", "zone": "hall", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "machine": "m-9", "labels": ["a", "r1"],
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0}, "clock_ms": 1, "sequence": 4
    })
}

/// The entry with one field changed, or taken out.
fn with(field: &str, value: Option<Value>) -> Vec<u8> {
    let mut entry = entry();
    let fields = entry.as_object_mut().expect("it is an object");
    match value {
        Some(value) => fields.insert(field.to_string(), value),
        None => fields.remove(field),
    };
    entry.to_string().into_bytes()
}

fn bad_entries() -> Vec<Vec<u8>> {
    let mut bad = vec![
        b"".to_vec(),
        b"\xff\xfe{".to_vec(),
        b"[]".to_vec(),
        b"7".to_vec(),
    ];
    for field in ["service", "address", "zone", "state", "capacity"] {
        bad.push(with(field, None));
        bad.push(with(field, Some(json!(7))));
        bad.push(with(field, Some(Value::Null)));
    }
    bad.push(with("state", Some(json!("asleep"))));
    bad.push(with("address", Some(json!("nowhere"))));
    bad.push(with("capacity", Some(json!({"cpu": "many", "mem_mb": 1}))));
    bad.push(with("capacity", Some(json!({"cpu": -1, "mem_mb": 1}))));
    bad.push(with("capacity", Some(json!({"mem_mb": 1}))));
    bad.push(with("labels", Some(json!("a"))));
    bad.push(with("machine", Some(json!({}))));
    bad.push(with(
        "service",
        Some(json!("x".repeat(60_000).into_bytes())),
    ));
    bad
}

#[test]
fn foreign_entries() {
    let fleet = Fleet::start("pool", 2, 50).expect("it starts");
    let platform = Platform::new(fleet.address, Some(fleet.address));
    let bad = bad_entries();
    for (n, value) in bad.iter().enumerate() {
        fleet.put_bytes("servers", "", &format!("x-{n}"), value);
    }
    fleet.put("servers", "", "good", &entry());
    smol::block_on(async {
        let words = platform.workers().await.expect("read").changes;
        for (n, value) in bad.iter().enumerate() {
            let text = String::from_utf8_lossy(value);
            let id = format!("x-{n}");
            let is_told = |w: &WorkerEvent| matches!(w, WorkerEvent::Unreadable(k, _) if *k == id);
            assert!(
                words.iter().any(is_told),
                "{}",
                text.get(..200).unwrap_or(&text)
            );
        }
        let present = words
            .iter()
            .filter(|w| matches!(w, WorkerEvent::Present(_)));
        assert_eq!(present.count(), 3, "the good ones");
    });
}

/// A worker's entry is overwritten with one that can't be read: what runs there goes on, nothing new comes, until the
/// worker states itself again.
#[test]
fn foreign_overwrites() {
    let mut world = World::new(1, 1, 1);
    world.run(SETTLE_MS);
    let life = world.lives()[0].clone();
    world.submit("first", job(2, 1_000, 3_000));
    world.run(500);
    assert_eq!(world.running_on(&life), 2);
    let bad = WorkerEvent::Unreadable(life.clone(), "not JSON".to_string());
    world.tell(0, Event::Worker(bad));
    world.submit("second", job(2, 1_000, 500));
    world.run(600);
    assert_eq!(world.running("second"), 0, "it names no worker to use");
    assert_eq!(world.running("first"), 2, "what runs there goes on");
    let good = world.fact(&life);
    world.tell(0, Event::Worker(WorkerEvent::Present(good)));
    world.run(300);
    assert_eq!(world.running("second"), 2);
}

/// A row of progress that can't be read costs its own job, not the pool: the next owner serves the others.
#[test]
fn foreign_progress() {
    let mut world = World::new(2, 2, 2);
    world.run(SETTLE_MS);
    world.submit("bad", job(2, 1_000, 20_000));
    world.run(500);
    world.spoil_progress("bad");
    let owner = world.owner_entry().expect("it is owned");
    world.kill(owner);
    world.run(SETTLE_MS);
    let starts = world.starts;
    world.submit("good", job(2, 1_000, 500));
    world.run(4_000);
    assert_eq!(world.recorded("good"), JobState::Completed);
    assert_eq!(
        world.starts,
        starts + 2,
        "nothing of the other is started anew"
    );
}

/// A good row with some of its bytes changed, taken out or doubled.
fn mutated(rng: &mut Rng, good: &[u8]) -> Vec<u8> {
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

/// Rows of any bytes in the list of workers and among the operator's: nothing panics, each row is told as something, and
/// the good ones between them are all there.
#[test]
fn foreign_fuzz() {
    let fleet = Fleet::start("pool", 2, 50).expect("it starts");
    let platform = Platform::new(fleet.address, Some(fleet.address));
    fleet.configure(7, "pool");
    let good = entry().to_string().into_bytes();
    let wave = json!({"wave": 3, "machines": ["m-0"], "duration_s": 20.5, "maximum": 2});
    let wave = wave.to_string().into_bytes();
    let mut rng = Rng::with_seed(29);
    for n in 0..600 {
        fleet.put_bytes("servers", "", &format!("x-{n}"), &mutated(&mut rng, &good));
        fleet.put_bytes(
            "op",
            "",
            &format!("wave/{}", n + 10),
            &mutated(&mut rng, &wave),
        );
        if n % 100 == 0 {
            fleet.put("servers", "", &format!("good-{n}"), &entry());
        }
    }
    smol::block_on(async {
        let words = platform.workers().await.expect("read").changes;
        assert_eq!(words.len(), 600 + 6 + 2);
        let is_responsive =
            |w: &&WorkerEvent| matches!(w, WorkerEvent::Present(f) if f.id.starts_with("good"));
        assert_eq!(words.iter().filter(is_responsive).count(), 6);
        let said = platform.operator().await.expect("read").changes;
        assert!(said.iter().any(|w| matches!(w, OperatorEvent::Config(_))));
        assert!(said.len() > 600, "{}", said.len());
    });
}

/// With entries that can't be read between the others, what is decided is the same as without.
#[test]
fn foreign_changes_nothing() {
    let play = |is_foreign: bool| {
        let mut world = World::new(5, 2, 4);
        world.run(SETTLE_MS);
        for n in 0..20 {
            if is_foreign {
                let bad = WorkerEvent::Unreadable(format!("x-{n}"), "not JSON".to_string());
                world.tell(n % 2, Event::Worker(bad));
            }
            world.submit(&format!("job-{n}"), job(3, 900, 700));
            world.run(400);
        }
        world.run(8_000);
        let states = (0..20).map(|n| world.recorded(&format!("job-{n}")));
        (world.starts, states.collect::<Vec<_>>())
    };
    assert_eq!(play(true), play(false));
}
