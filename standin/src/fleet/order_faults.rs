//! Faults of orders to workers and of renewals of the pool's lease. The worker code draws here how each
//! order is delivered; the soak sets the faults.

use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use rockwick::core::sched::fencing_token;
use rockwick::core::sched::rows::{OwnerRow, HEARTBEAT_KEY, OWNER_KEY};
use serde_json::Value;
use smol::Timer;

use super::{Fleet, HallCut, OrderFault, State, UNANSWERED_MS};

/// Bound, exclusive, of the delay of a very late order.
const VERY_LATE_MS: u64 = 12_000;

/// Delay of the answer to a trapped renewal.
const TRAPPED_MS: u64 = 400;

/// Names the state of the trap for a renewal of the pool's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trap {
    /// No renewal has come yet.
    Armed,
    /// A renewal was applied, and its answer is being delayed.
    Triggered,
}

/// Names how an order is delivered.
pub(super) enum OrderDelivery {
    /// Executed and answered.
    Normal,
    /// Neither executed nor answered.
    Lost,
    /// Executed after this delay, and not answered.
    Delayed(Duration),
    /// Executed at once, and not answered.
    AnswerLost,
}

impl State {
    /// Draws how an order to a host is delivered.
    pub(super) fn draw_delivery(
        &mut self,
        host: usize,
        is_renewal: bool,
        fencing_token: u64,
    ) -> OrderDelivery {
        let fault = self.order_fault;
        let chance = self.rng.u32(..100);
        if chance < fault.lost {
            return OrderDelivery::Delayed(Duration::from_millis(UNANSWERED_MS));
        }
        if chance < fault.lost + fault.late {
            return OrderDelivery::Delayed(Duration::from_millis(self.rng.u64(1_000..4_000)));
        }
        if let Some(delivery) = self.delivery_across_halls(host, fencing_token) {
            return delivery;
        }
        let late = if is_renewal {
            fault.late_holds
        } else {
            fault.very_late
        };
        if late > 0 && self.late_rng.u32(..100) < late {
            let ms = self.late_rng.u64(500..VERY_LATE_MS);
            return OrderDelivery::Delayed(Duration::from_millis(ms));
        }
        OrderDelivery::Normal
    }

    /// Returns what the cut between the halls does to an order under this fencing token; `None` if nothing.
    fn delivery_across_halls(&self, host: usize, fencing_token: u64) -> Option<OrderDelivery> {
        let entry = self.owners.get(&fencing_token::epoch_of(fencing_token))?;
        let number: usize = entry.trim_start_matches(char::is_alphabetic).parse().ok()?;
        let is_across = number % 2 != host % 2;
        match self.hall_cut {
            HallCut::BothWays if is_across => Some(OrderDelivery::Lost),
            HallCut::Answers if is_across => Some(OrderDelivery::AnswerLost),
            _ => None,
        }
    }

    /// Records the owners that a transaction writes; returns whether to delay the answer, because it renews the pool's
    /// lease while the trap is set.
    pub(super) fn record_owners(&mut self, puts: &[Value], pool: &str, ver: u64) -> bool {
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
        let is_trapped = is_renewal && self.renewal_trap == Some(Trap::Armed);
        if is_trapped {
            self.renewal_trap = Some(Trap::Triggered);
        }
        is_trapped
    }
}

impl Fleet {
    /// Holds an order to a host's worker up. It outlives the instance that it was meant for: whichever instance is up
    /// afterwards carries it out, if it has the id that the order names.
    pub(super) async fn delay_order(&self, host: usize, after: Duration) {
        let serial = {
            let mut state = self.lock();
            state.delayed_orders += 1;
            state.serial_on(host)
        };
        Timer::after(after).await;
        let mut state = self.lock();
        state.delayed_orders -= 1;
        let later_serial = state.serial_on(host);
        state.orders_to_later += u64::from(later_serial != 0 && later_serial != serial);
    }

    /// Returns the number of orders that are held up now.
    pub fn delayed_orders(&self) -> u64 {
        self.lock().delayed_orders
    }

    /// Returns the number of orders that were held up until a later instance than the one at their arrival was up.
    pub fn orders_to_later(&self) -> u64 {
        self.lock().orders_to_later
    }

    /// Waits for the delay of the answer to a trapped renewal.
    pub(super) async fn delay_answer(&self) {
        Timer::after(Duration::from_millis(TRAPPED_MS)).await;
    }

    /// Makes the next renewal of the pool's lease be applied and answered late.
    pub fn trap_renewal(&self) {
        self.lock().renewal_trap = Some(Trap::Armed);
    }

    /// Returns whether the trapped renewal was applied; true only once.
    pub fn take_trapped_renewal(&self) -> bool {
        let mut state = self.lock();
        let is_triggered = state.renewal_trap == Some(Trap::Triggered);
        if is_triggered {
            state.renewal_trap = None;
        }
        is_triggered
    }

    /// Returns the name of the entry that owns the pool, if one does.
    pub fn owner(&self) -> Option<String> {
        let state = self.lock();
        let last = state.owners.values().next_back();
        last.filter(|entry| !entry.is_empty()).cloned()
    }

    /// Gives instances that start from now on clocks of their own.
    pub fn use_own_clocks(&self) {
        self.lock().has_clocks = true;
    }

    /// Cuts the two halls from each other, or reconnects them. Entries and hosts with even numbers are in one hall, the
    /// others in the other; both reach the store.
    pub fn set_hall_cut(&self, cut: HallCut) {
        self.lock().hall_cut = cut;
    }

    /// Sets the faults of orders to workers.
    pub fn set_order_fault(&self, fault: OrderFault) {
        self.lock().order_fault = fault;
    }
}
