//! A TCP relay on loopback whose connections can be delayed, reset, silenced, cut one way or made deaf.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rockwick::runtime::Runtime;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::{Async, Timer};

/// How often a connection that is held up looks whether it may go on.
const LOOK_MS: u64 = 20;

/// Bytes that are passed on at a time.
const PIECE_BYTES: usize = 16 << 10;

/// What befalls everything that goes through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Nothing.
    #[default]
    None,
    /// Each piece is held up for so many milliseconds.
    Delay(u64),
    /// Nothing goes either way; connections stay open.
    Silence,
    /// Nothing comes back.
    OneWay,
    /// Connections are closed as soon as something moves on them, new ones at once.
    Reset,
    /// Connections that are open now never pass anything on again; new ones work.
    Deaf,
}

impl Trouble {
    /// As one number, to be shared.
    fn encode(self) -> u64 {
        match self {
            Trouble::None => 0,
            Trouble::Silence => 1,
            Trouble::OneWay => 2,
            Trouble::Reset => 3,
            Trouble::Deaf => 4,
            Trouble::Delay(ms) => 16 + ms,
        }
    }

    fn decode(number: u64) -> Self {
        match number {
            0 => Trouble::None,
            1 => Trouble::Silence,
            2 => Trouble::OneWay,
            3 => Trouble::Reset,
            4 => Trouble::Deaf,
            ms => Trouble::Delay(ms - 16),
        }
    }
}

/// The relay.
#[derive(Clone)]
pub(crate) struct Proxy {
    /// Where it takes connections.
    pub(crate) address: SocketAddr,
    trouble: Arc<AtomicU64>,
    /// Rises each time that the connections open at that moment go deaf.
    generation: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    /// A relay to `target`.
    pub(crate) fn start(runtime: Runtime, target: SocketAddr) -> std::io::Result<Self> {
        let listener = Async::new(TcpListener::bind("127.0.0.1:0")?)?;
        let proxy = Self {
            address: listener.get_ref().local_addr()?,
            trouble: Arc::default(),
            generation: Arc::default(),
            open: Arc::default(),
        };
        let relay = proxy.clone();
        runtime.spawn_detached(async move {
            while let Ok((from, _)) = listener.accept().await {
                if relay.trouble() == Trouble::Reset {
                    continue;
                }
                let relay = relay.clone();
                runtime.spawn_detached(async move {
                    // Whoever connects to a dead port sees its connection closed.
                    if let Ok(to) = Async::<TcpStream>::connect(target).await {
                        relay.join(from, to).await;
                    }
                });
            }
        });
        Ok(proxy)
    }

    fn trouble(&self) -> Trouble {
        Trouble::decode(self.trouble.load(Ordering::SeqCst))
    }

    /// Brings trouble, or ends it with [`Trouble::None`].
    pub(crate) fn set(&self, trouble: Trouble) {
        if trouble == Trouble::Deaf {
            self.generation.fetch_add(1, Ordering::SeqCst);
        }
        self.trouble.store(trouble.encode(), Ordering::SeqCst);
        if trouble != Trouble::Reset {
            return;
        }
        for stream in self.held().drain(..) {
            // A connection that is closed already needs no reset.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn held(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }

    async fn join(&self, from: Async<TcpStream>, to: Async<TcpStream>) {
        for stream in [&from, &to] {
            if let Ok(clone) = stream.get_ref().try_clone() {
                self.held().push(clone);
            }
        }
        let born = self.generation.load(Ordering::SeqCst);
        let there = self.pump(&from, &to, false, born);
        let back = self.pump(&to, &from, true, born);
        smol::future::or(there, back).await;
        // One side is done: so is the other.
        let _ = from.get_ref().shutdown(std::net::Shutdown::Both);
        let _ = to.get_ref().shutdown(std::net::Shutdown::Both);
        let closed = |s: &TcpStream| s.peer_addr().is_err();
        self.held().retain(|s| !closed(s));
    }

    async fn pump(&self, from: &Async<TcpStream>, to: &Async<TcpStream>, is_back: bool, born: u64) {
        let (mut from, mut to) = (from, to);
        let mut piece = vec![0; PIECE_BYTES];
        while let Ok(n) = from.read(&mut piece).await {
            if n == 0 || !self.let_through(is_back, born).await {
                return;
            }
            if to.write_all(&piece[..n]).await.is_err() {
                return;
            }
        }
    }

    /// Waits as the trouble asks for; says whether the connection lives on. A deaf one waits for ever: whoever
    /// closes it first ends both ways.
    async fn let_through(&self, is_back: bool, born: u64) -> bool {
        loop {
            if self.generation.load(Ordering::SeqCst) != born {
                Timer::after(Duration::from_millis(LOOK_MS)).await;
                continue;
            }
            match self.trouble() {
                Trouble::None | Trouble::Deaf => return true,
                Trouble::Reset => return false,
                Trouble::OneWay if !is_back => return true,
                Trouble::Delay(ms) => {
                    Timer::after(Duration::from_millis(ms)).await;
                    return true;
                }
                Trouble::Silence | Trouble::OneWay => {
                    Timer::after(Duration::from_millis(LOOK_MS)).await;
                }
            }
        }
    }
}
