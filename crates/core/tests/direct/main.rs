//! The direct path in virtual time.
#![allow(dead_code, unreachable_pub, reason = "each test module uses its own part of the harness")]

mod bootstrap;
mod convergence;
mod directory;
mod directory_lag;
mod domain_loss;
mod fair_share;
mod fleet;
mod flow_bindings;
mod foreign_entries;
mod handover_parts;
mod hanging;
mod link_budget;
mod load;
mod mechanisms;
mod members;
mod overload;
mod reachability;
mod readiness;
mod routes;
mod rules;
mod search_work;
mod slot_quota;
mod starting_peers;
mod store_updates;
mod target_speed;
mod timers;
mod unknown_routes;
mod watching;
