//! Experiment that measures the cost of control at several fleet sizes: the time of the reducer's tick and of its
//! routes, and the size of its state and of an idle poll. Run by the `slopes` command.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use bpaf::{construct, Parser};
use rockwick::clock::{Millis, Now};
use rockwick::core::members::Digest;
use rockwick::core::rows::{
    EntryRow, EntryState, HeadRow, HostRow, HostState, JobRow, JobSpec, JobState,
};
use rockwick::core::state::{EntryIdentity, Tuning};
use rockwick::core::{reduce, Effect, Event, State};
use rockwick::port::{
    BackendInfo, Changes, Expect, HostInfo, HostStatus, Listing, Put, Transaction,
};
use rockwick::wire::{encode, PeerReply, PeerRequest};
use serde::Serialize;
use standin::rows::Rows;

const TICKS: u32 = 200;

#[derive(Clone, Debug)]
pub(crate) struct Args {}

pub(crate) fn args() -> impl Parser<Args> {
    construct!(Args {})
}

#[derive(Clone, Copy)]
struct Size {
    hosts: usize,
    pools: usize,
    accounts: usize,
    entries: usize,
    jobs: usize,
}

/// The fleet size expected in two years; each sweep varies one of these numbers.
const FULL: Size = Size {
    hosts: 500,
    pools: 226,
    accounts: 170,
    entries: 27,
    jobs: 1_000,
};

struct Cost {
    tick_us: f64,
    routes_us: f64,
    state_bytes: usize,
    config_bytes: usize,
    idle_poll_bytes: usize,
}

fn put<T: Serialize>(rows: &mut Rows, key: String, body: &T) {
    let txn = Transaction {
        token: "0123456789abcdef-0123456789abcdef".to_string(),
        checks: vec![],
        puts: vec![Put::new(key, Expect::Absent, body)],
    };
    rows.apply_with_token(&txn);
}

fn config_text(size: Size) -> String {
    let mut text = String::from("[[service]]\nname = \"s\"\n[[template]]\nname = \"t\"\n[template.fields.hosts]\n[template.fields.serving_min]\n");
    for n in 0..size.accounts {
        text.push_str(&format!(
            "[[account]]\nname = \"a{n}\"\ntoken_sha256 = \"{n:064x}\"\nrate_per_s = 100\nburst = 200\n"
        ));
    }
    for n in 0..size.pools {
        let hosts = (size.hosts / size.pools).max(1);
        text.push_str(&format!(
            "[[pool]]\nname = \"p{n}\"\naccount = \"a{}\"\ntemplate = \"t\"\nservices = [\"s\"]\n\
             [pool.parameters]\nhosts = {hosts}\nserving_min = 1\n",
            n % size.accounts
        ));
    }
    text
}

fn host_facts(size: Size) -> Vec<HostInfo> {
    (0..size.hosts)
        .map(|n| HostInfo {
            id: format!("h{n:04}"),
            hall: format!("hall{}", n / 4 % 11),
            rack: format!("rack{}", n / 4),
            cores: 16,
            memory_mb: 32_768,
            status: HostStatus::Live,
            boots: 3,
            backends: vec![BackendInfo {
                service: "s".to_string(),
                address: ([10, 0, (n / 250) as u8, (n % 250) as u8], 80).into(),
                slots: 8,
                connections: 64,
            }],
        })
        .collect()
}

fn build_table(size: Size) -> Rows {
    let mut rows = Rows::default();
    let head = HeadRow {
        version: 1,
        text: config_text(size),
        by: "e0".to_string(),
        at_ms: 1,
    };
    put(&mut rows, "config/head".to_string(), &head);
    for n in 0..size.entries {
        let row = EntryRow {
            incarnation: n as u64 + 1,
            state: EntryState::Live,
            peer: "10.0.0.1:9000".to_string(),
            hall: "hall1".to_string(),
            view_seq: 0,
            busy: vec![],
        };
        put(&mut rows, format!("entry/e{n}"), &row);
    }
    for n in 0..size.hosts {
        let row = HostRow {
            pool: Some(format!("p{}", n % size.pools)),
            state: HostState::Serving,
            ..HostRow::default()
        };
        put(&mut rows, format!("host/h{n:04}"), &row);
    }
    for n in 0..size.jobs {
        let pool = n % size.pools;
        let row = JobRow {
            account: format!("a{}", n % size.accounts),
            spec: JobSpec {
                pool: format!("p{pool}"),
                class: rockwick::core::config::Class::Batch,
                cores: 2,
                memory_mb: 100,
                run_ms: 60_000,
                repeatable: true,
                payload: "x".repeat(100),
            },
            state: JobState::Placed,
            attempt: 1,
            host: Some(format!("h{:04}", pool + n / size.pools % 2 * size.pools)),
            failed_on: vec![],
            losses: 0,
            cancel: false,
            submitted_ms: 1,
            history: vec![],
        };
        put(&mut rows, format!("job/j{n}"), &row);
    }
    rows
}

fn measure(size: Size) -> Cost {
    let me = EntryIdentity {
        name: "e0".to_string(),
        incarnation: 1,
        hall: "hall1".to_string(),
        peer: String::new(),
        has_peers: true,
    };
    let mut state = State::new(me, Tuning::default(), 1);
    let mut now = Now {
        ms: 1_000,
        wall_ms: 1_000_000,
        store_ms: 0,
    };
    let rows = build_table(size);
    let listing = Listing {
        hosts: host_facts(size),
        ended_entries: vec![],
    };
    let before = allocated_bytes();
    reduce(&mut state, Event::HostsRead(Some(listing)), now);
    let mut since = 0;
    loop {
        let changes: Changes = rows.changes(since, &[]);
        since = changes.seq;
        let more = changes.more;
        let begun_ms = now.ms;
        let changes = Some(changes);
        reduce(&mut state, Event::TableRead { begun_ms, changes }, now);
        if !more {
            break;
        }
    }
    let state_bytes = allocated_bytes().saturating_sub(before);
    let mut spent_us = 0;
    for _ in 0..TICKS {
        now.ms += 500;
        now.wall_ms += 500;
        apply_peer_digests(&mut state, size, now.ms);
        let began = Instant::now();
        let effects = reduce(
            &mut state,
            Event::Tick {
                published_seq: since,
                busy: vec![],
            },
            now,
        );
        spent_us += began.elapsed().as_micros();
        answer_as_idle(&mut state, effects, now);
    }
    let began = Instant::now();
    for _ in 0..20 {
        std::hint::black_box(state.routes());
    }
    let routes_us = began.elapsed().as_micros() as f64 / 20.0;
    Cost {
        tick_us: spent_us as f64 / f64::from(TICKS),
        routes_us,
        state_bytes,
        config_bytes: config_text(size).len(),
        idle_poll_bytes: idle_poll_bytes(&state),
    }
}

fn apply_peer_digests(state: &mut State, size: Size, now_ms: Millis) {
    for n in 1..size.entries {
        let digest = Digest {
            name: format!("e{n}"),
            incarnation: n as u64 + 1,
            registered: true,
            view_seq: state.seq,
            config_version: 1,
            hosts_known: true,
            busy: vec![],
        };
        state.apply_digest(digest, now_ms, &mut Vec::new());
    }
}

/// Answers effects as an idle table would: reads find nothing new, and commits get no answer.
fn answer_as_idle(state: &mut State, effects: Vec<Effect>, now: Now) {
    for effect in effects {
        if let Effect::ReadTable { since } = effect {
            let changes = Some(Changes {
                seq: since,
                rows: vec![],
                more: false,
            });
            let begun_ms = now.ms;
            reduce(state, Event::TableRead { begun_ms, changes }, now);
        }
    }
}

fn idle_poll_bytes(state: &State) -> usize {
    let request = PeerRequest::Poll {
        digest: state.digest(),
        since: state.seq,
    };
    let reply = PeerReply::View {
        digest: state.digest(),
        changes: Changes {
            seq: state.seq,
            ..Changes::default()
        },
        complete: true,
        hosts: vec![],
    };
    let length = |bytes: Option<Vec<u8>>| bytes.map_or(0, |b| b.len());
    length(encode(&request)) + length(encode(&reply))
}

/// Allocator that counts the allocated bytes, so that the size of the state can be measured within one process.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed to the system's allocator unchanged; counting does not touch the memory.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller fulfils the contract of `alloc`, which is also the system allocator's.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: `ptr` came from `alloc` above, and so from the system allocator, with this layout.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn allocated_bytes() -> usize {
    ALLOCATED_BYTES.load(Ordering::Relaxed)
}

/// Fits a line through points by least squares; returns the slope, the intercept, and the largest error in percent of
/// the largest value.
fn fit(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let n = points.len() as f64;
    let sum = |f: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>();
    let (sx, sy) = (sum(&|p| p.0), sum(&|p| p.1));
    let (sxx, sxy) = (sum(&|p| p.0 * p.0), sum(&|p| p.0 * p.1));
    let slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    let base = (sy - slope * sx) / n;
    let top = points.iter().map(|p| p.1.abs()).fold(1e-9, f64::max);
    let error = |p: &(f64, f64)| (p.1 - base - slope * p.0).abs();
    let worst = points.iter().map(error).fold(0.0, f64::max);
    (slope, base, 100.0 * worst / top)
}

pub(crate) fn run(_: Args) -> Result<(), String> {
    type SizeWith = fn(usize) -> Size;
    let sweeps: [(&str, [usize; 5], SizeWith); 5] = [
        ("hosts", [250, 500, 750, 1_000, 1_500], |n| Size {
            hosts: n,
            ..FULL
        }),
        ("pools", [20, 50, 113, 226, 450], |n| Size {
            pools: n,
            ..FULL
        }),
        ("accounts", [20, 85, 170, 340, 680], |n| Size {
            accounts: n,
            ..FULL
        }),
        ("entries", [9, 18, 27, 54, 108], |n| Size {
            entries: n,
            ..FULL
        }),
        ("jobs", [0, 500, 1_000, 2_000, 4_000], |n| Size {
            jobs: n,
            ..FULL
        }),
    ];
    println!("Base: 500 hosts, 226 pools, 170 accounts, 27 entries, 1000 placed jobs");
    println!("| Sweep | At | tick us | routes us | state kB | config kB | idle poll B |");
    println!("|---|---|---|---|---|---|---|");
    let mut fits = Vec::new();
    for (name, sizes, with) in sweeps {
        let mut points: [Vec<(f64, f64)>; 3] = Default::default();
        for n in sizes {
            let c = measure(with(n));
            println!(
                "| {name} | {n} | {:.0} | {:.0} | {} | {} | {} |",
                c.tick_us,
                c.routes_us,
                c.state_bytes / 1_024,
                c.config_bytes / 1_024,
                c.idle_poll_bytes
            );
            points[0].push((n as f64, c.tick_us));
            points[1].push((n as f64, c.routes_us));
            points[2].push((n as f64, c.state_bytes as f64 / 1_024.0));
        }
        fits.push((name, points.map(|p| fit(&p))));
    }
    println!("\n| Against | tick us each (base, worst error) | routes us each | state kB each |");
    println!("|---|---|---|---|");
    for (name, [tick, routes, state]) in fits {
        let cell =
            |(slope, base, worst): (f64, f64, f64)| format!("{slope:.3} ({base:.0}, {worst:.0}%)");
        println!(
            "| {name} | {} | {} | {} |",
            cell(tick),
            cell(routes),
            cell(state)
        );
    }
    Ok(())
}
