//! A scan that the store answers in pages yields every row, whoever sets the size of a page.

use std::cell::Cell;

use rockwick::clock::Millis;
use rockwick::port::fleet::{
    Feed, Range, ReadError, Revision, RowTx, Rows, Scan, StoredRow, Table, TxOutcome,
};

/// Rows that the store gives in one answer at most.
const STORE_PAGE_ROWS: usize = 2;

/// A store whose revision grows with each answer.
#[derive(Default)]
struct PagedStore {
    keys: Vec<String>,
    scans: Cell<u64>,
}

impl Rows for PagedStore {
    async fn transact(&self, _: &RowTx, _: Millis) -> TxOutcome {
        TxOutcome::Refused
    }

    async fn scan(&self, _: Table, part: &str, range: Range, _: Millis) -> Result<Scan, ReadError> {
        self.scans.set(self.scans.get() + 1);
        let asked = match range.rows_max {
            0 => STORE_PAGE_ROWS,
            most => STORE_PAGE_ROWS.min(most as usize),
        };
        let left: Vec<&String> = self.keys.iter().filter(|key| **key >= range.from).collect();
        let row = |key: &&String| StoredRow {
            part: part.to_string(),
            key: key.to_string(),
            value: Some(Vec::new()),
            revision: 1,
        };
        Ok(Scan {
            rows: left.iter().take(asked).map(row).collect(),
            has_more: left.len() > asked,
            revision: 10 + self.scans.get(),
            store_ms: 100 * self.scans.get(),
        })
    }

    async fn wait_for_changes(
        &self,
        _: Table,
        _: Revision,
        _: Millis,
    ) -> Result<Feed<StoredRow>, ReadError> {
        Err(ReadError::Down)
    }

    async fn list_parts(&self, _: Table) -> Result<Vec<String>, ReadError> {
        Err(ReadError::Down)
    }
}

#[test]
fn pages_all_read() {
    for count in [0, 1, 2, 5] {
        for rows_max in [0, 1, 50] {
            let store = PagedStore {
                keys: (0..count).map(|n| format!("wave-{n}")).collect(),
                ..PagedStore::default()
            };
            let read = smol::block_on(store.scan_pages(Table::Waves, "", rows_max, 1_000));
            let feed = read.expect("the store answers");
            let keys: Vec<String> = feed.changes.into_iter().map(|row| row.key).collect();
            assert_eq!(keys, store.keys, "{count} rows, pages of {rows_max}");
            assert_eq!(feed.revision, 11, "the feed starts at the first page");
        }
    }
}
