//! Helpers shared by several modules: locking, hashing, joining futures, percent-encoding.

use std::future::{poll_fn, Future};
use std::ops::Deref;
use std::pin::Pin;
use std::task::Poll;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Locks a mutex, even if a thread panicked while it held the lock: no code leaves the data behind a mutex half updated
/// when it panics.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Counts something in a shared counter for as long as the guard exists.
pub struct CountGuard<C: Deref<Target = AtomicU64>>(C);

impl<C: Deref<Target = AtomicU64>> CountGuard<C> {
    /// Adds one to the counter until the guard is dropped.
    pub fn new(counter: C) -> Self {
        counter.fetch_add(1, Ordering::SeqCst);
        Self(counter)
    }
}

impl<C: Deref<Target = AtomicU64>> Drop for CountGuard<C> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Returns the 64-bit FNV-1a hash, which is the same in every build.
pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let step = |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    bytes.into_iter().fold(BASIS, step)
}

/// Runs futures concurrently and returns their outputs in the same order.
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

/// Cuts a text to at most `bytes_max` bytes, between two characters, and frees what it no longer needs.
pub fn cut_text(text: &mut String, bytes_max: usize) {
    if text.len() <= bytes_max {
        return;
    }
    let mut end = bytes_max;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
    text.shrink_to_fit();
}

/// Percent-encodes every byte except ASCII letters, digits and `-_.~/`, so that a URL path can hold the text.
pub fn escape_path(text: &str) -> String {
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
