//! Identifier types shared between packages.

use std::net::SocketAddr;

use xxhash_rust::xxh3::Xxh3;

use crate::protocol::Protocol;

/// Number of an instance from its settings; unique among the running instances.
pub type InstanceId = u32;

/// Start time of an instance's process in milliseconds since the Unix epoch; it is higher after each restart.
pub type Incarnation = u64;

/// Revision of a published set; strictly increasing.
pub type Revision = u64;

/// Identity of a service; computed by [`service_id`].
pub type ServiceId = u64;

/// Identity of a target; computed by [`target_id`].
pub type TargetId = u64;

/// Computes a service's identity from its name, protocol and address.
///
/// A computed identity needs no stored state: no later set can assign it to another service, and an instance that has
/// just started computes the same value as the others.
#[must_use]
pub fn service_id(name: &str, protocol: Protocol, address: SocketAddr) -> ServiceId {
    let mut hasher = Xxh3::with_seed(SERVICE_SEED);
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(<&str>::from(protocol).as_bytes());
    hasher.update(address.to_string().as_bytes());
    hasher.digest()
}

/// Computes a target's identity from its group's name, its own name and its address.
///
/// The address is included so that a target that moves to another machine under the same name counts as a new, cold
/// target.
#[must_use]
pub fn target_id(group: &str, name: &str, address: SocketAddr) -> TargetId {
    let mut hasher = Xxh3::with_seed(TARGET_SEED);
    hasher.update(group.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(address.to_string().as_bytes());
    hasher.digest()
}

/// Hash seed for service identities: "serv" in ASCII, distinct from that of targets.
const SERVICE_SEED: u64 = 0x73_65_72_76;
/// Hash seed for target identities: "targ" in ASCII, distinct from that of services.
const TARGET_SEED: u64 = 0x74_61_72_67;
