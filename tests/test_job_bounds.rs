//! What callers submit is bounded where it is accepted: a job within the documented limits is accepted, one beyond them
//! is refused before anything is written, and no text of a caller's makes a log line or a refusal long.

use std::sync::Arc;

use http_types::{Method, Request as Head};
use rockwick::core::sched::job::{JobSpec, JobState, StepSpec, TASKS_MAX};
use rockwick::core::sched::operation::{Operation, Outcome};
use rockwick::core::sched::routing::Routing;
use rockwick::event::{Code, Decision, Subject};
use rockwick::http::Incoming;
use rockwick::log::{to_json_line, Log};
use rockwick::platform::edge;
use rockwick::port::fleet::{FleetConfig, QueueConfig};
use serde_json::{json, Value};
use standin::fleet::Fleet;

use crate::test_serve::{call, start_entry};
use crate::world::{job, World};

const ID: &str = "00000000000000aa";

/// The longest payload of a job by the users' specifications.
const PAYLOAD_BYTES: usize = 4_000;

/// The longest key of the users' store, and so the longest name.
const NAME_BYTES: usize = 200;

/// The longest line of the log about a call, and the longest reason of a refusal.
const LINE_BYTES: usize = 4_096;

fn routing() -> Routing {
    let queue = QueueConfig {
        name: "queue".to_string(),
        host: "queue.example".to_string(),
        path_prefix: "/q/".to_string(),
        is_public: true,
        ..QueueConfig::default()
    };
    Routing::new(Arc::new(FleetConfig {
        queues: [("queue".to_string(), queue)].into(),
        ..FleetConfig::default()
    }))
}

fn decode(body: &Value) -> Result<JobSpec, Outcome> {
    let url = format!("http://queue.example/q/{ID}");
    let mut head = Head::new(Method::Post, &*url);
    head.insert_header("host", "queue.example");
    let incoming = Incoming {
        head,
        body: body.to_string().into_bytes(),
        arrived: std::time::Instant::now(),
    };
    match edge::decode(&incoming, Some(&routing()), 0)?.operation {
        Operation::Submit(_, spec) => Ok(*spec),
        other => panic!("{other:?}"),
    }
}

fn step() -> Value {
    json!({"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 50})
}

fn step_with(field: &str, value: Value) -> Value {
    let mut step = step();
    step[field] = value;
    step
}

fn job_of(steps: Vec<Value>) -> Value {
    json!({"spec": "work", "steps": steps})
}

/// Checks that a body is refused as malformed, and returns the body of the answer.
fn refusal_of(body: &Value) -> Vec<u8> {
    let outcome = decode(body).expect_err("a refusal");
    assert!(matches!(outcome, Outcome::Malformed(_)), "{outcome:?}");
    let mut res = edge::encode(&outcome);
    assert_eq!(u16::from(res.status()), 400);
    smol::block_on(res.body_bytes()).expect("a body")
}

/// Jobs at the limits that the users' specifications state are accepted.
#[test]
fn bounds_at_limits() {
    let spec = json!({"spec": "s".repeat(PAYLOAD_BYTES), "steps": [step()]});
    assert_eq!(decode(&spec).map(|s| s.payload.len()), Ok(PAYLOAD_BYTES));
    for field in ["affinity", "image", "requirements"] {
        let body = job_of(vec![step_with(field, json!("n".repeat(NAME_BYTES)))]);
        assert!(decode(&body).is_ok(), "{field}");
    }
    let chain = |n: usize| step_with("depends_on", json!((0..n).collect::<Vec<_>>()));
    let spec = decode(&job_of((0..100).map(chain).collect())).expect("a job");
    assert_eq!(spec.steps[99].after.len(), 99);
    let spec = decode(&job_of(vec![step(); TASKS_MAX])).expect("a job");
    assert_eq!(spec.steps.len(), TASKS_MAX);
}

/// The users' limit on a payload was not checked: it was taken, kept and stored as long as a body may be.
#[test]
fn bounds_payload() {
    refusal_of(&json!({"spec": "s".repeat(PAYLOAD_BYTES + 1), "steps": [step()]}));
    // The limit is in bytes.
    refusal_of(&json!({"spec": "\u{e9}".repeat(PAYLOAD_BYTES / 2 + 1), "steps": [step()]}));
}

/// Names that no row of the store can have were taken and kept.
#[test]
fn bounds_names() {
    for field in ["affinity", "image", "requirements"] {
        let last = step_with(field, json!("n".repeat(NAME_BYTES + 1)));
        refusal_of(&job_of(vec![step(), last]));
    }
}

/// An earlier step that was named many times was kept as many times.
#[test]
fn bounds_earlier_steps() {
    let twice = step_with("depends_on", json!([1, 0, 1, 0]));
    let spec = decode(&job_of(vec![step(), step(), twice])).expect("a job");
    assert_eq!(spec.steps[2].after, [1, 0]);
    let many = step_with("depends_on", json!(vec![0; 100_000]));
    let spec = decode(&job_of(vec![step(), many])).expect("a job");
    assert_eq!(spec.steps[1].after, [0]);
    let row = json!({"queue": "queue", "payload": "", "accepted_wall_ms": 0,
        "steps": [{"count": 1}, {"count": 1, "after": [0, 0, 0]}]});
    let spec: JobSpec = serde_json::from_value(row).expect("a row");
    assert_eq!(spec.steps[1].after, [0], "a row of an earlier version");
    let later = step_with("depends_on", json!([0, 1]));
    refusal_of(&job_of(vec![step(), later]));
}

/// A refusal quoted a whole text of the caller's, and the log kept it.
#[test]
fn bounds_refusals() {
    let long = json!("\u{1}".repeat(100_000));
    let body = refusal_of(&job_of(vec![step_with("count", long.clone())]));
    assert!(body.len() <= LINE_BYTES, "{} bytes", body.len());
    let body = refusal_of(&json!({"steps": long}));
    assert!(body.len() <= LINE_BYTES, "{} bytes", body.len());
}

/// Log lines were as long as the path of a call, or as its refusal's reason; the latest are kept in memory.
#[test]
fn bounds_log_lines() {
    let log = Log::new().expect("a log");
    let path = format!("/{}", "\u{e9}".repeat(50_000));
    log.record(Decision::new(
        Code::CallRefused,
        Subject::Request,
        &path,
        path.clone(),
    ));
    let kept: Vec<Decision> = (0..path.len())
        .filter(|n| path.is_char_boundary(*n))
        .flat_map(|n| log.decisions_about(Subject::Request, &path[..n]))
        .collect();
    assert_eq!(kept.len(), 1);
    let line = to_json_line(&kept[0]);
    assert!(line.len() <= LINE_BYTES, "{} bytes", line.len());
    // What is as long as a name may be stays whole.
    let name = "n".repeat(NAME_BYTES);
    log.record(Decision::new(
        Code::CallRefused,
        Subject::Request,
        &name,
        "why",
    ));
    assert_eq!(log.decisions_about(Subject::Request, &name).len(), 1);
}

/// A job that no row of the users' store can hold was sent to it, and its caller told to come again.
#[test]
fn bounds_row() {
    let fleet = Fleet::start("pool", 2, 50).expect("the stand-in starts");
    fleet.configure(1, "pool");
    let one = start_entry(&fleet, "e1");
    let image = json!("n".repeat(NAME_BYTES));
    let body = job_of(vec![step_with("image", image); 400]);
    let path = format!("/q/{ID}");
    let status = |method, body: &Value| call(one.callers, method, &path, body).map(|a| a.status);
    assert_eq!(status(Method::Post, &body), Some(400));
    assert_eq!(
        status(Method::Get, &Value::Null),
        Some(410),
        "nothing is written"
    );
    let within = job_of(vec![step(); 400]);
    assert_eq!(status(Method::Post, &within), Some(200));
}

/// A job that an earlier version accepted runs, whatever an entry accepts today.
#[test]
fn bounds_accepted_earlier() {
    let mut world = World::new(1, 2, 2);
    world.run(8_000);
    let mut spec = job(2, 1_000, 300);
    spec.payload = "s".repeat(10 * PAYLOAD_BYTES);
    spec.steps[0].image = "n".repeat(2 * NAME_BYTES);
    spec.steps.push(StepSpec {
        after: vec![0, 0],
        ..spec.steps[0].clone()
    });
    world.submit("earlier", spec);
    world.run(8_000);
    assert_eq!(world.recorded_state("earlier"), JobState::Completed);
}
