//! Finds the queue and the account that a call is for.

use std::sync::Arc;

use rockwick::auth::TokenHash;
use rockwick::core::sched::routing::Routing;
use rockwick::port::fleet::{AccountConfig, FleetConfig, QueueConfig};

fn queue(name: &str, host: &str, path_prefix: &str) -> (String, QueueConfig) {
    let config = QueueConfig {
        name: name.to_string(),
        host: host.to_string(),
        path_prefix: path_prefix.to_string(),
        ..QueueConfig::default()
    };
    (name.to_string(), config)
}

fn account(name: &str, keys: &[&str]) -> (String, AccountConfig) {
    let config = AccountConfig {
        name: name.to_string(),
        keys: keys.iter().map(|key| TokenHash::from_token(key)).collect(),
        ..AccountConfig::default()
    };
    (name.to_string(), config)
}

fn routing() -> Routing {
    let queues = [
        queue("short", "one", "/a/"),
        queue("long", "one", "/a/b/"),
        queue("other", "two", "/a/"),
    ];
    Routing::new(Arc::new(FleetConfig {
        queues: queues.into(),
        accounts: [account("shop", &["k1", "k2"]), account("dock", &["k3"])].into(),
        ..FleetConfig::default()
    }))
}

#[test]
fn routing_longest_prefix() {
    let routing = routing();
    let name = |host, path| routing.find_queue(host, path).map(|q| q.name.clone());
    assert_eq!(name("one", "/a/x").as_deref(), Some("short"));
    assert_eq!(name("one", "/a/b/x").as_deref(), Some("long"));
    assert_eq!(name("one", "/a/b").as_deref(), Some("short"));
    assert_eq!(name("two", "/a/b/x").as_deref(), Some("other"));
    assert_eq!(name("one", "/b/a/"), None);
    assert_eq!(name("three", "/a/"), None);
    assert_eq!(
        name("one", "/\u{e4}\u{e4}"),
        None,
        "a prefix length may fall inside a UTF-8 character"
    );
}

#[test]
fn routing_keys() {
    let routing = routing();
    let name = |key| routing.find_account(key).map(|a| a.name.clone());
    assert_eq!(name("k2").as_deref(), Some("shop"));
    assert_eq!(name("k3").as_deref(), Some("dock"));
    assert_eq!(name("k"), None);
    assert_eq!(name(""), None);
}

/// With as many queues as the largest configurations have, each is found under hosts that many queues share.
#[test]
fn routing_many_queues() {
    let queues = (0..1_500).map(|n| {
        let (host, prefix) = (format!("host-{}", n % 7), format!("/p{n}/"));
        queue(&format!("q-{n}"), &host, &prefix)
    });
    let routing = Routing::new(Arc::new(FleetConfig {
        queues: queues.collect(),
        ..FleetConfig::default()
    }));
    for n in 0..1_500 {
        let found = routing.find_queue(&format!("host-{}", n % 7), &format!("/p{n}/job"));
        assert_eq!(found.map(|q| q.name.clone()), Some(format!("q-{n}")));
    }
}
