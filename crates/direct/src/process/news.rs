//! News of the store: from the reader of the store, from peers, and on to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use rand::Rng;
use slog::info;
use slog::warn;
use tokio::sync::oneshot;

use super::Process;
use crate::command;
use crate::command::Command;
use crate::command::Order;
use crate::command::PullOutcome;
use crate::decision_log::millis;
use crate::peers;
use crate::peers::HandoverError;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::message::Handover;
use hawthornshift_core::direct::store_entries::Delta;
use hawthornshift_core::direct::watch::RoleChange;
use hawthornshift_model::Revision;

impl Process {
    pub(super) fn confirm_news(&mut self, now: Timestamp) {
        self.dispatcher.confirm_up_to_date(now, &mut self.effects);
        self.carry_out();
    }

    pub(super) fn order(&mut self, duty: RoleChange) {
        let watching = duty == RoleChange::Begin;
        info!(self.log, "store duty"; "watching" => watching, "age_ms" => millis(self.fleet.watcher_role().age(self.now())));
        let after = if self.dispatcher.directory().is_synced() { self.dispatcher.directory().revision() } else { 0 };
        self.orders.send_replace(if watching { Order::Watch { after } } else { Order::Rest });
    }

    /// Asks an instance for what is newer than what is known here, one at a time.
    pub(super) fn pull(&mut self, from: SocketAddr) {
        if std::mem::replace(&mut self.pulling, true) {
            return;
        }
        let since = self.dispatcher.directory().fetch_since();
        let (tx, log) = (self.tx.clone(), self.log.clone());
        tokio::spawn(async move {
            let asked = Instant::now();
            let pulled = peers::pull(from, since, command::PULL_LIMIT).await;
            let took = asked.elapsed();
            let outcome = match pulled {
                Ok(handover) => PullOutcome::Received(Box::new(handover)),
                Err(HandoverError::Refused(StatusCode::TOO_MANY_REQUESTS)) => PullOutcome::Refused,
                Err(error) => {
                    warn!(log, "pull failed"; "from" => from, "took_ms" => millis(took), "error" => error.to_string());
                    PullOutcome::Failed
                }
            };
            // The loop that would receive it has ended if this fails.
            let _ = tx.send(Command::Pulled { outcome, took }).await;
        });
    }

    pub(super) fn store_said(&mut self, now: Timestamp, delta: &Delta, refused: usize) {
        self.counts.store_answers += 1;
        self.counts.entries_refused += refused as u64;
        if refused > 0 {
            warn!(self.log, "entries refused"; "count" => refused, "revision" => delta.revision);
        }
        if std::mem::take(&mut self.store_lost) {
            info!(self.log, "store answers again"; "revision" => delta.revision);
        }
        self.fleet.watcher_role_mut().answered(now);
        self.learn(now, delta, "store");
        self.confirm_news(now);
        if !delta.entries.is_empty() {
            let revision = self.dispatcher.directory().revision();
            // A whole picture is large and comes after a gap: it is announced, and who lacks it pulls it.
            let told = self.dispatcher.directory().delta_for_peers(delta);
            let told = peers::fits_push(&told).then(|| Arc::new(told));
            let effects = if delta.is_snapshot { Vec::new() } else { self.fleet.push(now, revision, told) };
            self.carry_out_fleet(effects);
        }
    }

    pub(super) fn store_failed(&mut self, reason: &str) {
        self.counts.store_failures += 1;
        if !std::mem::replace(&mut self.store_lost, true) {
            warn!(self.log, "store lost"; "reason" => reason);
        }
    }

    pub(super) fn pulled(&mut self, now: Timestamp, outcome: &PullOutcome, took: Duration) {
        self.pulling = false;
        let handover = match outcome {
            PullOutcome::Received(handover) => handover,
            PullOutcome::Refused => {
                self.counts.pull_refusals += 1;
                self.bootstrap.handle_refusal(now, rand::rng().random_range(0.0..1.0));
                return;
            }
            PullOutcome::Failed => {
                self.counts.pull_failures += 1;
                return;
            }
        };
        self.counts.pulls += 1;
        self.confirm_news(now);
        let effects = self.fleet.add_members(now, &handover.members);
        self.carry_out_fleet(effects);
        let changed = self.dispatcher.apply_handover(now, handover, &mut self.effects);
        self.carry_out();
        if changed {
            self.learned(&handover.delta, "handover", took);
        }
    }

    /// Tells an instance what it needs that knows everything up to a revision; the other instances too if it has just
    /// started.
    pub(super) fn hand_over(&mut self, now: Timestamp, since: Revision, answer: oneshot::Sender<Vec<u8>>) {
        let handover = self.dispatcher.handover(now, since);
        let starts = since == 0;
        let members = if starts { self.fleet.handover() } else { Vec::new() };
        let body = match peers::encode_handover(&Handover { members, ..handover }) {
            Ok(body) => body,
            Err(error) => {
                warn!(self.log, "handover not encoded"; "error" => error.to_string());
                return;
            }
        };
        let counts = if starts { &mut self.counts.whole_handovers } else { &mut self.counts.news_handovers };
        counts.answers += 1;
        counts.bytes += body.len() as u64;
        // Whoever asked may have gone meanwhile.
        drop(answer.send(body));
    }

    pub(super) fn learn(&mut self, now: Timestamp, delta: &Delta, from: &'static str) {
        let changed = self.dispatcher.apply_delta(now, delta, &mut self.effects);
        self.carry_out();
        if changed {
            self.learned(delta, from, Duration::ZERO);
        }
    }

    /// Logs news that took so long to be asked for.
    pub(super) fn learned(&mut self, delta: &Delta, from: &'static str, took: Duration) {
        let directory = self.dispatcher.directory();
        info!(self.log, "news"; "from" => from, "facts" => delta.entries.len(), "whole" => delta.is_snapshot,
            "took_ms" => millis(took), "revision" => directory.revision(), "version" => directory.version());
        self.look_at_readiness();
    }

    /// Gets a whole picture for an instance that has just started, from a peer or from the store.
    pub(super) fn ask_for_everything(&mut self, now: Timestamp) {
        let (informed, others) = (self.fleet.up_to_date_peers(), self.fleet.reachable());
        if let Some(peer) = self.bootstrap.ask(now, &informed, &others, &mut rand::rng()) {
            self.pull(peer);
        }
        if self.bootstrap.should_read_store(now, self.fleet.rank(), self.fleet.watcher_role()) {
            self.fleet.watcher_role_mut().begin(now);
            self.order(RoleChange::Begin);
        }
    }
}
