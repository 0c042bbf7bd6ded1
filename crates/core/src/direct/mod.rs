//! The direct path: targets answer their callers directly (direct server return).
//!
//! An instance sees only the packets that callers send. The cookie that it writes into a SYN is returned in every later
//! packet of the flow, so instances need not agree on open flows; the only decision left is where a SYN goes.
//!
//! - [`dispatcher`] decides about each packet; [`segment`] is the part of a packet that it sees.
//! - [`directory`] is the local copy of the store's contents, built from [`store_entries`] that instances exchange;
//!   [`routes`] is the configuration in it, and [`directory_lag`] detects that the copy is behind.
//! - [`placement`] selects a target. It uses [`open_requests`] (the load of the targets, shared between instances in
//!   [`load_report`]), [`outlier`] and [`domain_reach`] (targets and whole failure domains that appear unresponsive),
//!   [`failures`] (targets that answer with failures or, according to [`answer_times`], complete handshakes but do not
//!   answer) and [`handshake_timeout`] (the time allowed for a handshake).
//! - [`target_speed`] learns how fast each target works, from reports of the whole group ([`answer_time_report`]).
//! - [`reachability`] checks targets with outstanding answers, so that flows to unreachable ones can be reset.
//! - [`admission`] decides which flows may wait when no slot is free, and [`pending`] queues them.
//!   [`concurrency_limit`] limits the load that an instance sends while it is alone, [`adaptive_limit`] the load while
//!   targets are overloaded. [`slot_quota`] divides the slots among the instances then, by the demand that they report
//!   in [`capacity_report`], and [`fair_share`] among routes and callers that compete, by their rates in
//!   [`caller_rates`]. [`flows`] records the flows that pass through this instance.
//! - [`link_budget`] refuses flows of many bytes that a narrow link of this instance could not carry.
//! - [`readiness`] decides whether callers should be sent to this instance at all.
//! - [`fleet`] tracks the other instances, [`watch`] selects the one that watches the store, and [`message`] defines
//!   the messages between instances.
//! - [`bootstrap`] obtains the state that a new instance needs. [`pause`] detects that the process was paused.
//!   [`stopping`] determines when a planned stop is complete.
//! - [`mechanisms`] are the switches with which an experiment disables single decisions.
//! - [`decision`] defines how all these decisions appear in logs and metrics.

pub mod adaptive_limit;
pub mod admission;
pub mod answer_time_report;
pub mod answer_times;
pub mod bootstrap;
pub mod caller_rates;
pub mod capacity_report;
pub mod concurrency_limit;
pub mod decision;
pub mod directory;
pub mod directory_lag;
pub mod dispatcher;
pub mod domain_reach;
pub mod failures;
pub mod fair_share;
pub mod fleet;
pub mod flows;
pub mod handshake_timeout;
pub mod link_budget;
pub mod load_report;
pub mod mechanisms;
pub mod message;
pub mod open_requests;
pub mod outlier;
pub mod pause;
pub mod pending;
pub mod placement;
pub mod reachability;
pub mod readiness;
pub mod routes;
pub mod segment;
pub mod slot_quota;
pub mod smoothed_time;
pub mod stopping;
pub mod store_entries;
pub mod target_speed;
pub mod watch;
