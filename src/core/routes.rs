//! The route table: which backend servers take the requests of which service.
//!
//! The reducer builds it from the in-memory state and publishes it to the traffic threads.

use std::collections::BTreeMap;

use super::config::{Account, Service};
use super::rows::HostState;
use super::state::{Host, State};
use crate::port::HostStatus;

/// A backend server that a service's requests may go to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendSpec {
    /// Id of its host.
    pub host: String,
    /// Name of its host's data hall.
    pub hall: String,
    /// Address at which it listens.
    pub address: std::net::SocketAddr,
    /// Number of requests that it processes at once.
    pub slots: u32,
    /// Number of connections that it accepts from all entries together.
    pub connections: u32,
}

/// A service with its backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteService {
    /// Settings of the service.
    pub service: Service,
    /// Backend servers that may get new requests.
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

/// The routes and accounts that the traffic threads work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTable {
    /// Version of the configuration that it was built from.
    pub config_version: u64,
    /// Services ordered by name.
    pub services: Vec<RouteService>,
    /// Accounts ordered by name.
    pub accounts: Vec<Account>,
    /// Number of entries considered alive, over which rate limits are split.
    pub entries: usize,
}

impl State {
    /// Builds the route table from the in-memory state.
    pub fn routes(&self) -> RouteTable {
        let mut services: BTreeMap<String, RouteService> = BTreeMap::new();
        for s in self.config.services.values() {
            services.insert(s.name.clone(), RouteService::new(s.clone()));
        }
        for key in self.host_ids.values() {
            let host = &self.hosts[*key];
            let Some(info) = &host.info else { continue };
            let open = matches!(host.row.state, HostState::Serving | HostState::Free);
            for b in &info.backends {
                let known = services
                    .entry(b.service.clone())
                    .or_insert_with(|| RouteService::new(Service::new(&b.service)));
                if info.status == HostStatus::Live
                    && open
                    && self.takes_requests_for(host, &b.service)
                {
                    known.backends.push(BackendSpec {
                        host: host.id.clone(),
                        hall: info.hall.clone(),
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
    /// The backend server takes them if the host's pool has the service. While no pool with the service has a host yet,
    /// the free hosts take its requests, so that a fleet can be taken under management while it serves.
    fn takes_requests_for(&self, host: &Host, service: &str) -> bool {
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
