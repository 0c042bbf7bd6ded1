//! The published set of the tests: four failure domains, an HTTP service with 14 targets and a datagram service with 8.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

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
/// Name of the HTTP service.
pub const HTTP_SERVICE: &str = "suscripciones";
/// Name of the datagram service.
pub const DATAGRAM_SERVICE: &str = "avisos";

/// Returns an instance's address with the given port: 1 is its control port, 2 its forwarding port.
pub fn instance_address(id: u32, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 1, u8::try_from(id).unwrap()), port))
}

/// Returns the failure domain of an instance.
pub fn domain_of(id: u32) -> &'static str {
    DOMAINS[usize::try_from(id).unwrap() % DOMAINS.len()]
}

fn group(name: &str, count: usize, subnet: u8) -> TargetGroup {
    let target = |number: usize| Target {
        name: format!("{name}-{number}"),
        failure_domain: DOMAINS[number % DOMAINS.len()].to_owned(),
        address: SocketAddr::from((Ipv4Addr::new(10, 0, subnet, u8::try_from(number + 1).unwrap()), 8080)),
        health: None,
        slots: 2,
        connections: 2_000,
        leaving: false,
    };
    TargetGroup { name: name.to_owned(), targets: (0..count).map(target).collect() }
}

fn service(name: &str, protocol: Protocol, last_octet: u8, class: Class, peak_slots: u32) -> Service {
    Service {
        name: name.to_owned(),
        protocol,
        address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, last_octet), 80)),
        target_group: name.to_owned(),
        class,
        peak_slots,
        timeout_ms: 3_000,
        idle_ms: 60_000,
    }
}

/// Returns the set that is published when a test starts, with revision 1.
pub fn set() -> PublishedSet {
    let domain = |name: &&str| FailureDomain {
        name: (*name).to_owned(),
        region: "guadalajara".to_owned(),
        state: DomainState::InService,
    };
    PublishedSet {
        revision: 1,
        failure_domains: DOMAINS.iter().map(domain).collect(),
        target_groups: vec![group(HTTP_SERVICE, 14, 2), group(DATAGRAM_SERVICE, 8, 3)],
        services: vec![
            service(HTTP_SERVICE, Protocol::Http, 1, Class::Critical, 6),
            service(DATAGRAM_SERVICE, Protocol::Datagram, 2, Class::Normal, 0),
        ],
    }
}
