//! Decoded entries of the store, and the form in which instances exchange them.
//!
//! Every entry carries the store's revision of its key. The store counts all changes with a single counter, so of two
//! entries for the same key the one with the higher revision is the later one, regardless of which instance sent it and
//! in which order they arrive.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// Class of a route's requests.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumString,
    Eq,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum RequestKind {
    /// Requests may run any number of times.
    Safe,
    /// Requests may run at most once.
    #[default]
    Unsafe,
    /// Requests may run any number of times, and their answers are large.
    Download,
}

/// A service's share of a route's new flows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Its weight among the route's shares; with weight zero it gets no flows.
    pub weight: u32,
}

/// Where the flows to an address and port go.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Address and port that callers send to.
    pub address: SocketAddrV4,
    /// Services that new flows are distributed to.
    pub shares: Vec<Share>,
    /// Class of its requests.
    pub kind: RequestKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    pub latency_objective: Duration,
    /// Priority; zero is the highest.
    pub priority: u8,
}

/// The published part of a service's configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Slow start duration of a newly started target.
    pub cold_time: Duration,
}

/// The operators' latest configuration in full.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Routing {
    /// Version of the configuration.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Time after which an idle flow may be removed.
    pub idle_timeout: Duration,
}

/// Difference between two versions of the configuration. It is only exchanged between instances; the store holds full
/// configurations.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingChange {
    /// Revision of the configuration that the difference applies to.
    pub since: Revision,
    /// Version of the resulting configuration.
    pub version: u64,
    /// Routes that were added or modified.
    pub changed: Vec<Route>,
    /// Routes that were removed.
    pub removed: Vec<SocketAddrV4>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Time after which an idle flow may be removed.
    pub idle_timeout: Duration,
}

/// Contents of a target's entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Name of its service.
    pub service: String,
    /// Address that receives its packets.
    pub address: SocketAddrV4,
    /// Name of its failure domain.
    pub failure_domain: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Remaining slow start, counted from when this is sent.
    pub cold_for: Duration,
    /// When this start of the target began, in milliseconds since the Unix epoch; zero if not specified.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

/// Contents of one key of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub enum StoreEntry {
    /// A target's entry, or `None` if there is none.
    Target(TargetId, Option<TargetSpec>),
    /// The last entry of a target that was removed. It is only exchanged between instances: the target may still serve
    /// its flows, and an instance that has just started could no longer read the entry from the store.
    RemovedTarget(TargetId, TargetSpec),
    /// Whether a failure domain is evacuated.
    Evacuated(String, bool),
    /// The full configuration.
    Routing(Routing),
    /// The configuration as a difference to an earlier one.
    RoutingChange(RoutingChange),
}

/// An entry with the store's revision of its key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedEntry {
    /// Revision at which the store accepted the entry.
    pub revision: Revision,
    /// The entry.
    pub entry: StoreEntry,
}

/// A set of changes of the store, or a full snapshot of it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The revision that these entries follow; all changes between it and `revision` are included.
    pub since: Revision,
    /// The revision that they lead to.
    pub revision: Revision,
    /// Whether this is a full snapshot: what it does not contain does not exist.
    pub is_snapshot: bool,
    /// The entries.
    pub entries: Vec<VersionedEntry>,
}
