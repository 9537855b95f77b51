//! The row store of the stand-in platform: conditional transactions, range reads and the feed of changes, with the
//! store's faults. The store's listener calls it.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use http_types::Response;
use rockwick::http::server::{answer, json};
use rockwick::http::Incoming;
use serde_json::{json, Value};
use smol::Timer;

use super::{Fleet, State, StoreFault, Stored, POLL_MS};

/// Returns the partitions of a transaction's rows.
fn parts_of(tx: &Value) -> BTreeSet<String> {
    let rows = ["put", "remove", "expected_revision"].map(|name| items(&tx[name]));
    rows.iter().flatten().map(|row| row_key(row).1).collect()
}

impl Fleet {
    pub(super) async fn handle_second_store_call(&self, incoming: &Incoming) -> Response {
        let is_operator_table = query(incoming, "table") == "op";
        let res = self.handle_store_call(incoming).await;
        // A call that waited for changes brings none if reads are refused by now.
        if is_operator_table && self.lock().is_second_operator_unavailable {
            return answer(503, "application/json", Vec::new());
        }
        res
    }

    pub(super) async fn handle_store_call(&self, incoming: &Incoming) -> Response {
        let fault = self.lock().fault;
        let path = incoming.head.url().path().to_string();
        if path.starts_with("/machine") {
            return self.handle_hosts_call(&path, incoming);
        }
        match fault {
            StoreFault::Choosy(percent) if self.lock().late_rng.u32(..100) < percent => {
                return answer(503, "application/json", Vec::new())
            }
            StoreFault::Busy => return answer(503, "application/json", Vec::new()),
            StoreFault::Forgetful if path == "/rows-feed" => {
                return answer(410, "application/json", Vec::new())
            }
            StoreFault::Slow(ms) => {
                Timer::after(Duration::from_millis(ms)).await;
            }
            _ => {}
        }
        let parts = match path.as_str() {
            "/rows-tx" => parts_of(&serde_json::from_slice(&incoming.body).unwrap_or_default()),
            "/rows-get" => BTreeSet::from([query(incoming, "part")]),
            _ => BTreeSet::new(),
        };
        if self.lock().is_operator_unavailable && query(incoming, "table") == "op" {
            self.lock().operator_calls_refused += 1;
            return answer(503, "application/json", Vec::new());
        }
        if !self.lock().unavailable_parts.is_disjoint(&parts) {
            return answer(503, "application/json", Vec::new());
        }
        if let (StoreFault::Turns(ms), "/rows-tx") = (fault, path.as_str()) {
            let part = parts.first().cloned().unwrap_or_default();
            if !self.wait_turn(part, ms).await {
                return answer(429, "application/json", Vec::new());
            }
        }
        if path == "/rows-tx" {
            if let Some(after_ms) = self.draw_lateness_ms(fault, &parts) {
                self.apply_late(&incoming.body, after_ms).await;
            }
        }
        let res = match path.as_str() {
            "/rows-tx" => self.transact(&incoming.body).await,
            "/rows-get" => self.read_rows(incoming),
            "/rows-feed" => self.read_feed(incoming).await,
            "/rows-parts" => self.list_parts(incoming),
            _ => answer(404, "application/json", Vec::new()),
        };
        let is_lost =
            fault == StoreFault::Lossy && path == "/rows-tx" && self.lock().rng.u32(..3) == 0;
        if fault == StoreFault::Mute || is_lost {
            self.wait_unanswered().await;
        }
        res
    }

    /// Returns how late a write to these partitions is applied; `None` if it is applied at once.
    fn draw_lateness_ms(&self, fault: StoreFault, parts: &BTreeSet<String>) -> Option<u64> {
        let mut state = self.lock();
        let of_part = parts.iter().find_map(|part| state.late_parts.get(part));
        if of_part.is_some() {
            return of_part.copied();
        }
        let is_late = fault == StoreFault::Belated && state.late_rng.u32(..3) == 0;
        is_late.then(|| state.late_rng.u64(1_000..6_000))
    }

    /// Applies a write late, if its condition still holds then, without an answer.
    async fn apply_late(&self, body: &[u8], after_ms: u64) {
        self.lock().late_writes += 1;
        Timer::after(Duration::from_millis(after_ms)).await;
        self.transact(body).await;
        self.lock().late_writes -= 1;
        self.wait_unanswered().await;
    }

    /// Waits until the partition has applied the earlier writes and this one, which takes `ms`; returns false at once
    /// if the earlier writes take longer than a second.
    async fn wait_turn(&self, part: String, ms: u64) -> bool {
        let now = Instant::now();
        let done = {
            let mut state = self.lock();
            let busy_until = state.busy_until.entry(part);
            let at = busy_until.or_insert(now);
            if *at > now + Duration::from_secs(1) {
                return false;
            }
            *at = (*at).max(now) + Duration::from_millis(ms);
            *at
        };
        Timer::at(done).await;
        true
    }

    async fn transact(&self, body: &[u8]) -> Response {
        let Ok(tx) = serde_json::from_slice::<Value>(body) else {
            return answer(400, "application/json", Vec::new());
        };
        if parts_of(&tx).len() > 1 {
            return answer(400, "application/json", Vec::new());
        }
        let (res, is_delayed) = self.commit(&tx);
        if is_delayed {
            self.delay_answer().await;
        }
        res
    }

    /// Applies a transaction if its condition holds; returns also whether to delay its answer.
    fn commit(&self, tx: &Value) -> (Response, bool) {
        let mut state = self.lock();
        let guards = items(&tx["expected_revision"]);
        let ver_of = |state: &State, g: &Value| {
            let stored = state.rows.get(&row_key(g)).filter(|s| s.value.is_some());
            stored.map_or(0, |s| s.ver)
        };
        if guards
            .iter()
            .any(|g| ver_of(&state, g) != g["ver"].as_u64().unwrap_or(0))
        {
            let rows: Vec<Value> = guards
                .iter()
                .map(|g| row(&row_key(g), state.rows.get(&row_key(g))))
                .collect();
            let body = json!({"rows": rows, "ver": state.ver, "now_ms": 1});
            return (json(412, &body), false);
        }
        state.ver += 1;
        let ver = state.ver;
        for put in items(&tx["put"]) {
            let value = put["value"].as_str().map(str::to_string);
            state.rows.insert(row_key(&put), Stored { value, ver });
        }
        for gone in items(&tx["remove"]) {
            state
                .rows
                .insert(row_key(&gone), Stored { value: None, ver });
        }
        let is_delayed = state.record_owners(&items(&tx["put"]), &self.pool, ver);
        (json(200, &json!({"ver": ver, "now_ms": 1})), is_delayed)
    }

    fn read_rows(&self, incoming: &Incoming) -> Response {
        let q = |name: &str| query(incoming, name);
        let state = self.lock();
        let until = q("target_version");
        let limit = q("limit").parse::<usize>().unwrap_or(500);
        let of = |k: &(String, String, String)| {
            k.0 == q("table")
                && k.1 == q("part")
                && k.2 >= q("from")
                && (until.is_empty() || k.2 < until)
        };
        let present = state
            .rows
            .iter()
            .filter(|(k, s)| of(k) && s.value.is_some());
        let mut rows: Vec<Value> = present.map(|(k, s)| row(k, Some(s))).collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        json(
            200,
            &json!({"rows": rows, "more": more, "ver": state.ver, "now_ms": 1}),
        )
    }

    async fn read_feed(&self, incoming: &Incoming) -> Response {
        let since = query(incoming, "depends_on").parse::<u64>().unwrap_or(0);
        let wait_ms = query(incoming, "wait_ms").parse::<u64>().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let table = query(incoming, "table");
        loop {
            let (mut rows, ver) = {
                let state = self.lock();
                let new = state
                    .rows
                    .iter()
                    .filter(|(k, s)| k.0 == table && s.ver > since);
                let rows: Vec<Value> = new.map(|(k, s)| row(k, Some(s))).collect();
                (rows, state.ver)
            };
            if !rows.is_empty() || Instant::now() >= until {
                rows.sort_by_key(|r| r["ver"].as_u64());
                let ver = self.limit_to_page(&mut rows, ver).await;
                return json(200, &json!({"rows": rows, "ver": ver, "now_ms": 1}));
            }
            Timer::after(Duration::from_millis(POLL_MS)).await;
        }
    }

    /// Limits changes to one page; returns the version to continue from.
    async fn limit_to_page(&self, rows: &mut Vec<Value>, ver: u64) -> u64 {
        let (rows_max, page_ms) = {
            let state = self.lock();
            (state.feed_rows_max, state.feed_page_ms)
        };
        if rows_max == 0 || rows.is_empty() {
            return ver;
        }
        Timer::after(Duration::from_millis(page_ms)).await;
        if rows.len() <= rows_max {
            return ver;
        }
        rows.truncate(rows_max);
        let last = rows.last().and_then(|row| row["ver"].as_u64());
        last.unwrap_or(ver)
    }

    fn list_parts(&self, incoming: &Incoming) -> Response {
        const PAGE: usize = 1_000;
        let table = query(incoming, "table");
        let after_part = query(incoming, "depends_on");
        let state = self.lock();
        let of_table = state.rows.keys().filter(|k| k.0 == table);
        let parts: BTreeSet<&String> = of_table.map(|k| &k.1).collect();
        let page = parts
            .into_iter()
            .filter(|part| **part > after_part)
            .take(PAGE);
        json(200, &json!({"parts": page.collect::<Vec<_>>()}))
    }
}

fn items(value: &Value) -> Vec<Value> {
    value.as_array().cloned().unwrap_or_default()
}

fn row_key(of: &Value) -> (String, String, String) {
    let text = |name: &str| of[name].as_str().unwrap_or("").to_string();
    (text("table"), text("part"), text("key"))
}

fn row(row_key: &(String, String, String), stored: Option<&Stored>) -> Value {
    let value = stored.and_then(|s| s.value.clone());
    let ver = stored.filter(|s| s.value.is_some()).map_or(0, |s| s.ver);
    json!({"table": row_key.0, "part": row_key.1, "key": row_key.2, "value": value, "ver": ver,
        "gone": value.is_none()})
}

fn query(incoming: &Incoming, name: &str) -> String {
    let pairs = incoming.head.url().query_pairs();
    let found = pairs.into_iter().find(|(n, _)| n == name);
    found
        .map(|(_, value)| value.into_owned())
        .unwrap_or_default()
}

/// Encodes bytes as base64 with padding, the format of the store's values.
pub(super) fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |w, i| {
            (w << 8) | u32::from(*chunk.get(i).unwrap_or(&0))
        });
        for i in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= chunk.len() {
                char::from(sign)
            } else {
                '='
            });
        }
    }
    text
}
