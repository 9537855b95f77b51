//! The commands of the binary, one module each, and the helpers that they share: the call to an entry and the output.

pub mod entry;
pub mod events;
pub mod explain;
pub mod forget;
pub mod hall;
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
use crate::http::client::deadline_after_ms;
use crate::http::{Answer, Client};

/// Timeout of one call to an entry; longer than any commit takes.
const CALL_TIMEOUT_MS: u64 = 25_000;

/// The entry that a command asks, and how the command prints the answer.
#[derive(Clone, Debug)]
pub struct Target {
    entry: String,
    token: Option<String>,
    json: bool,
}

/// Returns the parser of the flags that all commands to an entry share.
pub fn target() -> impl Parser<Target> {
    let entry = long("entry")
        .env("ROCKWICK_ENTRY")
        .help("Admin address of any entry")
        .argument("IP:PORT");
    let token = long("token")
        .env("ROCKWICK_TOKEN")
        .help("Operators' token, if the entries require one")
        .argument("TOKEN")
        .optional();
    let json = long("json").help("Print JSON").switch();
    construct!(Target { entry, token, json })
}

impl Target {
    /// Returns whether the output is JSON.
    pub fn json(&self) -> bool {
        self.json
    }

    fn client(&self) -> Result<Client> {
        let addr: SocketAddr = self.entry.parse().map_err(|_| {
            let text = format!("--entry {:?}: must be an IP address and a port", self.entry);
            Error::Usage(text)
        })?;
        Ok(Client::new(addr))
    }

    fn call(&self, method: Method, path: &str, body: Option<Vec<u8>>) -> Result<Answer> {
        let client = self.client()?;
        let mut req: Request = client
            .request(method, path)
            .ok_or_else(|| Error::Usage(format!("path {path:?} is not valid in a URL")))?;
        if let Some(token) = &self.token {
            req.insert_header("authorization", format!("Bearer {token}"));
        }
        if let Some(bytes) = body {
            req.set_body(bytes);
        }
        let answer = smol::block_on(client.exchange(req, deadline_after_ms(CALL_TIMEOUT_MS)));
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

    /// Gets a document of the operators' interface.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let answer = self.call(Method::Get, path, None)?;
        answer.json().ok_or_else(|| Error::Answer(path.to_string()))
    }

    /// Asks the entry for a change and returns its reply.
    pub fn edit(&self, edit: &Edit) -> Result<Reply> {
        let body = serde_json::to_vec(edit).map_err(|e| Error::Answer(e.to_string()))?;
        let answer = self.call(Method::Post, "/v1/edit", Some(body))?;
        answer
            .json()
            .ok_or_else(|| Error::Answer("edit".to_string()))
    }

    /// Asks the entry for a change and prints its reply.
    pub fn edit_and_print(&self, edit: &Edit) -> Result<()> {
        let reply = self.edit(edit)?;
        if self.json {
            return print_json(&reply);
        }
        match reply {
            Reply::Version(v) => print_line(format!("version {v}")),
            Reply::Wave(id) | Reply::Job(id) => print_line(id),
            Reply::Done(text) => print_line(text),
        }
        Ok(())
    }
}

/// Prints a line. If standard output is closed, the command ends with exit code 0.
pub fn print_line(line: impl std::fmt::Display) {
    use std::io::Write;
    let mut out = std::io::stdout().lock();
    if writeln!(out, "{line}").is_err() {
        std::process::exit(0);
    }
}

/// Prints a value as indented JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<()> {
    let text = serde_json::to_string_pretty(value).map_err(|e| Error::Answer(e.to_string()))?;
    print_line(text);
    Ok(())
}

/// Prints rows in aligned columns under a line of column names.
pub fn print_table(columns: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = columns.iter().map(|c| c.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let padded: Vec<String> = cells.zip(&widths).map(|(c, w)| format!("{c:w$}")).collect();
        print_line(padded.join("  ").trim_end());
    };
    line(&mut columns.iter().copied());
    for row in rows {
        line(&mut row.iter().map(String::as_str));
    }
}
