//! Exchange between entries over nng: each entry polls its peers and answers their polls.
//!
//! A poll is sent at a known time, so its answer proves that the view was fresh at that time. A message that a peer
//! sends on its own proves nothing after a pause of this process. `entry::run` starts the threads; the operators'
//! interface calls [`ask_peers_to_explain`].

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use nng::options::{Options, RecvMaxSize, RecvTimeout, SendTimeout};
use nng::{Protocol, Socket};

use super::control::Message;
use super::shared::Shared;
use crate::clock::Millis;
use crate::core::Event;
use crate::error::{Error, Result};
use crate::event::{Decision, Subject};
use crate::wire::{decode, encode, PeerReply, PeerRequest, MESSAGE_MAX_BYTES};

/// Pause between two polls of the same peer.
const POLL_INTERVAL_MS: Millis = 1_000;

/// Longest time to send a message to a peer, and to wait for its answer. A poll that takes longer counts as unanswered.
const ANSWER_MAX_MS: Millis = 1_000;

/// Longest wait for the control thread's answer to a poll.
const CONTROL_MAX_MS: Millis = 800;

/// Starts one thread that answers polls, and for each peer one thread that polls the peer.
pub(super) fn start(shared: &Arc<Shared>) -> Result<()> {
    let socket = Socket::new(Protocol::Rep0)?;
    socket.set_opt::<RecvMaxSize>(MESSAGE_MAX_BYTES)?;
    socket.set_opt::<SendTimeout>(Some(Duration::from_millis(ANSWER_MAX_MS)))?;
    let addr = shared.settings.peer_listen;
    socket
        .listen(&format!("tcp://{addr}"))
        .map_err(|e| Error::Usage(format!("--peer-listen {addr}: {e}")))?;
    let answering = Arc::clone(shared);
    spawn_thread("peer-answer", move || answer_polls(&answering, &socket))?;
    for peer in &shared.settings.peers {
        if *peer == addr {
            continue;
        }
        let asking = Arc::clone(shared);
        let peer = *peer;
        spawn_thread("peer-ask", move || poll_forever(&asking, peer))?;
    }
    Ok(())
}

fn spawn_thread(name: &str, work: impl FnOnce() + Send + 'static) -> Result<()> {
    std::thread::Builder::new()
        .name(name.to_string())
        .stack_size(256 << 10)
        .spawn(work)
        .map(|_| ())
        .map_err(|e| Error::Io("peer thread".to_string(), e))
}

fn answer_polls(shared: &Shared, socket: &Socket) {
    loop {
        let Ok(message) = socket.recv() else {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        };
        count_bytes(shared, message.len());
        let answer = match decode(&message) {
            Some(PeerRequest::Poll { digest, since }) => answer_poll(shared, digest, since),
            Some(PeerRequest::Explain { subject, id }) => Some(PeerReply::Decisions {
                entry: shared.settings.name.clone(),
                list: shared.log.decisions_about(subject, &id),
            }),
            None => None,
        };
        // A peer that gets no answer asks again. An nng REP socket can receive the next request
        // even if the last one was not answered.
        if let Some(bytes) = answer.as_ref().and_then(encode) {
            count_bytes(shared, bytes.len());
            let _ = socket.send(bytes.as_slice());
        }
    }
}

fn answer_poll(
    shared: &Shared,
    digest: crate::core::members::Digest,
    since: u64,
) -> Option<PeerReply> {
    let (reply, answer) = smol::channel::bounded(1);
    shared.send_to_control(Message::Poll {
        digest,
        since,
        reply,
    });
    let wait = async { answer.recv().await.ok() };
    let timeout = async {
        smol::Timer::after(Duration::from_millis(CONTROL_MAX_MS)).await;
        None
    };
    smol::block_on(futures_lite::FutureExt::or(wait, timeout))
}

fn poll_forever(shared: &Shared, peer: SocketAddr) {
    let mut socket = None;
    loop {
        if socket.is_none() {
            socket = dial(peer).ok();
        }
        let more = match &socket {
            Some(s) => poll_once(shared, s),
            None => false,
        };
        if !more {
            std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }
}

fn dial(peer: SocketAddr) -> Result<Socket> {
    let socket = Socket::new(Protocol::Req0)?;
    socket.set_opt::<RecvMaxSize>(MESSAGE_MAX_BYTES)?;
    socket.set_opt::<SendTimeout>(Some(Duration::from_millis(ANSWER_MAX_MS)))?;
    socket.set_opt::<RecvTimeout>(Some(Duration::from_millis(ANSWER_MAX_MS)))?;
    socket.dial_async(&format!("tcp://{peer}"))?;
    Ok(socket)
}

/// Polls a peer once. Returns whether the peer has more changes that can be read at once.
fn poll_once(shared: &Shared, socket: &Socket) -> bool {
    let view = shared.peer_view.load_full();
    let begun_ms = shared.clock.now_ms();
    let request = PeerRequest::Poll {
        digest: view.digest.clone(),
        since: view.since,
    };
    let Some(PeerReply::View {
        digest,
        changes,
        complete,
        hosts,
    }) = exchange_messages(shared, socket, &request)
    else {
        return false;
    };
    let more = changes.more && complete;
    shared.send_to_control(Message::Event(Event::PeerAnswered {
        begun_ms,
        digest,
        changes,
        complete,
        hosts,
    }));
    if more {
        // The control thread must apply the rows before the next poll states what this entry knows.
        std::thread::sleep(Duration::from_millis(20));
    }
    more
}

fn exchange_messages(shared: &Shared, socket: &Socket, request: &PeerRequest) -> Option<PeerReply> {
    let bytes = encode(request)?;
    count_bytes(shared, bytes.len());
    socket.send(bytes.as_slice()).ok()?;
    let message = socket.recv().ok()?;
    count_bytes(shared, message.len());
    decode(&message)
}

fn count_bytes(shared: &Shared, bytes: usize) {
    shared
        .metrics
        .peer_bytes
        .fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Returns the decisions that the peers logged about one subject, each with the name of the entry that logged it.
/// Blocks, so it must not be called on the control thread or a traffic thread.
pub(super) fn ask_peers_to_explain(
    shared: &Shared,
    subject: Subject,
    id: &str,
) -> Vec<(String, Decision)> {
    let mut found = Vec::new();
    for peer in &shared.settings.peers {
        if *peer == shared.settings.peer_listen {
            continue;
        }
        let request = PeerRequest::Explain {
            subject,
            id: id.to_string(),
        };
        let answer = dial(*peer)
            .ok()
            .and_then(|s| exchange_messages(shared, &s, &request));
        if let Some(PeerReply::Decisions { entry, list }) = answer {
            found.extend(list.into_iter().map(|d| (entry.clone(), d)));
        }
    }
    found
}
