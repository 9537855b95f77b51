//! A TCP relay on loopback whose connections can be delayed, reset or silenced. The soak puts one before the store
//! for each entry and one before each worker; fault injection sets what happens to their traffic.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rockwick::runtime::Runtime;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::{Async, Timer};

/// Interval at which a blocked connection checks whether it may go on.
const POLL_MS: u64 = 20;

/// Largest number of bytes that are relayed at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Names the fault that applies to all traffic of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Delays each chunk by this number of milliseconds.
    Delay(u64),
    /// Relays nothing in either direction; connections stay open.
    Silence,
    /// Relays nothing from the target back to the client.
    OneWay,
    /// Closes open connections, and new ones when they are accepted.
    Reset,
    /// Silences the connections that are open now for good; new ones work.
    Deaf,
}

impl LinkFault {
    /// Encodes the fault as one number, to be held in an atomic.
    fn encode(self) -> u64 {
        match self {
            LinkFault::None => 0,
            LinkFault::Silence => 1,
            LinkFault::OneWay => 2,
            LinkFault::Reset => 3,
            LinkFault::Deaf => 4,
            LinkFault::Delay(ms) => 16 + ms,
        }
    }

    fn decode(number: u64) -> Self {
        match number {
            0 => LinkFault::None,
            1 => LinkFault::Silence,
            2 => LinkFault::OneWay,
            3 => LinkFault::Reset,
            4 => LinkFault::Deaf,
            ms => LinkFault::Delay(ms - 16),
        }
    }
}

/// Relays connections to one target.
#[derive(Clone)]
pub(crate) struct Proxy {
    /// Address where it accepts connections.
    pub(crate) address: SocketAddr,
    fault: Arc<AtomicU64>,
    /// Increases each time that the open connections are silenced for good.
    generation: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    /// Starts a relay to `target` on a port that the system assigns.
    pub(crate) fn start(runtime: Runtime, target: SocketAddr) -> std::io::Result<Self> {
        let listener = Async::new(TcpListener::bind("127.0.0.1:0")?)?;
        let proxy = Self {
            address: listener.get_ref().local_addr()?,
            fault: Arc::default(),
            generation: Arc::default(),
            open: Arc::default(),
        };
        let relay = proxy.clone();
        runtime.spawn_detached(async move {
            while let Ok((from, _)) = listener.accept().await {
                if relay.fault() == LinkFault::Reset {
                    continue;
                }
                let relay = relay.clone();
                runtime.spawn_detached(async move {
                    // If the target refuses, the client's connection is closed.
                    if let Ok(to) = Async::<TcpStream>::connect(target).await {
                        relay.relay_between(from, to).await;
                    }
                });
            }
        });
        Ok(proxy)
    }

    fn fault(&self) -> LinkFault {
        LinkFault::decode(self.fault.load(Ordering::SeqCst))
    }

    /// Sets the fault, or ends it with [`LinkFault::None`].
    pub(crate) fn set(&self, fault: LinkFault) {
        if fault == LinkFault::Deaf {
            self.generation.fetch_add(1, Ordering::SeqCst);
        }
        self.fault.store(fault.encode(), Ordering::SeqCst);
        if fault != LinkFault::Reset {
            return;
        }
        for stream in self.open_streams().drain(..) {
            // Fails if the connection is closed already, which needs no reset.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn open_streams(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn relay_between(&self, from: Async<TcpStream>, to: Async<TcpStream>) {
        for stream in [&from, &to] {
            if let Ok(clone) = stream.get_ref().try_clone() {
                self.open_streams().push(clone);
            }
        }
        let opened_generation = self.generation.load(Ordering::SeqCst);
        let forward = self.copy(&from, &to, false, opened_generation);
        let backward = self.copy(&to, &from, true, opened_generation);
        smol::future::or(forward, backward).await;
        // When one direction ends, both ends of the connection are closed.
        let _ = from.get_ref().shutdown(std::net::Shutdown::Both);
        let _ = to.get_ref().shutdown(std::net::Shutdown::Both);
        let closed = |s: &TcpStream| s.peer_addr().is_err();
        self.open_streams().retain(|s| !closed(s));
    }

    async fn copy(
        &self,
        from: &Async<TcpStream>,
        to: &Async<TcpStream>,
        is_back: bool,
        opened_generation: u64,
    ) {
        let (mut from, mut to) = (from, to);
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(n) = from.read(&mut chunk).await {
            if n == 0 || !self.may_pass(is_back, opened_generation).await {
                return;
            }
            if to.write_all(&chunk[..n]).await.is_err() {
                return;
            }
        }
    }

    /// Waits while the fault blocks this direction; returns whether the connection goes on. Never returns for a
    /// connection that is silenced for good: such a connection ends when the other direction reads its end of stream.
    async fn may_pass(&self, is_back: bool, opened_generation: u64) -> bool {
        loop {
            if self.generation.load(Ordering::SeqCst) != opened_generation {
                Timer::after(Duration::from_millis(POLL_MS)).await;
                continue;
            }
            match self.fault() {
                LinkFault::None | LinkFault::Deaf => return true,
                LinkFault::Reset => return false,
                LinkFault::OneWay if !is_back => return true,
                LinkFault::Delay(ms) => {
                    Timer::after(Duration::from_millis(ms)).await;
                    return true;
                }
                LinkFault::Silence | LinkFault::OneWay => {
                    Timer::after(Duration::from_millis(POLL_MS)).await;
                }
            }
        }
    }
}
