//! Aliases for the identifiers that cross package boundaries.

use std::net::SocketAddr;

use xxhash_rust::xxh3::Xxh3;

use crate::protocol::Protocol;

/// Number of an instance, unique among the live ones; it comes from the instance's settings.
pub type InstanceId = u32;

/// Start of one life of an instance in milliseconds since the Unix epoch; a restart has a higher one.
pub type Incarnation = u64;

/// Number of a published set; it only ever rises.
pub type Revision = u64;

/// Identity of a service, derived by [`service_id`].
pub type ServiceId = u64;

/// Identity of a target, derived by [`target_id`].
pub type TargetId = u64;

/// Derives a service's identity from its name, protocol and address.
///
/// An identity that is computed needs no memory: no later set can give it to another service, and an instance that
/// has just started agrees with the rest about it.
#[must_use]
pub fn service_id(name: &str, protocol: Protocol, address: SocketAddr) -> ServiceId {
    let mut hasher = Xxh3::with_seed(SERVICE_SEED);
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(<&str>::from(protocol).as_bytes());
    hasher.update(address.to_string().as_bytes());
    hasher.digest()
}

/// Derives a target's identity from the names of its group and itself and from its address.
///
/// The address takes part so that a target moved to another machine under its old name counts as a new, cold one.
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

/// Separates the hashes of services from those of targets.
const SERVICE_SEED: u64 = 0x73_65_72_76;
/// Separates the hashes of targets from those of services.
const TARGET_SEED: u64 = 0x74_61_72_67;
