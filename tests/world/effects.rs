//! Carries out the effects of an entry, subject to the faults of the world.

use super::store::STORE_TIMEOUT_MS;
use super::*;

impl World {
    pub(super) fn apply_effect(&mut self, n: usize, effect: Effect) {
        if std::env::var_os("ROCKWICK_SEED").is_some() {
            println!("{} entry-{n} {effect:?}", self.now_ms);
        }
        self.ordering_entry = n;
        match effect {
            Effect::Claim(pool, shard, tx) => {
                let sent_ms = self.now_ms;
                let (mut after_ms, mut outcome) = self.call_store(n, &tx);
                if self.claims_unanswered > 0 {
                    self.claims_unanswered -= 1;
                    (after_ms, outcome) = (STORE_TIMEOUT_MS, TxOutcome::Unknown);
                }
                self.schedule_reply(n, after_ms, Event::Claimed(pool, shard, sent_ms, outcome));
            }
            Effect::Renew(pool, epoch, shard, tx) => {
                self.renewals += 1;
                let sent_ms = self.now_ms;
                let (after_ms, outcome) = self.call_store(n, &tx);
                self.schedule_reply(
                    n,
                    after_ms,
                    Event::Renewed(pool, epoch, shard, sent_ms, outcome),
                );
            }
            Effect::Record(pool, pool_state, shard, tx) => {
                let (after_ms, outcome) = self.call_store(n, &tx);
                self.schedule_reply(
                    n,
                    after_ms,
                    Event::Recorded(pool, pool_state, shard, outcome),
                );
            }
            Effect::Release(tx) => {
                self.call_store(n, &tx);
            }
            Effect::SettleWave(pool, epoch, tx) => {
                let (after_ms, outcome) = self.call_store(n, &tx);
                self.schedule_reply(n, after_ms, Event::WaveSettled(pool, epoch, outcome));
            }
            Effect::ReportWave(wave, state) => self.apply_wave_report(wave, state),
            Effect::Load(pool, epoch, _) => {
                // An unavailable partition cannot be read either.
                let is_disconnected = self.entries[n].disconnected_until_ms > self.now_ms;
                let reads = !is_disconnected && self.unavailable_parts.is_empty();
                let rows = reads.then(|| self.loaded_rows());
                self.schedule_reply(n, 8, Event::Loaded(pool, epoch, rows));
            }
            Effect::ReadHosts(pool, epoch) => {
                let hosts = self.hosts();
                self.schedule_reply(n, 5, Event::HostsRead(pool, epoch, hosts.into()));
            }
            Effect::Start(order, task, start) => {
                let run = start.run;
                let late = LateOrder::Start(order.to.fence, start.clone());
                let (after_ms, reply) = if let Some(reply) = self.misaddressed_reply(&order.to) {
                    (self.draw_delay_ms(), reply)
                } else if self.is_order_delivered(&order.to.worker, late) {
                    (
                        self.draw_delay_ms(),
                        self.start_run(&order.to.worker, order.to.fence, &start),
                    )
                } else {
                    (ORDER_TIMEOUT_MS, OrderReply::Silent)
                };
                let pool_state = order.pool_state;
                self.schedule_reply(
                    n,
                    after_ms,
                    Event::Started(order.pool, pool_state, task, run, reply),
                );
            }
            Effect::Stop(order, task, name, run) => {
                let late = LateOrder::Stop(order.to.fence, name.clone(), run);
                let (after_ms, reply) = if let Some(reply) = self.misaddressed_reply(&order.to) {
                    (self.draw_delay_ms(), reply)
                } else if self.is_order_delivered(&order.to.worker, late) {
                    let reply = self.stop_run(&order.to.worker, order.to.fence, &name, run);
                    (self.draw_delay_ms(), reply)
                } else {
                    (ORDER_TIMEOUT_MS, OrderReply::Silent)
                };
                let pool_state = order.pool_state;
                self.schedule_reply(
                    n,
                    after_ms,
                    Event::Stopped(order.pool, pool_state, task, run, reply),
                );
            }
            Effect::StopStray(order, name, run) => {
                let late = LateOrder::Stop(order.to.fence, name.clone(), run);
                let is_misaddressed = self.misaddressed_reply(&order.to).is_some();
                if !is_misaddressed && self.is_order_delivered(&order.to.worker, late) {
                    self.stop_run(&order.to.worker, order.to.fence, &name, run);
                }
            }
            Effect::RenewWorker(order, worker, request) => {
                let sent_ms = self.now_ms;
                let late = LateOrder::Renew(order.to.fence, request);
                let (after_ms, result) = if let Some(reply) = self.misaddressed_reply(&order.to) {
                    (self.draw_delay_ms(), Err(reply))
                } else if self.is_order_delivered(&order.to.worker, late) {
                    let wait_ms = self.rng.u64(0..=request.wait_ms.min(60));
                    let result = self.renew_lease(&order.to.worker, order.to.fence, request);
                    (self.draw_delay_ms() + wait_ms, result)
                } else {
                    (request.wait_ms + ORDER_TIMEOUT_MS, Err(OrderReply::Silent))
                };
                let pool_state = order.pool_state;
                let event = Event::WorkerRenewed(order.pool, pool_state, worker, sent_ms, result);
                self.schedule_reply(n, after_ms, event);
            }
            Effect::RecordHostsOut(pool, epoch, tx) => {
                let (after_ms, outcome) = self.call_store(n, &tx);
                self.schedule_reply(n, after_ms, Event::HostsOutRecorded(pool, epoch, outcome));
            }
            Effect::RemoveIntake(pool, pool_state, tx) => {
                let (after_ms, outcome) = self.call_store(n, &tx);
                self.schedule_reply(n, after_ms, Event::IntakeRemoved(pool, pool_state, outcome));
            }
            Effect::SettleOffers(pool, epoch, tx) => {
                let (after_ms, outcome) = self.call_store(n, &tx);
                self.schedule_reply(n, after_ms, Event::OffersSettled(pool, epoch, outcome));
            }
            Effect::TakeHosts(pool, epoch, from, tx) => {
                let (after_ms, outcome) = self.call_store(n, &tx);
                let event = Event::HostsTaken(pool, epoch, from, outcome);
                self.schedule_reply(n, after_ms, event);
            }
            Effect::SettleQuota(pool, epoch, account, tx) => {
                let (after_ms, outcome) = self.call_store(n, &tx);
                let event = Event::QuotaSettled(pool, epoch, account, outcome);
                self.schedule_reply(n, after_ms, event);
            }
            Effect::ReadQuota(pool, epoch, account) => {
                let key = (Table::Quotas, quota_part(&account), account.clone());
                let row = self.store.get(&key).map(|(value, revision)| StoredRow {
                    part: key.1.clone(),
                    key: key.2.clone(),
                    value: Some(value.clone()),
                    revision: *revision,
                });
                self.schedule_reply(n, 5, Event::QuotaRead(pool, epoch, account, row));
            }
            Effect::RecordHostOrders(pool, epoch, tx) => {
                let (after_ms, outcome) = self.call_store(n, &tx);
                self.schedule_reply(n, after_ms, Event::HostOrdersRecorded(pool, epoch, outcome));
            }
            Effect::WriteStandby(tx) => self.write_standby(n, &tx),
            Effect::OrderHost(pool, epoch, host, number, task, _) => {
                let reply = match task {
                    _ if self.drops_host_orders => HostReply::Silent,
                    HostTask::Upkeep(wave) => self.start_upkeep(wave, &host),
                    HostTask::Move(_) => HostReply::Wrong,
                };
                self.schedule_reply(n, 5, Event::HostOrdered(pool, epoch, host, number, reply));
            }
            Effect::Left => self.kill(n),
            Effect::Log(decision) => self.log.extend(self.keeps_log.then_some(decision)),
            Effect::Advise(pool, pool_state, request) => {
                self.ask_advice(n, pool, pool_state, request);
            }
            Effect::Pace(order, task, name, run, percent) => {
                let late = LateOrder::Pace(order.to.fence, name.clone(), run, percent);
                let (after_ms, reply) = if let Some(reply) = self.misaddressed_reply(&order.to) {
                    (self.draw_delay_ms(), reply)
                } else if self.is_order_delivered(&order.to.worker, late) {
                    let reply =
                        self.set_pace(&order.to.worker, order.to.fence, &name, run, percent);
                    (self.draw_delay_ms(), reply)
                } else {
                    (ORDER_TIMEOUT_MS, OrderReply::Silent)
                };
                let pool_state = order.pool_state;
                let event = Event::Paced(order.pool, pool_state, task, run, percent, reply);
                self.schedule_reply(n, after_ms, event);
            }
        }
    }
}
