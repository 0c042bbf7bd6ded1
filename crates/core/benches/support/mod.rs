//! Published sets and nodes of configurable size for the benchmarks.
#![allow(unreachable_pub, reason = "a module of a benchmark")]

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use hawthornshift_core::Input;
use hawthornshift_core::Node;
use hawthornshift_core::Output;
use hawthornshift_core::Timestamp;
use hawthornshift_core::Tuning;
use hawthornshift_core::event::HealthReport;
use hawthornshift_core::membership::Identity;
use hawthornshift_core::node::TICK_PERIOD;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::Class;
use hawthornshift_model::DomainState;
use hawthornshift_model::FailureDomain;
use hawthornshift_model::Protocol;
use hawthornshift_model::PublishedSet;
use hawthornshift_model::Service;
use hawthornshift_model::Target;
use hawthornshift_model::TargetGroup;

/// Names of the failure domains.
pub const DOMAINS: [&str; 4] = ["norte", "sur", "este", "oeste"];

/// Returns the address with index `number` in the network `10.net.0.0/16`.
pub fn indexed_address(net: u8, number: usize, port: u16) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(number).unwrap().to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, net, high, low)), port)
}

/// Creates a published set of `services` services, whose target groups share `targets` targets.
pub fn set(targets: usize, services: usize) -> PublishedSet {
    let group = |service: usize| {
        let members = (0..targets).filter(|number| number % services == service);
        let target = |(place, number): (usize, usize)| Target {
            name: format!("t{number}"),
            failure_domain: DOMAINS[place % DOMAINS.len()].to_owned(),
            address: indexed_address(1, number + 1, 8080),
            health: None,
            slots: 2,
            connections: 60_000,
            leaving: false,
        };
        TargetGroup { name: format!("g{service}"), targets: members.enumerate().map(target).collect() }
    };
    let service = |service: usize| Service {
        name: format!("s{service}"),
        protocol: if service == 0 { Protocol::Datagram } else { Protocol::Http },
        address: indexed_address(2, service + 1, 80),
        target_group: format!("g{service}"),
        class: Class::Normal,
        peak_slots: 0,
        timeout_ms: 3_000,
        idle_ms: 300_000,
    };
    let domain = |name: &&str| FailureDomain {
        name: (*name).to_owned(),
        region: "guadalajara".to_owned(),
        state: DomainState::InService,
    };
    PublishedSet {
        revision: 1,
        failure_domains: DOMAINS.iter().map(domain).collect(),
        target_groups: (0..services).map(group).collect(),
        services: (0..services).map(service).collect(),
    }
}

/// Creates a checked set; see [`set`].
pub fn checked(targets: usize, services: usize) -> Arc<CheckedSet> {
    Arc::new(CheckedSet::new(set(targets, services)).expect("the generated set is sound"))
}

/// Creates a node that has a set and knows no other node.
pub fn node(id: u32, set: &Arc<CheckedSet>) -> Node {
    let identity = Identity {
        id,
        incarnation: 1,
        failure_domain: DOMAINS[id as usize % DOMAINS.len()].to_owned(),
        control: indexed_address(3, id as usize + 1, 1),
        forward: indexed_address(3, id as usize + 1, 2),
    };
    let tuning = Tuning::default().flow_capacity(2_000_000);
    let mut node = Node::new(Timestamp::ZERO, identity, tuning, u64::from(id) + 1, [7; 32]);
    node.handle(Timestamp::ZERO, Input::SetRead(Arc::clone(set)), &mut Vec::new());
    node
}

/// Creates a single serving node with all targets warm. Returns it with the time since its start.
pub fn serving_node(set: &Arc<CheckedSet>) -> (Node, Timestamp) {
    let mut node = node(0, set);
    let mut now = Timestamp::ZERO;
    let mut out = Vec::new();
    while !node.is_ready() {
        now += TICK_PERIOD;
        node.handle(now, Input::Tick, &mut out);
        for output in std::mem::take(&mut out) {
            if let Output::CheckHealth { target, .. } = output {
                node.handle(
                    now,
                    Input::HealthChecked { target, report: Some(HealthReport::Warm), load: None },
                    &mut out,
                );
            }
        }
    }
    node.handle(now + TICK_PERIOD, Input::Tick, &mut out);
    (node, now + TICK_PERIOD)
}

/// Returns the address of the caller with index `number`: 16 ports per IP address.
pub fn indexed_caller(number: usize) -> SocketAddr {
    indexed_address(100, number >> 4, 5_000 + u16::try_from(number & 15).unwrap())
}
