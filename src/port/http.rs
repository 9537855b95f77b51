//! The adapter for a platform with an HTTP and JSON interface.
//!
//! [`Http`] implements the traits of this port over one client. Entries use it to reach the platform.

use std::net::SocketAddr;

use http_types::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::{
    Attempt, Changes, Down, HostList, HostOrders, Listing, Objects, OrderAnswer, Put, Reports, Row,
    Table, TaskRef, TaskStart, Tasks, Transaction,
};
use crate::clock::Millis;
use crate::http::client::deadline_after_ms;
use crate::http::{Answer, Client, ExchangeError, Sent};
use crate::util::escape_path;

/// The timeout of one call; an outage must not block the control thread for longer.
const CALL_TIMEOUT_MS: Millis = 1_500;

/// A platform that is reached at one address.
pub struct Http {
    client: Client,
    user_agent: String,
}

/// The body of the answer to a committed transaction.
#[derive(Debug, Serialize, Deserialize)]
pub struct CommitResponse {
    /// The sequence number of all writes of the transaction.
    pub seq: u64,
}

/// The body of the answer to an order.
#[derive(Debug, Serialize, Deserialize)]
pub struct OrderResponse {
    /// What the platform did with the order.
    pub answer: OrderAnswer,
}

/// The body of a reboot order.
#[derive(Debug, Serialize, Deserialize)]
pub struct RebootRequest {
    /// Unique to one maintenance of a host; a repeated order with the same token changes nothing.
    pub token: String,
}

impl Http {
    /// Creates an adapter without opening a connection; its calls name the entry in `User-Agent`.
    pub fn new(addr: SocketAddr, entry: &str) -> Self {
        Self {
            client: Client::new(addr),
            user_agent: format!("rockwick/{entry}"),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        etag: Option<&str>,
    ) -> Result<Answer, ExchangeError> {
        let mut req = self
            .client
            .request(method, path)
            .ok_or(ExchangeError::Connect(Sent::Nothing))?;
        req.insert_header("user-agent", self.user_agent.as_str());
        if let Some(tag) = etag {
            req.insert_header("if-none-match", tag);
        }
        if let Some(bytes) = body {
            req.set_body(bytes);
            req.insert_header("content-type", "application/json");
        }
        self.client
            .exchange(req, deadline_after_ms(CALL_TIMEOUT_MS))
            .await
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Down> {
        let answer = self.call(Method::Get, path, None, None).await;
        match answer {
            Ok(a) if a.status == 200 => a.json().ok_or(Down),
            _ => Err(Down),
        }
    }

    async fn order<T: Serialize + Sync>(&self, path: &str, body: &T) -> Result<OrderAnswer, Down> {
        let bytes = serde_json::to_vec(body).map_err(|_| Down)?;
        match self.call(Method::Post, path, Some(bytes), None).await {
            Ok(a) if a.status == 200 => a.json::<OrderResponse>().map(|o| o.answer).ok_or(Down),
            _ => Err(Down),
        }
    }
}

/// Returns the put with its value wrapped in a document that carries the transaction's token.
fn stamp(put: &Put, token: &str) -> Put {
    let value = put.value.as_ref().map(|v| {
        let token = serde_json::Value::from(token);
        format!("{{\"token\":{token},\"body\":{v}}}")
    });
    Put {
        value,
        ..put.clone()
    }
}

impl Table for Http {
    async fn get(&self, key: &str) -> Result<Option<Row>, Down> {
        let path = format!("/table/rows/{}", escape_path(key));
        match self.call(Method::Get, &path, None, None).await {
            Ok(a) if a.status == 200 => a.json().map(Some).ok_or(Down),
            Ok(a) if a.status == 404 => Ok(None),
            _ => Err(Down),
        }
    }

    async fn changes(&self, since: u64, spaces: &[&str]) -> Result<Changes, Down> {
        let spaces = spaces.join(",");
        self.read(&format!("/table/changes?since={since}&spaces={spaces}"))
            .await
    }

    async fn send(&self, txn: &Transaction) -> Attempt {
        let stamped = Transaction {
            token: txn.token.clone(),
            checks: txn.checks.clone(),
            puts: txn.puts.iter().map(|p| stamp(p, &txn.token)).collect(),
        };
        let Ok(bytes) = serde_json::to_vec(&stamped) else {
            return Attempt::NotSent;
        };
        let answer = self
            .call(Method::Post, "/table/transactions", Some(bytes), None)
            .await;
        match answer {
            Ok(a) if a.status == 200 => match a.json::<CommitResponse>() {
                Some(c) => Attempt::Committed(c.seq),
                None => Attempt::Lost,
            },
            Ok(a) if a.status == 409 => Attempt::Conflict,
            Ok(_) => Attempt::Lost,
            Err(t) if t.sent() == Sent::Nothing => Attempt::NotSent,
            Err(_) => Attempt::Lost,
        }
    }
}

impl Objects for Http {
    async fn put(&self, name: &str, bytes: Vec<u8>) -> Result<(), Down> {
        let path = format!("/objects/{}", escape_path(name));
        match self.call(Method::Put, &path, Some(bytes), None).await {
            Ok(a) if a.status == 200 => Ok(()),
            _ => Err(Down),
        }
    }

    async fn fetch(&self, name: &str) -> Result<Option<Vec<u8>>, Down> {
        let path = format!("/objects/{}", escape_path(name));
        match self.call(Method::Get, &path, None, None).await {
            Ok(a) if a.status == 200 => Ok(Some(a.body)),
            Ok(a) if a.status == 404 => Ok(None),
            _ => Err(Down),
        }
    }
}

impl HostList for Http {
    async fn list(&self, etag: Option<&str>) -> Result<Option<(String, Listing)>, Down> {
        match self.call(Method::Get, "/hosts", None, etag).await {
            Ok(a) if a.status == 304 => Ok(None),
            Ok(a) if a.status == 200 => {
                let tag = a.header("etag").unwrap_or_default().to_string();
                a.json().map(|l| Some((tag, l))).ok_or(Down)
            }
            _ => Err(Down),
        }
    }
}

impl Tasks for Http {
    async fn start(&self, task: &TaskStart) -> Result<OrderAnswer, Down> {
        self.order("/tasks/start", task).await
    }

    async fn renew(&self, tasks: &[TaskRef]) -> Result<(), Down> {
        self.order("/tasks/renew", &tasks).await.map(|_| ())
    }

    async fn stop(&self, task: &TaskRef) -> Result<OrderAnswer, Down> {
        self.order("/tasks/stop", task).await
    }

    async fn reports(&self, since: u64) -> Result<Reports, Down> {
        self.read(&format!("/tasks/reports?since={since}")).await
    }
}

impl HostOrders for Http {
    async fn reboot(&self, host: &str, token: &str) -> Result<OrderAnswer, Down> {
        let path = format!("/hosts/{}/reboot", escape_path(host));
        let body = RebootRequest {
            token: token.to_string(),
        };
        self.order(&path, &body).await
    }
}
