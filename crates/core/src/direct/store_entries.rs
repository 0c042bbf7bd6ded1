//! What the store says, decoded, and how instances pass it on to each other.
//!
//! Every fact carries the store's revision of its key. The store counts all changes with one counter, so of two facts
//! about one key the one with the higher revision is the later, whoever tells it and in whatever order they arrive.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use hawthornshift_model::Revision;
use hawthornshift_model::TargetId;

/// What a route's requests bear.
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
    /// They may run any number of times.
    Safe,
    /// They may run once at most.
    #[default]
    Unsafe,
    /// They may run any number of times, and their answers are large.
    Download,
}

/// A service's part of a route's new flows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Its weight among the route's shares; zero gets nothing.
    pub weight: u32,
}

/// Where flows to one address and port go.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The address and port that callers send to.
    pub address: SocketAddrV4,
    /// The services that new flows go to.
    pub shares: Vec<Share>,
    /// What its requests bear.
    pub kind: RequestKind,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    pub latency_objective: Duration,
    /// Zero is the highest.
    pub priority: u8,
}

/// What is published of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// How long a target that has just started stays cold.
    pub cold_time: Duration,
}

/// The operators' newest configuration, whole.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Routing {
    /// Its number.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Time after which an idle flow may be forgotten.
    pub idle_timeout: Duration,
}

/// What has changed in the configuration. Only instances tell this, each other; the store has it whole.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutingChange {
    /// Revision of the configuration that this makes into the new one.
    pub since: Revision,
    /// Number of the new configuration.
    pub version: u64,
    /// Routes that were added or took another form.
    pub changed: Vec<Route>,
    /// Routes that are gone.
    pub removed: Vec<SocketAddrV4>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Time after which an idle flow may be forgotten.
    pub idle_timeout: Duration,
}

/// What a target's entry says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Name of its service.
    pub service: String,
    /// Where it takes packets.
    pub address: SocketAddrV4,
    /// Name of its failure domain.
    pub failure_domain: String,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it stays cold, counted from when this is told.
    pub cold_for: Duration,
    /// When this life of it began, in milliseconds since the Unix epoch; zero when it does not say.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
}

/// What one key of the store says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub enum StoreEntry {
    /// A target's entry, or that there is none.
    Target(TargetId, Option<TargetSpec>),
    /// What the entry of a target said before it was removed. Only instances tell this, each other: the target may still
    /// serve its flows, and one that has just started could not read of it in the store any more.
    Left(TargetId, TargetSpec),
    /// Whether a failure domain is taken out.
    Evacuated(String, bool),
    /// The configuration.
    Routing(Routing),
    /// The configuration, told by its difference to an earlier one.
    RoutingChange(RoutingChange),
}

/// A fact with the store's revision of its key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedEntry {
    /// When the store took it.
    pub revision: Revision,
    /// What it says.
    pub entry: StoreEntry,
}

/// A part of what the store says.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// The revision that these facts follow on; nothing changed in between is left out.
    pub since: Revision,
    /// The revision that they lead to.
    pub revision: Revision,
    /// Whether they are all there is: what is not named does not exist.
    pub is_snapshot: bool,
    /// The facts.
    pub entries: Vec<VersionedEntry>,
}
