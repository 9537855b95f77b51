//! A smol executor with its own threads, on which connections are served.

use std::future::Future;
use std::panic::AssertUnwindSafe;

use futures_lite::FutureExt;
use smol::{Executor, Task};

/// An executor that exists until the process ends.
#[derive(Clone, Copy)]
pub struct Runtime {
    executor: &'static Executor<'static>,
}

impl Runtime {
    /// Starts `threads` threads, at least one, with names that begin with `name`.
    pub fn new(name: &str, threads: usize) -> std::io::Result<Self> {
        let executor: &'static Executor<'static> = Box::leak(Box::new(Executor::new()));
        for n in 0..threads.max(1) {
            std::thread::Builder::new()
                .name(format!("{name}-{n}"))
                .spawn(move || smol::block_on(executor.run(std::future::pending::<()>())))?;
        }
        Ok(Self { executor })
    }

    /// Runs a future on one of the threads. If it panics, the thread goes on with the other futures.
    pub fn spawn_detached(&self, future: impl Future<Output = ()> + Send + 'static) {
        let guarded = AssertUnwindSafe(future).catch_unwind();
        self.executor.spawn(guarded).detach();
    }

    /// Runs a future on one of the threads and returns a task that resolves to its output.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }
}
