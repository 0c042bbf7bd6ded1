//! Instance process of the direct path.
//!
//! [`process::Process`] runs on a single thread and owns the state of [`hawthornshift_core::direct`]. Its inputs are:
//!
//! - [`callers`]: packets of callers.
//! - [`peers`]: messages of other instances.
//! - [`checker`]: outcomes of reachability checks.
//! - [`store_reader`]: store updates.
//! - [`http_server`]: HTTP requests.
//!
//! The last three run as tasks on the same thread and access the state only by sending a [`command::Command`]. Decisions
//! are logged by [`decision_log`], counted in [`metrics`] and included in [`dump`].

pub mod callers;
pub mod checker;
pub mod command;
pub mod config;
pub mod decision_log;
pub mod dump;
pub mod http_server;
pub mod metrics;
pub mod peers;
pub mod process;
pub mod reload;
pub mod store_reader;

pub use config::Config;
pub use process::Process;
