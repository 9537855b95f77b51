//! What the feeds need to know about the pools that this entry owns. The control thread keeps it up to date.

use std::cell::{Cell, RefCell};

use smol::channel::{Receiver, Sender};

use crate::port::fleet::Revision;

/// A condition that one feed waits for.
pub(super) struct Gate {
    is_open: Cell<bool>,
    opened: (Sender<()>, Receiver<()>),
}

impl Default for Gate {
    fn default() -> Self {
        Self {
            is_open: Cell::new(false),
            opened: smol::channel::bounded(1),
        }
    }
}

impl Gate {
    /// Opens or closes the gate.
    pub(super) fn set_open(&self, is_open: bool) {
        if is_open && !self.is_open.replace(true) {
            // A full channel means that the feed is about to look at the gate anyway.
            let _ = self.opened.0.try_send(());
        }
        self.is_open.set(is_open);
    }

    /// Returns whether the gate is open.
    pub(super) fn is_open(&self) -> bool {
        self.is_open.get()
    }

    /// Waits until the gate is open.
    pub(super) async fn wait_open(&self) {
        while !self.is_open.get() {
            // The sender is kept next to the receiver, so the channel is never closed.
            let _ = self.opened.1.recv().await;
        }
    }
}

/// The pools that this entry owns, as far as the feeds need to know.
#[derive(Default)]
pub(super) struct OwnedPools {
    /// The names of the owned pools.
    pub(super) pools: RefCell<Vec<String>>,
    /// The revision after which intake is followed; nothing while this entry owns no pool.
    pub(super) intake_from: Cell<Option<Revision>>,
    /// Whether this entry orders hosts.
    pub(super) orders_hosts: Cell<bool>,
    /// Whether all slots of standbys are held, as far as is known.
    pub(super) are_standbys_full: Cell<bool>,
    /// Open while this entry owns a pool: for the feed of intake.
    pub(super) intake: Gate,
    /// Open while this entry owns a pool: for the feed of workers.
    pub(super) workers: Gate,
    /// Open while this entry owns a pool: for the feed of waves.
    pub(super) waves: Gate,
    /// Open while this entry follows the owners of all pools.
    pub(super) owners: Gate,
}

impl OwnedPools {
    /// Sets the revision after which intake is followed, and wakes the feeds that depend on it.
    pub(super) fn follow_intake_from(&self, revision: Option<Revision>) {
        self.intake_from.set(revision);
        for gate in [&self.intake, &self.workers, &self.waves] {
            gate.set_open(revision.is_some());
        }
    }
}
