//! The process of an instance on the direct path.
//!
//! One thread runs [`process::Process`], which owns the state of [`hawthornshift_core::direct`] and feeds it: packets of
//! callers from [`callers`], outcomes of checks from [`checker`], messages of other instances from [`peers`], news of the store from [`store_reader`],
//! questions over HTTP from [`http_server`]. The others run as tasks of the same thread and reach the state through
//! [`command`]s only. What was decided is logged by [`decision_log`], counted in [`metrics`], shown by [`dump`].

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
