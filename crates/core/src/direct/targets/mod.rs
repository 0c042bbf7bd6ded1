//! What is known of the targets: how many requests each has open, whether it answers, and how fast it works.
//!
//! Everything here follows from packets that pass through this instance, from checks of single targets, and from reports of
//! other instances. Nothing here selects a target or resets a flow; [`placement`](crate::direct::placement) and
//! [`dispatcher`](crate::direct::dispatcher) do, by what these modules find.

pub mod answer_times;
pub mod domain_reach;
pub mod failures;
pub mod handshake_timeout;
pub mod open_requests;
pub mod outlier;
pub mod reachability;
pub mod smoothed_time;
pub mod target_speed;
