//! Follows the entries' readiness like the platform's balancer: an entry that misses two checks receives no new
//! connections until it is ready again. If fewer than half are ready, all are used.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_types::Method;
use rockwick::http::client::deadline_after_ms;
use rockwick::http::Client;

use super::callers::lock;

/// Interval between checks, and the longest time for the answer of one.
const CHECK_MS: u64 = 1_000;

/// Number of missed checks after which an entry receives no new connections.
const MISSES_MAX: u32 = 2;

/// Holds the readiness of all entries, shared by the callers.
#[derive(Clone)]
pub(crate) struct Balancer {
    /// Number of checks that each entry has missed since its last success.
    misses: Arc<Mutex<Vec<u32>>>,
}

impl Balancer {
    /// Starts a thread for each entry that checks it until `is_over` is set.
    pub(crate) fn start(ready_addresses: &[SocketAddr], is_over: &Arc<AtomicBool>) -> Self {
        let balancer = Self {
            misses: Arc::new(Mutex::new(vec![0; ready_addresses.len()])),
        };
        for (n, address) in ready_addresses.iter().copied().enumerate() {
            let (balancer, is_over) = (balancer.clone(), Arc::clone(is_over));
            std::thread::spawn(move || {
                let client = Client::new(address);
                while !is_over.load(Ordering::SeqCst) {
                    balancer.record(n, is_ready(&client));
                    std::thread::sleep(Duration::from_millis(CHECK_MS));
                }
            });
        }
        balancer
    }

    fn record(&self, n: usize, is_ready: bool) {
        let misses = &mut lock(&self.misses)[n];
        *misses = if is_ready { 0 } else { *misses + 1 };
    }

    /// Returns the entries that receive new connections.
    pub(crate) fn targets(&self) -> Vec<usize> {
        let misses = lock(&self.misses);
        let all = 0..misses.len();
        let ready: Vec<usize> = all.clone().filter(|n| misses[*n] < MISSES_MAX).collect();
        match 2 * ready.len() < misses.len() {
            true => all.collect(),
            false => ready,
        }
    }
}

fn is_ready(client: &Client) -> bool {
    let Some(request) = client.request(Method::Get, "/readiness") else {
        return false;
    };
    let answer = smol::block_on(client.exchange(request, deadline_after_ms(CHECK_MS)));
    answer.is_ok_and(|a| a.status == 200)
}
