//! The direct path: targets answer their callers themselves.
//!
//! An instance sees only what callers send, and a cookie that it writes on a SYN comes back in every later packet of
//! the flow. So nothing has to be agreed on about open flows, and what is left to decide is where a SYN goes.
//!
//! - [`dispatcher`] decides about each packet; [`segment`] is what it sees of one.
//! - [`directory`] is what the store says, in [`store_entries`] that instances pass on to each other; [`routes`] is the
//!   configuration in it.
//! - [`placement`] picks a target, by [`open_requests`] (what targets hold, told between instances in [`load_report`]), [`outlier`]
//!   and [`domain_reach`] (which seem not to answer, single ones and whole failure domains), [`failures`] (which answer with
//!   failures, or by [`answer_times`] not at all though they finish handshakes) and [`handshake_timeout`] (how long a handshake may take).
//! - [`reachability`] checks targets that owe answers, so that flows at those which are out of reach can be reset.
//! - [`admission`] tells which flows may wait when no slot is free, [`pending`] keeps them, [`concurrency_limit`] bounds what an instance sends while it is alone,
//!   [`adaptive_limit`] what it sends while targets are overloaded; [`flows`] are the records of those that pass through here.
//! - [`readiness`] tells whether callers should be handed to this instance at all.
//! - [`fleet`] is the other instances, [`watch`] who of them watches the store, [`message`] what they say.
//! - [`bootstrap`] is how an instance learns everything when it starts. [`pause`] notices that the process was
//!   paused. [`stopping`] tells when a planned stop is over.
//! - [`mechanisms`] are the switches by which a trial turns single decisions off.
//! - [`decision`] is what logs and metrics show of all that.

pub mod adaptive_limit;
pub mod admission;
pub mod answer_times;
pub mod bootstrap;
pub mod concurrency_limit;
pub mod decision;
pub mod directory;
pub mod dispatcher;
pub mod domain_reach;
pub mod failures;
pub mod fleet;
pub mod flows;
pub mod handshake_timeout;
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
pub mod smoothed_time;
pub mod stopping;
pub mod store_entries;
pub mod watch;
