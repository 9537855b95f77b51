//! What may befall orders and renewals on their way.

use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use rockwick::core::sched::fencing_token;
use rockwick::core::sched::rows::{OwnerRow, HEARTBEAT_KEY, OWNER_KEY};
use serde_json::Value;
use smol::Timer;

use super::{Fleet, HallCut, OrderFault, State, UNANSWERED_MS};

/// An order that is held up comes so much later at the most.
const VERY_LATE_MS: u64 = 12_000;

/// The answer to a renewal that is lain in wait for takes so long.
const TRAPPED_MS: u64 = 400;

/// What waits for a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trap {
    /// None came yet.
    Set,
    /// One was done, and its answer is on its way.
    Sprung,
}

/// What becomes of an order.
pub(super) enum Fate {
    /// It is carried out and answered.
    Usual,
    /// It is not carried out, nor answered.
    Lost,
    /// It is carried out so much later, and not answered.
    Late(Duration),
    /// It is carried out at once, and not answered.
    Unheard,
}

impl State {
    /// Draws what becomes of an order to a host.
    pub(super) fn fate(&mut self, host: usize, is_hold: bool, fence: u64) -> Fate {
        let fault = self.order_fault;
        let chance = self.rng.u32(..100);
        if chance < fault.lost {
            return Fate::Late(Duration::from_millis(UNANSWERED_MS));
        }
        if chance < fault.lost + fault.late {
            return Fate::Late(Duration::from_millis(self.rng.u64(1_000..4_000)));
        }
        if let Some(fate) = self.cut_between(host, fence) {
            return fate;
        }
        let late = if is_hold {
            fault.late_holds
        } else {
            fault.very_late
        };
        if late > 0 && self.late_rng.u32(..100) < late {
            let ms = self.late_rng.u64(500..VERY_LATE_MS);
            return Fate::Late(Duration::from_millis(ms));
        }
        Fate::Usual
    }

    /// What the cut between halls does to an order of the owner under that epoch.
    fn cut_between(&self, host: usize, fence: u64) -> Option<Fate> {
        let entry = self.owners.get(&fencing_token::epoch_of(fence))?;
        let number: usize = entry.trim_start_matches(char::is_alphabetic).parse().ok()?;
        let is_across = number % 2 != host % 2;
        match self.hall_cut {
            HallCut::BothWays if is_across => Some(Fate::Lost),
            HallCut::Answers if is_across => Some(Fate::Unheard),
            _ => None,
        }
    }

    /// Takes note of owners' rows that were written; says whether the answer is to be held up.
    pub(super) fn note_owners(&mut self, puts: &[Value], pool: &str, ver: u64) -> bool {
        let mut is_renewal = false;
        for put in puts.iter().filter(|put| put["table"] == "owners") {
            let bytes = BASE64.decode(put["value"].as_str().unwrap_or(""));
            if put["key"] == OWNER_KEY && put["part"] == pool {
                let row = serde_json::from_slice::<OwnerRow>(&bytes.unwrap_or_default());
                let entry = row.map(|row| row.entry).unwrap_or_default();
                self.owners.insert(ver, entry);
                return false;
            }
            is_renewal |= put["key"] == HEARTBEAT_KEY;
        }
        let is_trapped = is_renewal && self.renewal_trap == Some(Trap::Set);
        if is_trapped {
            self.renewal_trap = Some(Trap::Sprung);
        }
        is_trapped
    }
}

impl Fleet {
    /// Holds up the answer to a renewal that was lain in wait for.
    pub(super) async fn hold_up(&self) {
        Timer::after(Duration::from_millis(TRAPPED_MS)).await;
    }

    /// The next renewal of the pool's lease is done, and answered late.
    pub fn trap_renewal(&self) {
        self.lock().renewal_trap = Some(Trap::Set);
    }

    /// Whether a renewal was done whose answer is on its way; says so once.
    pub fn has_trapped(&self) -> bool {
        let mut state = self.lock();
        let is_sprung = state.renewal_trap == Some(Trap::Sprung);
        if is_sprung {
            state.renewal_trap = None;
        }
        is_sprung
    }

    /// The entry that owns the pool, if one does.
    pub fn owner(&self) -> Option<String> {
        let state = self.lock();
        let last = state.owners.values().next_back();
        last.filter(|entry| !entry.is_empty()).cloned()
    }

    /// Lives that begin from now on have clocks of their own.
    pub fn draw_clocks(&self) {
        self.lock().has_clocks = true;
    }

    /// Cuts the two halls from each other, or joins them. Entries and hosts of even numbers are in one, the others in the
    /// other; the store is reached from both.
    pub fn set_hall_cut(&self, cut: HallCut) {
        self.lock().hall_cut = cut;
    }

    /// What befalls orders to workers from now on.
    pub fn set_order_fault(&self, fault: OrderFault) {
        self.lock().order_fault = fault;
    }
}
