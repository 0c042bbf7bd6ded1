//! The objects of a published set, as operators write them in JSON.
//!
//! Objects refer to each other by name. Unknown fields are rejected, so that a misspelt limit is an error and does not
//! silently become the default.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumCount;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::ids;
use crate::ids::Revision;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::protocol::Protocol;

/// The complete configuration that operators publish as one unit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedSet {
    /// Revision of this set; each published set has a higher revision than the previous one.
    pub revision: Revision,
    /// Failure domains of instances and targets.
    pub failure_domains: Vec<FailureDomain>,
    /// Groups of interchangeable targets.
    pub target_groups: Vec<TargetGroup>,
    /// Services that callers can reach.
    pub services: Vec<Service>,
}

/// A part of the installation that fails, and is taken out of service, as a unit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Unique name.
    pub name: String,
    /// Name of its region; domains in one region are close to each other in the network.
    pub region: String,
    /// Whether the failure domain may receive traffic.
    #[serde(default)]
    pub state: DomainState,
}

/// Whether a failure domain may receive traffic.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DomainState {
    /// The domain receives flows and requests.
    #[default]
    InService,
    /// Operators have taken the domain out of service: it receives no flows or requests, and its existing flows are
    /// abandoned.
    Out,
}

/// A group of interchangeable targets that serve a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetGroup {
    /// Unique name.
    pub name: String,
    /// Targets of the group.
    pub targets: Vec<Target>,
}

/// One endpoint of a target group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique in its group.
    pub name: String,
    /// Name of the failure domain that the target runs in.
    pub failure_domain: String,
    /// Address that the target serves on.
    pub address: SocketAddr,
    /// Address that answers HTTP health checks; defaults to `address`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health: Option<SocketAddr>,
    /// Maximum number of concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum number of concurrent flows.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether the target is draining: it finishes existing flows and requests and receives no new ones.
    #[serde(default)]
    pub leaving: bool,
}

/// A service that callers reach at its own address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Protocol between callers and the service.
    pub protocol: Protocol,
    /// Address that callers use; unique among the services of the same transport (UDP or TCP).
    pub address: SocketAddr,
    /// Name of the target group that serves it.
    pub target_group: String,
    /// Priority when capacity does not suffice for all requests.
    #[serde(default)]
    pub class: Class,
    /// Slots needed at peak load; zero if unknown.
    #[serde(default)]
    pub peak_slots: u32,
    /// Default timeout of a request whose caller sets no deadline, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Idle timeout of a datagram flow, in milliseconds.
    #[serde(default = "default_idle_ms")]
    pub idle_ms: u64,
}

/// Priority class of a service, from highest to lowest.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumCount,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Class {
    /// Served first; each failure domain must have the capacity to serve it alone.
    Critical,
    /// Served after [`Class::Critical`].
    #[default]
    Normal,
    /// Uses only free capacity.
    Bulk,
}

impl Service {
    /// Returns the service's identity.
    #[must_use]
    pub fn id(&self) -> ServiceId {
        ids::service_id(&self.name, self.protocol, self.address)
    }
}

impl Target {
    /// Returns the target's identity as a member of `group`.
    #[must_use]
    pub fn id(&self, group: &str) -> TargetId {
        ids::target_id(group, &self.name, self.address)
    }

    /// Returns the address that answers the target's health checks.
    #[must_use]
    pub fn health_address(&self) -> SocketAddr {
        self.health.unwrap_or(self.address)
    }
}

fn default_slots() -> u32 {
    2
}

fn default_connections() -> u32 {
    2_000
}

fn default_timeout_ms() -> u64 {
    10_000
}

fn default_idle_ms() -> u64 {
    300_000
}
