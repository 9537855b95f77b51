//! Many whole bodies of legal size whose content is far beyond what a job has.

use http_types::Method;
use serde_json::{json, Value};

use super::{send, Entry};

const CLIENTS: usize = 32;

/// Calls that each client makes, one after the other.
const CALLS: usize = 12;

/// Bytes of the large content of a body.
const TEXT_BYTES: usize = 250_000;

/// A quarter of the memory of the smallest host that entries run on.
const MEMORY_MAX_MB: u64 = 64;

/// A tenth of the descriptors that a process may have there.
const OPEN_FILES_MAX: usize = 400;

/// Returns a job with a field of its only step replaced.
fn job_with(field: &str, value: Value) -> String {
    let mut step = json!({"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50});
    step[field] = value;
    json!({"spec": "work", "steps": [step]}).to_string()
}

fn text() -> String {
    "x".repeat(TEXT_BYTES)
}

/// Has the crowd submit this body under ids of its own, and checks that the entry bears it.
fn assert_bears(body: &str) {
    let mut entry = Entry::start();
    let callers = entry.callers;
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            scope.spawn(move || {
                for n in 0..CALLS {
                    let path = format!("/q/{:016x}", 0x1000 + client * CALLS + n);
                    // Whether it is taken, refused or cut off is up to the entry.
                    let _ = send(callers, Method::Post, &path, body);
                }
            });
        }
    });
    entry.submit_ordinary("00000000000000bb");
    entry.assert_bounded(MEMORY_MAX_MB, OPEN_FILES_MAX);
}

#[test]
fn hostile_spec() {
    let step = json!({"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50});
    assert_bears(&json!({"spec": text(), "steps": [step]}).to_string());
}

#[test]
fn hostile_affinity() {
    assert_bears(&job_with("affinity", json!(text())));
}

#[test]
fn hostile_image() {
    assert_bears(&job_with("image", json!(text())));
}

#[test]
fn hostile_requirements() {
    assert_bears(&job_with("requirements", json!(text())));
}

#[test]
fn hostile_depends_on() {
    let earlier = json!({"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50});
    let mut step = earlier.clone();
    step["depends_on"] = json!(vec![0; 120_000]);
    assert_bears(&json!({"spec": "work", "steps": [earlier, step]}).to_string());
}

/// The reason of a refusal quotes what could not be decoded, and is kept with the latest decisions.
#[test]
fn hostile_wrong_type() {
    assert_bears(&job_with("count", json!(text())));
}

#[test]
fn hostile_empty_steps() {
    assert_bears(&json!({"steps": vec![json!({}); 83_000]}).to_string());
}

/// A step of a few bytes stands for many tasks, each of which the owner of the pool keeps.
#[test]
fn hostile_many_tasks() {
    assert_bears(&job_with("count", json!(2_000)));
}

/// The rounds of a job that have begun are kept with their tasks.
#[test]
fn hostile_many_rounds() {
    let step = json!({"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50});
    assert_bears(&json!({"spec": "work", "steps": [step], "repeat_count": 100_000}).to_string());
}

/// As many steps as the row of a job has room for.
#[test]
fn hostile_many_steps() {
    let step = json!({"count": 2, "cpu": 500, "mem_mb": 100});
    assert_bears(&json!({"spec": "work", "steps": vec![step; 1_000]}).to_string());
}
