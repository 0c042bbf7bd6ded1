//! Messages between this node and its peers.

use std::sync::Arc;

use super::Node;
use super::flow_context;
use crate::Timestamp;
use crate::event::Notice;
use crate::event::Output;
use crate::flows::Superseded;
use crate::membership::PeerView;
use crate::membership::ProbeMessage;
use crate::message::Envelope;
use crate::message::FlowBatch;
use crate::message::Heartbeat;
use crate::message::PeerMessage;
use crate::message::Sequence;
use hawthornshift_model::CheckedSet;
use hawthornshift_model::InstanceId;
use hawthornshift_model::PublishedSet;

impl Node {
    pub(super) fn process_peer_message(&mut self, now: Timestamp, envelope: Envelope, out: &mut Vec<Output>) {
        if envelope.to != self.membership.me().id || envelope.sender.id == envelope.to {
            return;
        }
        let from = envelope.sender.id;
        self.membership.message_received(now, &envelope.sender);
        match envelope.message {
            PeerMessage::Ping(heartbeat) => {
                let sequence = heartbeat.sequence;
                let differs = heartbeat.view != self.view.digest();
                self.process_heartbeat(now, from, heartbeat, out);
                let answer = self.create_heartbeat(sequence, differs, from);
                self.send(from, PeerMessage::Ack(answer), out);
            }
            PeerMessage::Ack(heartbeat) => {
                let probe_message = self.membership.acknowledged(now, heartbeat.sequence, from);
                let (sequence, view) = (heartbeat.sequence, heartbeat.view);
                self.process_heartbeat(now, from, heartbeat, out);
                self.send_probe_messages(probe_message, out);
                self.confirm_view(now, from, sequence, view, out);
            }
            PeerMessage::IndirectPing { sequence, subject } => {
                let probe_message = self.membership.ping_for(now, subject, from, sequence);
                self.send_probe_messages(probe_message, out);
            }
            PeerMessage::IndirectAck { sequence, subject } => {
                self.membership.acknowledged_indirectly(now, sequence, subject);
            }
            PeerMessage::SetRequest { have } => self.send_set(from, have, out),
            PeerMessage::SetOffer { set } => self.process_set_offer(now, *set, out),
            PeerMessage::FlowBatch(batch) => self.process_flow_batch(now, from, &batch, out),
            PeerMessage::FlowsSuperseded { service, callers } => self.flows.superseded(now, service, &callers),
            PeerMessage::FlowBatchAck { sequence, superseded } => {
                self.flows.batch_acknowledged(now, sequence, &superseded);
            }
            PeerMessage::CoordinatorRelease { target, running } => {
                self.coordinator.record_release(now, from, target, running);
                let (requests, mut cx) = self.request_context(now, out);
                requests.start_queued(&mut cx);
            }
            PeerMessage::FinalReportsRequest => {
                let reports: Vec<PeerMessage> = self.tickets.final_reports().collect();
                for report in reports {
                    self.send(from, report, out);
                }
            }
            PeerMessage::IssuerClosed { issuer, incarnation, known_since_ms, redeemed } => {
                self.tickets.issuer_closed(issuer, incarnation, known_since_ms, &redeemed);
            }
        }
    }

    pub(super) fn process_flow_batch(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        batch: &FlowBatch,
        out: &mut Vec<Output>,
    ) {
        let Self { flows, view, membership, health, configuration, fence, .. } = self;
        let cx = flow_context(view, membership, health, configuration, fence.as_ref());
        let Superseded { senders, others } = flows.apply_batch(now, from, batch, cx);
        let FlowBatch { sequence, service, .. } = *batch;
        self.send(from, PeerMessage::FlowBatchAck { sequence, superseded: senders }, out);
        for (to, callers) in others {
            self.send(to, PeerMessage::FlowsSuperseded { service, callers }, out);
        }
    }

    pub(super) fn process_heartbeat(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        heartbeat: Heartbeat,
        out: &mut Vec<Output>,
    ) {
        self.membership.merge_updates(now, &heartbeat.members);
        for updates in heartbeat.targets {
            if self.health.record(now, updates) {
                out.push(Output::Notice(Notice::TargetChanged { target: updates.target, status: updates.status }));
            }
        }
        let have = self.configuration.revision();
        let clash = heartbeat.revision == have && heartbeat.set_digest > self.configuration.catalog().digest();
        if heartbeat.revision > have || clash {
            self.send(from, PeerMessage::SetRequest { have }, out);
        }
    }

    pub(super) fn create_heartbeat(&mut self, sequence: Sequence, differs: bool, to: InstanceId) -> Heartbeat {
        let same_domain = self
            .membership
            .member(to)
            .is_some_and(|update| update.failure_domain == self.membership.me().failure_domain);
        let mut members =
            self.membership.piggyback_updates(to, if differs { PeerView::Differs } else { PeerView::Unknown });
        if differs {
            self.membership.add_random_updates(&mut self.rng, &mut members);
        }
        Heartbeat {
            sequence,
            revision: self.configuration.revision(),
            set_digest: self.configuration.catalog().digest(),
            view: self.view.digest(),
            members,
            targets: if same_domain { self.coordinator.status_updates(false) } else { Vec::new() },
        }
    }

    pub(super) fn send_set(&self, to: InstanceId, have: u64, out: &mut Vec<Output>) {
        let Some(checked) = self.configuration.catalog().checked() else { return };
        if checked.set().revision >= have {
            let set = Box::new(checked.set().clone());
            self.send(to, PeerMessage::SetOffer { set }, out);
        }
    }

    /// Handles a configuration set from a peer. The set is validated again, since the peer may run another version of
    /// this program.
    pub(super) fn process_set_offer(&mut self, now: Timestamp, set: PublishedSet, out: &mut Vec<Output>) {
        let revision = set.revision;
        if revision < self.configuration.revision() {
            return;
        }
        match CheckedSet::new(set) {
            Ok(checked) => self.apply_set(now, Arc::new(checked), out),
            Err(error) => {
                self.configuration.count_refused();
                out.push(Output::Notice(Notice::SetRefused { revision, reason: error.to_string() }));
            }
        }
    }

    /// Sends status changes of the targets that this instance coordinates to the instances of its failure domain.
    pub(super) fn broadcast_target_status(&mut self, out: &mut Vec<Output>) {
        let updates = self.coordinator.status_updates(true);
        if updates.is_empty() {
            return;
        }
        // The changes apply to this instance's own flows first.
        let now = self.last_input;
        for update in &updates {
            self.health.record(now, *update);
        }
        let domain = self.membership.me().failure_domain.clone();
        let same_domain = self.membership.reachable().filter(|update| update.failure_domain == domain);
        let same_domain: Vec<InstanceId> = same_domain.map(|update| update.id).collect();
        for to in same_domain {
            let heartbeat = Heartbeat { targets: updates.clone(), ..self.create_heartbeat(0, false, to) };
            self.send(to, PeerMessage::Ack(heartbeat), out);
        }
    }

    pub(super) fn send_releases(&mut self, out: &mut Vec<Output>) {
        for (target, running) in self.coordinator.take_releases() {
            let coordinator = self.view.coordinator(target).filter(|id| *id != self.membership.me().id);
            if let Some(to) = coordinator {
                self.send(to, PeerMessage::CoordinatorRelease { target, running }, out);
            }
        }
    }

    pub(super) fn send_probe_messages(
        &mut self,
        probe_messages: impl IntoIterator<Item = ProbeMessage>,
        out: &mut Vec<Output>,
    ) {
        for probe_message in probe_messages {
            let (to, message) = match probe_message {
                ProbeMessage::Ping { to, sequence } => {
                    (to, PeerMessage::Ping(self.create_heartbeat(sequence, false, to)))
                }
                ProbeMessage::IndirectPing { to, sequence, subject } => {
                    (to, PeerMessage::IndirectPing { sequence, subject })
                }
                ProbeMessage::IndirectAck { to, sequence, subject } => {
                    (to, PeerMessage::IndirectAck { sequence, subject })
                }
            };
            self.send(to, message, out);
        }
    }

    pub(super) fn send(&self, to: InstanceId, message: PeerMessage, out: &mut Vec<Output>) {
        let Some(address) = self.membership.member(to).map(|update| update.control) else { return };
        let envelope = Box::new(Envelope { sender: self.membership.me().clone(), to, message });
        out.push(Output::ToPeer { address, envelope });
    }
}
