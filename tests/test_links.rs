//! Open connections on which no more bytes arrive, while new connections to the same peer work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use http_types::Method;
use rockwick::http::client::{deadline_after_ms, ExchangeError};
use rockwick::http::{Client, Sent};

/// The timeout of a call that is not answered.
const SILENT_TIMEOUT_MS: u64 = 300;

/// The timeout of a call that must be answered, far longer than an answer takes on a busy machine.
const ANSWER_TIMEOUT_MS: u64 = 30_000;

/// The number of connections that are open when they fall silent.
const OPEN_CONNECTIONS: usize = 3;

/// A server whose first [`OPEN_CONNECTIONS`] connections can be made silent.
struct Peer {
    addr: SocketAddr,
    is_silent: Arc<AtomicBool>,
}

impl Peer {
    /// Starts the server. It answers the first [`OPEN_CONNECTIONS`] requests together, so that each takes its own
    /// connection.
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let peer = Self {
            addr: listener.local_addr().expect("an address"),
            is_silent: Arc::default(),
        };
        let is_silent = Arc::clone(&peer.is_silent);
        std::thread::spawn(move || {
            let barrier = Arc::new(Barrier::new(OPEN_CONNECTIONS));
            for (n, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let barrier = (n < OPEN_CONNECTIONS).then(|| Arc::clone(&barrier));
                let falls_silent = (n < OPEN_CONNECTIONS).then(|| Arc::clone(&is_silent));
                std::thread::spawn(move || serve_connection(stream, barrier, falls_silent));
            }
        });
        peer
    }
}

fn serve_connection(
    mut stream: TcpStream,
    barrier: Option<Arc<Barrier>>,
    falls_silent: Option<Arc<AtomicBool>>,
) {
    let mut piece = [0; 4_096];
    let mut is_first = true;
    while matches!(stream.read(&mut piece), Ok(n) if n > 0) {
        if let Some(barrier) = barrier.as_ref().filter(|_| is_first) {
            barrier.wait();
        }
        is_first = false;
        if falls_silent
            .as_ref()
            .is_some_and(|s| s.load(Ordering::SeqCst))
        {
            continue;
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if stream.write_all(answer).is_err() {
            return;
        }
    }
}

async fn send_call(client: &Client, timeout_ms: u64) -> Result<u16, ExchangeError> {
    let req = client.request(Method::Get, "/").expect("a request");
    let answer = client.exchange(req, deadline_after_ms(timeout_ms)).await;
    answer.map(|a| a.status)
}

/// After a call has timed out on an open connection, no later call may use a connection that was open at that time: it
/// would time out as well.
#[test]
fn links_silent_closed() {
    let peer = Peer::start();
    let client = Client::new(peer.addr);
    smol::block_on(async {
        let send_answered = || send_call(&client, ANSWER_TIMEOUT_MS);
        let (a, b, c) = (send_answered(), send_answered(), send_answered());
        let all = futures_lite::future::zip(a, futures_lite::future::zip(b, c)).await;
        assert_eq!(all, (Ok(200), (Ok(200), Ok(200))));
        peer.is_silent.store(true, Ordering::SeqCst);
        assert_eq!(
            send_call(&client, SILENT_TIMEOUT_MS).await,
            Err(ExchangeError::Timeout(Sent::Some))
        );
        assert_eq!(send_answered().await, Ok(200), "a new connection works");
    });
}

/// A caller that neither reads nor closes must not block the task that writes its answer, nor the stop of the entry.
#[test]
fn links_silent_caller() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let caller = TcpStream::connect(listener.local_addr().expect("an address")).expect("connects");
    let (stream, _) = listener.accept().expect("accepts");
    let began = Instant::now();
    smol::block_on(async {
        let wire = rockwick::http::Wire::for_requests(smol::Async::new(stream).expect("async"));
        let large = vec![b'x'; 64 << 20];
        let res = rockwick::http::server::answer(200, "text/plain", large);
        let written = rockwick::http::server::write_answer(&wire, res, Method::Get, true).await;
        assert!(written.is_err(), "the caller reads nothing");
    });
    // Far longer than the bound of a write; without a bound the write would never end.
    assert!(began.elapsed() < Duration::from_secs(60));
    drop(caller);
}
