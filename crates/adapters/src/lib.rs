//! Sockets, protocols, logs and metrics around the core.
//!
//! The core decides; this package listens, sends and waits. Each module is one adapter:
//!
//! - towards callers: [`datagrams`], [`streams`] and [`requests`];
//! - towards targets: [`execute`] and [`probe`], besides the sockets of [`datagrams`] and [`streams`];
//! - between instances: [`peers`] for messages and passed requests, [`wire`] for forwarded packets;
//! - towards the platform: [`platform`];
//! - towards operators: [`admin`], [`logs`] and [`metrics`].
//!
//! [`engine`] joins them: it feeds inputs to the core and carries out its outputs. [`instance`] is the life cycle of
//! the whole.

pub mod admin;
pub mod config;
pub mod datagrams;
pub mod engine;
pub mod execute;
pub mod http_client;
pub mod instance;
pub mod listeners;
pub mod logs;
pub mod metrics;
pub mod payload;
pub mod peers;
pub mod platform;
pub mod probe;
pub mod requests;
pub mod streams;
pub mod web;
pub mod wire;

pub use config::Config;
pub use instance::Instance;
