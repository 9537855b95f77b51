//! Open connections that fall silent for good while new ones work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use http_types::Method;
use rockwick::http::client::{deadline_after_ms, ExchangeError};
use rockwick::http::{Client, Sent};

/// For one call: long beside an answer on loopback.
const TIMEOUT_MS: u64 = 300;

/// Connections that are open when they fall silent.
const OPEN: usize = 3;

/// A server whose connections that are open now can be made silent.
struct Peer {
    addr: SocketAddr,
    is_silent: Arc<AtomicBool>,
}

impl Peer {
    /// The first [`OPEN`] requests are answered together, so that each takes a connection of its own.
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let peer = Self {
            addr: listener.local_addr().expect("an address"),
            is_silent: Arc::default(),
        };
        let is_silent = Arc::clone(&peer.is_silent);
        std::thread::spawn(move || {
            let together = Arc::new(Barrier::new(OPEN));
            for (n, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let together = (n < OPEN).then(|| Arc::clone(&together));
                let falls_silent = (n < OPEN).then(|| Arc::clone(&is_silent));
                std::thread::spawn(move || serve(stream, together, falls_silent));
            }
        });
        peer
    }
}

fn serve(
    mut stream: TcpStream,
    together: Option<Arc<Barrier>>,
    falls_silent: Option<Arc<AtomicBool>>,
) {
    let mut piece = [0; 4_096];
    let mut is_first = true;
    while matches!(stream.read(&mut piece), Ok(n) if n > 0) {
        if let Some(together) = together.as_ref().filter(|_| is_first) {
            together.wait();
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

async fn call(client: &Client) -> Result<u16, ExchangeError> {
    let req = client.request(Method::Get, "/").expect("a request");
    let answer = client.exchange(req, deadline_after_ms(TIMEOUT_MS)).await;
    answer.map(|a| a.status)
}

/// After one call has timed out on an open connection, no other call goes over those that were open then.
#[test]
fn links_silent_closed() {
    let peer = Peer::start();
    let client = Client::new(peer.addr);
    smol::block_on(async {
        let (a, b) = (call(&client), call(&client));
        let c = call(&client);
        let all = futures_lite::future::zip(a, futures_lite::future::zip(b, c)).await;
        assert_eq!(all, (Ok(200), (Ok(200), Ok(200))));
        peer.is_silent.store(true, Ordering::SeqCst);
        assert_eq!(call(&client).await, Err(ExchangeError::Timeout(Sent::Some)));
        assert_eq!(call(&client).await, Ok(200), "a new connection works");
    });
}

/// A caller that reads nothing and says nothing holds neither the task that answers it nor a stop.
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
        assert!(written.is_err(), "nobody reads it");
    });
    // Far beyond the bound: without one, the write would never end.
    assert!(began.elapsed() < Duration::from_secs(60));
    drop(caller);
}
