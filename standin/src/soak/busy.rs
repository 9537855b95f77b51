//! Busy threads that take processor time from the entries and from the soak itself.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Number of rounds between two checks for the end.
const ROUNDS: u32 = 100_000;

/// Owns the busy threads, which end when it is dropped.
pub(crate) struct BusyThreads {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BusyThreads {
    /// Starts `count` threads.
    pub(crate) fn start(count: usize) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let spin = |_| {
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    (0..ROUNDS).for_each(|_| std::hint::spin_loop());
                }
            })
        };
        Self {
            threads: (0..count).map(spin).collect(),
            is_over,
        }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // The threads run nothing that can panic.
            let _ = thread.join();
        }
    }
}
