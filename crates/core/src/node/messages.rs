//! What a node does with the messages of others, and what it tells them.

use std::sync::Arc;

use super::Node;
use super::surroundings;
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
    pub(super) fn peer_message(&mut self, now: Timestamp, envelope: Envelope, out: &mut Vec<Output>) {
        if envelope.to != self.membership.me().id || envelope.sender.id == envelope.to {
            return;
        }
        let from = envelope.sender.id;
        self.membership.message_received(now, &envelope.sender);
        match envelope.message {
            PeerMessage::Ping(heartbeat) => {
                let sequence = heartbeat.sequence;
                let differs = heartbeat.view != self.view.digest();
                self.take_heartbeat(now, from, heartbeat, out);
                let answer = self.heartbeat(sequence, differs, from);
                self.send(from, PeerMessage::Ack(answer), out);
            }
            PeerMessage::Ack(heartbeat) => {
                let signal = self.membership.acknowledged(now, heartbeat.sequence, from);
                let (sequence, view) = (heartbeat.sequence, heartbeat.view);
                self.take_heartbeat(now, from, heartbeat, out);
                self.send_signals(signal, out);
                self.confirm_view(now, from, sequence, view, out);
            }
            PeerMessage::IndirectPing { sequence, subject } => {
                let signal = self.membership.ping_for(now, subject, from, sequence);
                self.send_signals(signal, out);
            }
            PeerMessage::IndirectAck { sequence, subject } => {
                self.membership.acknowledged_indirectly(now, sequence, subject);
            }
            PeerMessage::SetRequest { have } => self.send_set(from, have, out),
            PeerMessage::SetOffer { set } => self.take_set(now, *set, out),
            PeerMessage::FlowBatch(batch) => self.flow_batch(now, from, &batch, out),
            PeerMessage::FlowsSuperseded { service, callers } => self.flows.superseded(now, service, &callers),
            PeerMessage::FlowBatchAck { sequence, superseded } => {
                self.flows.batch_acknowledged(now, sequence, &superseded);
            }
            PeerMessage::CoordinatorRelease { target, running } => {
                self.coordinator.released_by(now, from, target, running);
                let (requests, mut cx) = self.request_cx(now, out);
                requests.start_queued(&mut cx);
            }
            PeerMessage::LastWordsRequest => {
                let words: Vec<PeerMessage> = self.tickets.last_words().collect();
                for word in words {
                    self.send(from, word, out);
                }
            }
            PeerMessage::IssuerClosed { issuer, incarnation, known_since_ms, redeemed } => {
                self.tickets.issuer_closed(issuer, incarnation, known_since_ms, &redeemed);
            }
        }
    }

    pub(super) fn flow_batch(&mut self, now: Timestamp, from: InstanceId, batch: &FlowBatch, out: &mut Vec<Output>) {
        let Self { flows, view, membership, health, configuration, fence, .. } = self;
        let cx = surroundings(view, membership, health, configuration, fence.as_ref());
        let Superseded { senders, others } = flows.apply_batch(now, from, batch, cx);
        let FlowBatch { sequence, service, .. } = *batch;
        self.send(from, PeerMessage::FlowBatchAck { sequence, superseded: senders }, out);
        for (to, callers) in others {
            self.send(to, PeerMessage::FlowsSuperseded { service, callers }, out);
        }
    }

    pub(super) fn take_heartbeat(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        heartbeat: Heartbeat,
        out: &mut Vec<Output>,
    ) {
        self.membership.merge_updates(now, &heartbeat.members);
        for news in heartbeat.targets {
            if self.health.note(now, news) {
                out.push(Output::Notice(Notice::TargetChanged { target: news.target, status: news.status }));
            }
        }
        let have = self.configuration.revision();
        let clash = heartbeat.revision == have && heartbeat.set_digest > self.configuration.catalog().digest();
        if heartbeat.revision > have || clash {
            self.send(from, PeerMessage::SetRequest { have }, out);
        }
    }

    pub(super) fn heartbeat(&mut self, sequence: Sequence, differs: bool, to: InstanceId) -> Heartbeat {
        let near = self
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
            targets: if near { self.coordinator.status_updates(false) } else { Vec::new() },
        }
    }

    pub(super) fn send_set(&self, to: InstanceId, have: u64, out: &mut Vec<Output>) {
        let Some(checked) = self.configuration.catalog().checked() else { return };
        if checked.set().revision >= have {
            let set = Box::new(checked.set().clone());
            self.send(to, PeerMessage::SetOffer { set }, out);
        }
    }

    /// Takes a set from a peer, checked anew: the peer may run another version of this program.
    pub(super) fn take_set(&mut self, now: Timestamp, set: PublishedSet, out: &mut Vec<Output>) {
        let revision = set.revision;
        if revision < self.configuration.revision() {
            return;
        }
        match CheckedSet::new(set) {
            Ok(checked) => self.offer(now, Arc::new(checked), out),
            Err(error) => {
                self.configuration.count_refused();
                out.push(Output::Notice(Notice::SetRefused { revision, reason: error.to_string() }));
            }
        }
    }

    /// Tells the instances of this failure domain what has changed about the targets kept here.
    pub(super) fn send_target_news(&mut self, out: &mut Vec<Output>) {
        let news = self.coordinator.status_updates(true);
        if news.is_empty() {
            return;
        }
        // The news concerns this instance's own flows first of all.
        let now = self.last_input;
        for item in &news {
            self.health.note(now, *item);
        }
        let domain = self.membership.me().failure_domain.clone();
        let near = self.membership.reachable().filter(|update| update.failure_domain == domain);
        let near: Vec<InstanceId> = near.map(|update| update.id).collect();
        for to in near {
            let heartbeat = Heartbeat { targets: news.clone(), ..self.heartbeat(0, false, to) };
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

    pub(super) fn send_signals(&mut self, signals: impl IntoIterator<Item = ProbeMessage>, out: &mut Vec<Output>) {
        for signal in signals {
            let (to, message) = match signal {
                ProbeMessage::Ping { to, sequence } => (to, PeerMessage::Ping(self.heartbeat(sequence, false, to))),
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
