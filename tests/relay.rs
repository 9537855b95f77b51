//! A TCP relay between an entry and a process that it talks to; tests cut it to simulate a network failure.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// A relay that accepts connections at `addr` and forwards them to one target.
pub(crate) struct Relay {
    pub(crate) addr: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open_streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub(crate) fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let relay = Self {
            addr: listener.local_addr().expect("an address"),
            is_cut: Arc::new(AtomicBool::new(false)),
            open_streams: Arc::new(Mutex::new(Vec::new())),
        };
        let (is_cut, open_streams) = (Arc::clone(&relay.is_cut), Arc::clone(&relay.open_streams));
        std::thread::spawn(move || {
            for from in listener.incoming().map_while(Result::ok) {
                if is_cut.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(to) = TcpStream::connect(target) {
                    forward(from, to, &open_streams);
                }
            }
        });
        relay
    }

    /// Closes all open connections, and every new one as soon as it is accepted.
    pub(crate) fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self
            .open_streams
            .lock()
            .expect("the lock is not poisoned")
            .drain(..)
        {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub(crate) fn restore(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

/// Forwards bytes in both directions between two connections until one of them ends.
fn forward(a: TcpStream, b: TcpStream, open_streams: &Mutex<Vec<TcpStream>>) {
    let clone = |s: &TcpStream| s.try_clone().expect("a descriptor");
    let mut streams = open_streams.lock().expect("the lock is not poisoned");
    streams.push(clone(&a));
    streams.push(clone(&b));
    for (mut from, mut to) in [(clone(&a), clone(&b)), (b, a)] {
        std::thread::spawn(move || {
            let mut buf = [0u8; 4096];
            while let Ok(n) = from.read(&mut buf) {
                if n == 0 || to.write_all(&buf[..n]).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
        });
    }
}
