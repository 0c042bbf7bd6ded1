//! Keys that identify flows.

use std::net::IpAddr;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::ServiceId;

/// Identifies a flow from one caller to one service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowKey {
    /// Identity of the service that the caller addressed.
    pub service: ServiceId,
    /// Address and port of the caller.
    pub caller: SocketAddr,
}

impl FlowKey {
    /// Returns the 64-bit hash that instances use for rendezvous ranking; it is equal on all instances.
    #[must_use]
    pub fn hash64(&self) -> u64 {
        let mut buf = [0_u8; KEY_BYTES];
        match self.caller.ip() {
            IpAddr::V4(ip) => buf[..16].copy_from_slice(&ip.to_ipv6_mapped().octets()),
            IpAddr::V6(ip) => buf[..16].copy_from_slice(&ip.octets()),
        }
        buf[16..].copy_from_slice(&self.caller.port().to_be_bytes());
        xxh3_64_with_seed(&buf, self.service)
    }
}

/// Size of an IPv6 address and a port in bytes.
const KEY_BYTES: usize = 18;
