//! Small things that several modules need.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;

use std::sync::{Mutex, MutexGuard};

/// Locks, also after a panic of another holder: what is kept behind our locks is never left torn.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// FNV-1a: small, and the same in every build.
pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let step = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    bytes.into_iter().fold(BASIS, step)
}

/// Runs futures side by side; their outputs in the same order.
pub async fn join_all<F: Future>(futures: Vec<F>) -> Vec<F::Output> {
    let mut running: Vec<Pin<Box<F>>> = futures.into_iter().map(Box::pin).collect();
    let mut outputs: Vec<Option<F::Output>> = running.iter().map(|_| None).collect();
    poll_fn(|cx| {
        for (future, output) in running.iter_mut().zip(&mut outputs) {
            if output.is_some() {
                continue;
            }
            if let Poll::Ready(value) = future.as_mut().poll(cx) {
                *output = Some(value);
            }
        }
        if outputs.iter().all(Option::is_some) {
            return Poll::Ready(());
        }
        Poll::Pending
    })
    .await;
    outputs.into_iter().flatten().collect()
}

/// Percent-encodes what may not stand in a path; `/` stays.
pub fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() || b"-_.~/".contains(&b) {
            out.push(char::from(b));
        } else {
            out.push_str(&format!("%{b:02X}"));
        }
    }
    out
}
