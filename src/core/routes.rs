//! The routes that follow from what an entry knows: which backend servers take which service's requests.

use std::collections::BTreeMap;

use super::config::{Account, Service};
use super::rows::HostState;
use super::state::{Host, State};
use crate::port::Life;

/// A backend server that a service's requests may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendSpec {
    /// Its host.
    pub host: String,
    /// Its host's hall.
    pub hall: String,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Requests it works on at once.
    pub slots: u32,
    /// Connections it accepts from all entries together.
    pub connections: u32,
}

/// A service with its backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteService {
    /// The service.
    pub service: Service,
    /// Backend servers that may be given new work.
    pub backends: Vec<BackendSpec>,
}

impl RouteService {
    fn new(service: Service) -> Self {
        Self {
            service,
            backends: Vec::new(),
        }
    }
}

/// Everything that the traffic threads need to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTable {
    /// Version of the configuration that it follows.
    pub config_version: u64,
    /// Services in order of name.
    pub services: Vec<RouteService>,
    /// Accounts in order of name.
    pub accounts: Vec<Account>,
    /// Entries believed alive, that quotas are split over.
    pub entries: usize,
}

impl State {
    /// The routes that follow from what is known.
    pub fn routes(&self) -> RouteTable {
        let mut services: BTreeMap<String, RouteService> = BTreeMap::new();
        for s in self.config.services.values() {
            services.insert(s.name.clone(), RouteService::new(s.clone()));
        }
        for key in self.host_ids.values() {
            let host = &self.hosts[*key];
            let Some(fact) = &host.fact else { continue };
            let open = matches!(host.row.state, HostState::Serving | HostState::Free);
            for b in &fact.backends {
                let known = services
                    .entry(b.service.clone())
                    .or_insert_with(|| RouteService::new(Service::new(&b.service)));
                if fact.life == Life::Live && open && self.belongs(host, &b.service) {
                    known.backends.push(BackendSpec {
                        host: host.id.clone(),
                        hall: fact.hall.clone(),
                        address: b.address,
                        slots: b.slots,
                        connections: b.connections,
                    });
                }
            }
        }
        RouteTable {
            config_version: self.config_version,
            services: services.into_values().collect(),
            accounts: self.config.accounts.values().cloned().collect(),
            entries: self.alive_entries().len().max(1),
        }
    }

    /// Whether a host's backend server for `service` takes that service's requests.
    ///
    /// It does as a member of a pool for the service. Where no pool for the service has any host yet,
    /// every free host's does, so that a fleet can be taken under management while it serves.
    fn belongs(&self, host: &Host, service: &str) -> bool {
        let serves = |pool: &str| {
            self.config
                .pools
                .get(pool)
                .is_some_and(|p| p.services.iter().any(|s| s == service))
        };
        match &host.row.pool {
            Some(pool) => serves(pool),
            None => !self
                .pools
                .values()
                .any(|p| !p.members.is_empty() && serves(&p.name)),
        }
    }
}
