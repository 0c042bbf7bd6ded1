//! The words that every other package shares.
//!
//! This package holds the objects that operators publish ([`set`]), the check of a whole set before anything of it
//! takes effect ([`check`]), the difference between two sets ([`diff`]), the keys of flows ([`flow`]) and the
//! [`Verdict`] that each failed request carries. It has no clock and no socket, so that an operator's tool and an
//! instance judge a set by the same code.

pub mod check;
pub mod diff;
pub mod flow;
pub mod ids;
pub mod protocol;
pub mod set;
pub mod verdict;

pub use check::CheckedSet;
pub use check::Fault;
pub use check::Severity;
pub use flow::FlowKey;
pub use ids::Incarnation;
pub use ids::InstanceId;
pub use ids::Revision;
pub use ids::ServiceId;
pub use ids::TargetId;
pub use protocol::Protocol;
pub use set::Class;
pub use set::DomainState;
pub use set::FailureDomain;
pub use set::PublishedSet;
pub use set::Service;
pub use set::Target;
pub use set::TargetGroup;
pub use verdict::Verdict;
