//! Reads many partitions of the store, and keeps what was read while some of the reads fail.
//!
//! The load that this handles: all entries start at once and read their pools' rows while the store refuses a part of
//! their reads. If each failed read began the whole reading anew, every attempt would ask again for what the one before
//! had read, which keeps a store with a limit on reads over that limit.

use super::fleet::{Revision, Rows, StoredRow, Table};
use crate::clock::Millis;
use crate::util::join_all;

/// The number of partitions that are read in parallel, each over its own connection. The intake partitions of a pool
/// take four rounds.
const PARALLEL_PARTS: usize = 16;

/// The largest number of rows in one page of a scan.
const PAGE_ROWS: u32 = 500;

/// A reading of partitions of one table.
pub struct PartScan {
    table: Table,
    /// Partitions that are still to be read. One whose read failed goes to the end.
    missing: Vec<String>,
    rows: Vec<StoredRow>,
    first_revision: Option<Revision>,
}

impl PartScan {
    /// Begins a reading of all rows in `parts`.
    pub fn new(table: Table, parts: Vec<String>) -> Self {
        Self {
            table,
            missing: parts,
            rows: Vec::new(),
            first_revision: None,
        }
    }

    /// Returns the number of partitions that are still to be read.
    pub fn missing(&self) -> usize {
        self.missing.len()
    }

    /// Returns whether all partitions were read.
    pub fn is_done(&self) -> bool {
        self.missing.is_empty()
    }

    /// Reads up to `parts_max` of the missing partitions, each once, and returns how many of these reads failed.
    pub async fn advance<R: Rows>(
        &mut self,
        store: &R,
        parts_max: usize,
        timeout_ms: Millis,
    ) -> usize {
        let count = parts_max.min(self.missing.len());
        let parts: Vec<String> = self.missing.drain(..count).collect();
        let mut failed = 0;
        for chunk in parts.chunks(PARALLEL_PARTS) {
            let reads = chunk
                .iter()
                .map(|part| store.scan_pages(self.table, part, PAGE_ROWS, timeout_ms));
            let answers = join_all(reads.collect()).await;
            for (part, answer) in chunk.iter().zip(answers) {
                match answer {
                    Ok(feed) => {
                        self.first_revision = match self.first_revision {
                            Some(first) => Some(first.min(feed.revision)),
                            None => Some(feed.revision),
                        };
                        self.rows.extend(feed.changes);
                    }
                    Err(_) => {
                        failed += 1;
                        self.missing.push(part.clone());
                    }
                }
            }
        }
        failed
    }

    /// Returns the rows that were read.
    pub fn into_rows(self) -> Vec<StoredRow> {
        self.rows
    }

    /// Returns the rows that were read, and the revision of the oldest of the reads: a feed from there repeats what has
    /// changed during the later ones. `None` if nothing was read.
    pub fn into_rows_since(self) -> (Vec<StoredRow>, Option<Revision>) {
        (self.rows, self.first_revision)
    }
}
