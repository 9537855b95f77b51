//! The commands, one file each, and what those that talk to an entry share.

pub mod entry;
pub mod events;
pub mod explain;
pub mod forget;
pub mod host;
pub mod job;
pub mod pool;
pub mod report;
pub mod serve;
pub mod status;
pub mod template;
pub mod wave;

use std::net::SocketAddr;

use bpaf::{construct, long, Parser};
use http_types::{Method, Request};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::core::operate::{Edit, Reply};
use crate::error::{Error, Problem, Result};
use crate::http::client::within_ms;
use crate::http::{Answer, Client};

/// Bound on one call; longer than any commit takes.
const CALL_MS: u64 = 25_000;

/// Where a command goes and how it prints.
#[derive(Clone, Debug)]
pub struct Target {
    entry: String,
    token: Option<String>,
    json: bool,
}

/// The parser of the flags that all commands to an entry share.
pub fn target() -> impl Parser<Target> {
    let entry = long("entry")
        .env("ROCKWICK_ENTRY")
        .help("Admin address of any entry")
        .argument("IP:PORT");
    let token = long("token")
        .env("ROCKWICK_TOKEN")
        .help("Operators' token, where entries ask for one")
        .argument("TOKEN")
        .optional();
    let json = long("json").help("Print JSON").switch();
    construct!(Target { entry, token, json })
}

impl Target {
    /// Whether JSON is wanted.
    pub fn json(&self) -> bool {
        self.json
    }

    fn client(&self) -> Result<Client> {
        let addr: SocketAddr = self.entry.parse().map_err(|_| {
            let text = format!("--entry {:?}: an IP address and a port", self.entry);
            Error::Usage(text)
        })?;
        Ok(Client::new(addr))
    }

    fn call(&self, method: Method, path: &str, body: Option<Vec<u8>>) -> Result<Answer> {
        let client = self.client()?;
        let mut req: Request = client
            .request(method, path)
            .ok_or_else(|| Error::Usage(format!("{path:?} can't be asked for")))?;
        if let Some(token) = &self.token {
            req.insert_header("authorization", format!("Bearer {token}"));
        }
        if let Some(bytes) = body {
            req.set_body(bytes);
        }
        let answer = smol::block_on(client.exchange(req, within_ms(CALL_MS)));
        let answer = answer
            .map_err(|t| Error::Refused(format!("entry {}: no answer ({t:?})", self.entry)))?;
        if answer.status < 400 {
            return Ok(answer);
        }
        let text = match answer.json::<Problem>() {
            Some(p) if p.detail.is_empty() => p.title,
            Some(p) => format!("{} {}", p.title, p.detail),
            None => format!("status {}", answer.status),
        };
        Err(Error::Refused(text))
    }

    /// Reads a page of the operators' interface.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let answer = self.call(Method::Get, path, None)?;
        answer.json().ok_or_else(|| Error::Answer(path.to_string()))
    }

    /// Asks for a change.
    pub fn edit(&self, edit: &Edit) -> Result<Reply> {
        let body = serde_json::to_vec(edit).map_err(|e| Error::Answer(e.to_string()))?;
        let answer = self.call(Method::Post, "/v1/edit", Some(body))?;
        answer
            .json()
            .ok_or_else(|| Error::Answer("edit".to_string()))
    }

    /// Asks for a change and prints what came of it.
    pub fn edit_and_print(&self, edit: &Edit) -> Result<()> {
        let reply = self.edit(edit)?;
        if self.json {
            return print_json(&reply);
        }
        match reply {
            Reply::Version(v) => say(format!("version {v}")),
            Reply::Wave(id) | Reply::Job(id) => say(id),
            Reply::Done(text) => say(text),
        }
        Ok(())
    }
}

/// Prints a line; a reader that has gone away ends the command quietly.
pub fn say(line: impl std::fmt::Display) {
    use std::io::Write;
    let mut out = std::io::stdout().lock();
    if writeln!(out, "{line}").is_err() {
        std::process::exit(0);
    }
}

/// Prints a value as JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<()> {
    let text = serde_json::to_string_pretty(value).map_err(|e| Error::Answer(e.to_string()))?;
    say(text);
    Ok(())
}

/// Prints rows in aligned columns under a head.
pub fn print_table(head: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = head.iter().map(|h| h.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let padded: Vec<String> = cells.zip(&widths).map(|(c, w)| format!("{c:w$}")).collect();
        say(padded.join("  ").trim_end());
    };
    line(&mut head.iter().copied());
    for row in rows {
        line(&mut row.iter().map(String::as_str));
    }
}
