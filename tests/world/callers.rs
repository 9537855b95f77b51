//! Requests of callers and of the operator: jobs, cancels, accounts with quotas, and waves.

use rockwick::core::sched::tombstones::tombstone_txs;

use super::*;

impl World {
    /// Puts a configuration with these accounts in force, each with its name and its quota in thousandths of a core.
    pub(crate) fn set_quotas(&mut self, quotas: &[(&str, u64)]) {
        let accounts: Vec<(&str, u64, u64)> =
            quotas.iter().map(|(name, cpu)| (*name, *cpu, 0)).collect();
        self.set_accounts(&accounts);
    }

    /// Puts a configuration with these accounts in force, each with its name, its quota in thousandths of a core and
    /// its weight, the number of jobs per second that it was promised. 0 means no limit for either.
    pub(crate) fn set_accounts(&mut self, accounts: &[(&str, u64, u64)]) {
        let account = |(name, cpu_milli, weight): &(&str, u64, u64)| {
            let config = AccountConfig {
                name: name.to_string(),
                weight: *weight,
                quota: Capacity {
                    cpu_milli: *cpu_milli,
                    ..Capacity::default()
                },
                ..AccountConfig::default()
            };
            (name.to_string(), config)
        };
        self.config.accounts = accounts.iter().map(account).collect();
        self.broadcast_config();
    }

    /// Puts a configuration in force whose queue allows this many failed runs of each task.
    pub(crate) fn set_attempts(&mut self, attempts_max: u32) {
        for queue in self.config.queues.values_mut() {
            queue.attempts_max = attempts_max;
        }
        for (least, most) in self.attempts_allowed.values_mut() {
            *least = attempts_max.min(*least);
            *most = attempts_max.max(*most);
        }
        self.broadcast_config();
    }

    /// Puts a configuration without this queue in force.
    pub(crate) fn remove_queue(&mut self, queue: &str) {
        self.config.queues.remove(queue);
        self.broadcast_config();
    }

    pub(super) fn broadcast_config(&mut self) {
        self.config.version += 1;
        let config = Arc::new(self.config.clone());
        self.broadcast(&Event::Operator(OperatorEvent::Config(config)));
    }

    /// Returns the processor time that the running tasks of an account use, in thousandths of a core.
    pub(crate) fn account_cpu_milli(&self, account: &str) -> u64 {
        let instances = self.workers.values().filter(|w| w.is_up);
        let runs = instances.flat_map(|w| w.running.iter());
        let of_account =
            runs.filter(|(task, _)| self.specs[&task.job].account.as_deref() == Some(account));
        of_account.map(|(_, run)| run.demand.cpu_milli).sum()
    }

    /// Submits a job.
    pub(crate) fn submit(&mut self, id: &str, mut spec: JobSpec) {
        spec.accepted_wall_ms = WALL_MS + self.now_ms;
        spec.policy = QueuePolicy::of(&spec.queue, &self.config);
        let value = rows::encode(&spec);
        let attempts = spec.policy.map_or(0, |policy| policy.attempts_max);
        self.attempts_allowed
            .insert(id.to_string(), (attempts, attempts));
        self.specs.insert(id.to_string(), spec);
        let [part, _] = intake_parts_of(POOL, id);
        self.put_row(Table::Intake, &part, id, value);
    }

    /// Submits the same job again as if its first partition had not answered, so that it is in both partitions.
    pub(crate) fn submit_again(&mut self, id: &str) {
        let value = rows::encode(&self.specs[id]);
        let [_, part] = intake_parts_of(POOL, id);
        self.put_row(Table::Intake, &part, id, value);
    }

    /// Cancels a job.
    pub(crate) fn cancel(&mut self, id: &str) {
        self.cancelled_at_ms.insert(id.to_string(), self.now_ms);
        let [part, _] = intake_parts_of(POOL, id);
        self.put_row(Table::Intake, &part, &cancel_key(id), b"{}".to_vec());
    }

    /// Keeps a job out of the store that a cancel did not find there.
    pub(crate) fn keep_out(&mut self, id: &str) {
        for tx in tombstone_txs(POOL, id, None) {
            assert!(matches!(
                self.apply_transaction(&tx),
                TxOutcome::Committed(_)
            ));
        }
    }

    /// Orders a wave over all hosts, with at most `out_max` hosts out at a time.
    pub(crate) fn order_wave(&mut self, number: u64, duration_ms: u64, out_max: usize) {
        let hosts: HashSet<String> = self.workers.values().map(|w| w.info.host.clone()).collect();
        let order = WaveOrder {
            wave: number,
            hosts: hosts.into_iter().collect(),
            duration_ms,
            out_max,
        };
        self.waves.push(order.clone());
        self.broadcast(&Event::Operator(OperatorEvent::Wave(order)));
    }
}
