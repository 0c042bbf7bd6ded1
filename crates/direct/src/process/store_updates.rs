//! Store updates: received from the store reader and from peers, and forwarded to peers.

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
use crate::command::HandoverRequest;
use crate::command::PullOutcome;
use crate::command::RefusedEntries;
use crate::command::StoreReaderMode;
use crate::decision_log::millis;
use crate::peers;
use crate::peers::HandoverError;
use hawthornshift_core::Timestamp;
use hawthornshift_core::direct::lifecycle::bootstrap::Sources;
use hawthornshift_core::direct::reports::message::Handover;
use hawthornshift_core::direct::store::parts::PartRequest;
use hawthornshift_core::direct::store::store_entries::Delta;
use hawthornshift_core::direct::store::watch::RoleChange;

impl Process {
    pub(super) fn confirm_up_to_date(&mut self, now: Timestamp) {
        self.dispatcher.confirm_up_to_date(now, &mut self.effects);
        self.execute_effects();
    }

    pub(super) fn change_watcher_role(&mut self, change: RoleChange) {
        let watching = change == RoleChange::Start;
        info!(self.log, "store duty"; "watching" => watching,
            "age_ms" => millis(self.fleet.watcher_role().age(self.now())));
        let after = if self.dispatcher.directory().is_synced() { self.dispatcher.directory().revision() } else { 0 };
        self.reader_mode.send_replace(if watching { StoreReaderMode::Watch { after } } else { StoreReaderMode::Idle });
    }

    /// Passes the revision that this instance lacks to the dispatcher, and logs when that begins and ceases to prevent
    /// new flows.
    pub(super) fn update_missing_revision(&mut self, now: Timestamp) {
        let missing = self.fleet.missing_revision(now);
        self.dispatcher.set_missing_revision(missing);
        let behind = self.dispatcher.missing_revision(now);
        let revision = self.dispatcher.directory().revision();
        let was_behind = std::mem::replace(&mut self.is_directory_behind, behind.is_some());
        match behind {
            Some(missing) if !was_behind => {
                warn!(self.log, "directory behind"; "revision" => revision, "missing" => missing.revision,
                    "behind_ms" => millis(now.saturating_sub(missing.known_since)), "peers_ahead" => missing.peers_ahead,
                    "peers_heard" => missing.peers_heard, "age_ms" => millis(self.fleet.watcher_role().age(now)));
            }
            None if was_behind => {
                info!(self.log, "directory no longer behind"; "revision" => revision,
                    "behind_ms" => millis(self.fleet.behind_for(now)));
            }
            Some(_) | None => {}
        }
    }

    /// Requests a handover of newer entries from an instance.
    pub(super) fn pull(&mut self, now: Timestamp, from: SocketAddr) {
        self.current_pulls += 1;
        self.fleet.pull_started(now, from);
        let since = self.dispatcher.directory().fetch_since();
        let me = self.config.platform.peer_address;
        let (tx, log) = (self.tx.clone(), self.log.clone());
        tokio::spawn(async move {
            let started = Instant::now();
            let pulled = peers::pull(from, me, since, command::PULL_TIMEOUT).await;
            let elapsed = started.elapsed();
            let outcome = match pulled {
                Ok(handover) => PullOutcome::Received(Box::new(handover)),
                Err(HandoverError::Refused(StatusCode::TOO_MANY_REQUESTS)) => PullOutcome::Refused,
                Err(HandoverError::Refused(StatusCode::SERVICE_UNAVAILABLE)) => PullOutcome::Failed,
                Err(error) => {
                    warn!(log, "pull failed"; "from" => from, "took_ms" => millis(elapsed), "error" => error.to_string());
                    PullOutcome::Failed
                }
            };
            // Sending fails only after the process loop has ended.
            let _ = tx.send(Command::PullFinished { from, outcome, elapsed }).await;
        });
    }

    pub(super) fn store_answered(&mut self, now: Timestamp, delta: &Delta, refused: &RefusedEntries) {
        self.counts.store_answers += 1;
        self.counts.entries_refused += refused.count as u64;
        if refused.count > 0 {
            warn!(self.log, "entries refused"; "count" => refused.count, "revision" => delta.revision,
                "first_key" => &refused.first_key, "first_reason" => &refused.first_reason);
        }
        if std::mem::take(&mut self.is_store_unavailable) {
            info!(self.log, "store answers again"; "revision" => delta.revision);
        }
        self.fleet.watcher_role_mut().record_store_answer(now);
        self.apply_delta(now, delta, "store");
        self.confirm_up_to_date(now);
        self.update_has_state(now);
        if !delta.entries.is_empty() {
            let revision = self.dispatcher.directory().revision();
            // A snapshot is large and follows a gap in the watch. It is only announced, and instances that lack it pull it.
            let peer_delta = self.dispatcher.directory().delta_for_peers(delta);
            let peer_delta = peers::fits_push(&peer_delta).then(|| Arc::new(peer_delta));
            let effects =
                if delta.is_snapshot { Vec::new() } else { self.fleet.publish_delta(now, revision, peer_delta) };
            self.execute_fleet_effects(effects);
        }
    }

    pub(super) fn store_failed(&mut self, reason: &str) {
        self.counts.store_failures += 1;
        if !std::mem::replace(&mut self.is_store_unavailable, true) {
            warn!(self.log, "store lost"; "reason" => reason);
        }
    }

    pub(super) fn pull_finished(&mut self, now: Timestamp, from: SocketAddr, outcome: &PullOutcome, elapsed: Duration) {
        self.current_pulls -= 1;
        self.fleet.pull_finished(from);
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
        self.confirm_up_to_date(now);
        let effects = self.fleet.add_members(now, &handover.members);
        self.execute_fleet_effects(effects);
        let changed = self.dispatcher.apply_handover(now, handover, &mut self.effects);
        self.execute_effects();
        if handover.delta.is_snapshot {
            info!(self.log, "state received"; "source" => from, "bindings" => handover.flow_bindings.len());
        }
        if changed {
            self.log_update(&handover.delta, "handover", elapsed);
        }
        self.update_has_state(now);
    }

    /// Sends an instance the entries newer than the revision up to which it is synced, all or a part of them, and the list of
    /// members if it has just started (revision 0).
    pub(super) fn answer_handover(
        &mut self,
        now: Timestamp,
        request: HandoverRequest,
        answer: oneshot::Sender<Vec<u8>>,
    ) {
        let HandoverRequest { since, after, requester } = request;
        let part = after.map_or(PartRequest::WHOLE, |after| PartRequest { after, max_bytes: peers::MAX_PART_BYTES });
        let handover = self.dispatcher.handover_part(now, since, part);
        let is_snapshot_request = since == 0;
        if let Some(requester) = requester.filter(|_| is_snapshot_request && part.is_first()) {
            info!(self.log, "state handed over"; "to" => requester, "bindings" => handover.flow_bindings.len());
            self.fleet.handed_over(now, requester);
        }
        let members = if is_snapshot_request && part.is_first() { self.fleet.handover() } else { Vec::new() };
        let body = match peers::encode_handover(&Handover { members, ..handover }) {
            Ok(body) => body,
            Err(error) => {
                warn!(self.log, "handover could not be encoded"; "error" => error.to_string());
                return;
            }
        };
        let counts =
            if is_snapshot_request { &mut self.counts.whole_handovers } else { &mut self.counts.news_handovers };
        counts.answers += 1;
        counts.bytes += body.len() as u64;
        // The requester may have disconnected.
        drop(answer.send(body));
    }

    pub(super) fn apply_delta(&mut self, now: Timestamp, delta: &Delta, from: &'static str) {
        let changed = self.dispatcher.apply_delta(now, delta, &mut self.effects);
        self.execute_effects();
        if changed {
            self.log_update(delta, from, Duration::ZERO);
        }
    }

    /// Logs an applied delta and updates readiness; `elapsed` is the duration of the request for it.
    pub(super) fn log_update(&mut self, delta: &Delta, from: &'static str, elapsed: Duration) {
        let directory = self.dispatcher.directory();
        info!(self.log, "news"; "from" => from, "facts" => delta.entries.len(), "whole" => delta.is_snapshot,
            "took_ms" => millis(elapsed), "revision" => directory.revision(), "version" => directory.version());
        self.update_readiness();
    }

    /// Accepts requests of peers for the state once this instance has it, and invites the first of them.
    fn update_has_state(&mut self, now: Timestamp) {
        let has_state = self.dispatcher.directory().is_synced();
        if has_state && self.handovers.set_has_state() {
            self.invite_peers(now);
        }
    }

    /// Invites peers without state to ask this instance for it, as many as it can serve now.
    pub(super) fn invite_peers(&mut self, now: Timestamp) {
        let revision = self.dispatcher.directory().fetch_since();
        let effects = self.fleet.invite(now, revision, self.handovers.available());
        self.execute_fleet_effects(effects);
    }

    /// Fetches a snapshot from a peer or from the store while the instance is not synced.
    pub(super) fn fetch_snapshot(&mut self, now: Timestamp) {
        if self.current_pulls == 0 && self.bootstrap.is_ask_due(now) {
            let (up_to_date, others) = (self.fleet.up_to_date_peers(), self.fleet.reachable());
            let sources = Sources { up_to_date: &up_to_date, announced: self.fleet.announced_by(), others: &others };
            if let Some(peer) = self.bootstrap.ask(now, &sources, &mut rand::rng()) {
                self.pull(now, peer);
            }
        }
        if self.bootstrap.may_read_store(now)
            && self.bootstrap.should_read_store(now, &self.fleet.discovery(), self.fleet.watcher_role())
        {
            self.fleet.watcher_role_mut().start(now);
            self.change_watcher_role(RoleChange::Start);
        }
    }
}
