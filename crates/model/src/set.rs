//! The objects of a published set, as operators write them in JSON.
//!
//! Objects refer to one another by name. Unknown fields are refused, so that a misspelt limit is an error and not a
//! silent default.

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

/// Everything that operators publish at once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedSet {
    /// Number of this set; each published set has a higher one than the last.
    pub revision: Revision,
    /// The failure domains of both instances and targets.
    pub failure_domains: Vec<FailureDomain>,
    /// Groups of interchangeable targets.
    pub target_groups: Vec<TargetGroup>,
    /// What callers can reach.
    pub services: Vec<Service>,
}

/// A part of the installation that fails, and is taken out of service, as one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FailureDomain {
    /// Unique name.
    pub name: String,
    /// The region it lies in; domains of one region are near each other.
    pub region: String,
    /// Whether it may carry traffic.
    #[serde(default)]
    pub state: DomainState,
}

/// Whether a failure domain may carry traffic.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, IntoStaticStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DomainState {
    /// Flows and requests may go there.
    #[default]
    InService,
    /// Operators have taken it out: no flow and no request may go there, and flows there are given up.
    Out,
}

/// Targets any of which can serve a service's callers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetGroup {
    /// Unique name.
    pub name: String,
    /// The members.
    pub targets: Vec<Target>,
}

/// One endpoint of a target group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name, unique in its group.
    pub name: String,
    /// Name of the failure domain it runs in.
    pub failure_domain: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Where it answers health checks over HTTP; its service address when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health: Option<SocketAddr>,
    /// Requests it can run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Flows it can hold at once.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Whether it is leaving: it ends what it has and gets nothing new.
    #[serde(default)]
    pub leaving: bool,
}

/// Something callers can reach under an address of its own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// How callers speak to it.
    pub protocol: Protocol,
    /// The address callers use; unique among the services of the same transport.
    pub address: SocketAddr,
    /// Name of the group that serves it.
    pub target_group: String,
    /// Who goes first when not all can be served.
    #[serde(default)]
    pub class: Class,
    /// Slots that its callers need at the busiest time; zero when unknown.
    #[serde(default)]
    pub peak_slots: u32,
    /// Longest time a request may take when its caller sets no deadline, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Time without a packet after which a datagram flow is forgotten, in milliseconds.
    #[serde(default = "default_idle_ms")]
    pub idle_ms: u64,
}

/// Priority of a service's callers; an earlier one goes first.
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
    /// Every failure domain has to carry it alone.
    Critical,
    /// Goes after critical work.
    #[default]
    Normal,
    /// Takes only what is free.
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

    /// Returns where the target answers health checks.
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
