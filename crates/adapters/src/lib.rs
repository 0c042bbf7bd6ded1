//! Sockets, protocols, logs and metrics for the core, which does no I/O itself.
//!
//! The core makes all decisions; this package performs the I/O and runs the timers. Each module is one adapter:
//!
//! - for callers: [`datagrams`], [`streams`] and [`requests`];
//! - for targets: [`execute`] and [`health_check`], and the sockets of [`datagrams`] and [`streams`];
//! - between instances: [`peers`] for messages and forwarded requests, [`wire`] for forwarded packets;
//! - for the platform: [`platform`];
//! - for operators: [`admin`], [`logs`] and [`metrics`].
//!
//! [`engine`] connects them: it passes inputs to the core and performs its outputs. [`instance`] is the life cycle of
//! an instance.

pub mod admin;
pub mod config;
pub mod datagrams;
pub mod engine;
pub mod execute;
pub mod health_check;
pub mod http_client;
pub mod instance;
pub mod listeners;
pub mod logs;
pub mod metrics;
pub mod payload;
pub mod peers;
pub mod platform;
pub mod requests;
pub mod streams;
pub mod web;
pub mod wire;

pub use config::Config;
pub use instance::Instance;
