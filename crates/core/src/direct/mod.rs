//! The direct path: targets answer their callers directly (direct server return).
//!
//! An instance sees only the packets that callers send. The cookie that it writes into a SYN is returned in every later
//! packet of the flow, so instances need not agree on open flows; the only decision left is where a SYN goes.
//!
//! - [`dispatcher`] decides about each packet; [`segment`] is the part of a packet that it sees, and [`flows`] records the
//!   flows that pass through this instance, [`flow_bindings`] where a flow is open whose cookie may be wrong, and
//!   [`syn_copies`] which copies of a SYN another instance may have received.
//! - [`placement`] selects a target, by what [`targets`] knows of each.
//! - [`limits`] decides how much is sent to the targets and which flows wait.
//! - [`store`] is the local copy of the store's contents, and [`fleet`] tracks the other instances and distributes it.
//! - [`reports`] are the messages between instances.
//! - [`lifecycle`] covers the start of an instance, its readiness and its stop.
//! - [`mechanisms`] are the switches with which an experiment disables single decisions, and [`decision`] defines how all
//!   decisions appear in logs and metrics.

pub mod decision;
pub mod dispatcher;
pub mod fleet;
pub mod flow_bindings;
pub mod flows;
pub mod lifecycle;
pub mod limits;
pub mod mechanisms;
pub mod placement;
pub mod reports;
pub mod segment;
pub mod store;
pub mod syn_copies;
pub mod targets;
