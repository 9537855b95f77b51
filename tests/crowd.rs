//! Tests with crowds of clients that do not behave. They measure the memory and the descriptors of processes, so they are a
//! test binary apart: cargo runs no other binary beside it, and a lock lets them run one at a time.

#[allow(dead_code)]
mod fleet;

mod test_crowd;
