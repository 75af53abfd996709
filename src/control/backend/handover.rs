//! Handover of idempotency keys: asks other sidecars for their keys, replies to those that ask, and
//! hands all keys over when this sidecar leaves.

use std::{sync, time};

use tokio::sync::oneshot;

use crate::client::instances;
use crate::control::backend::keyed::Keyed;
use crate::control::backend::{Backend, Message};
use crate::control::response_buffer;
use crate::decide::{home, keys};
use crate::wire;

/// Interval between the first two requests to the same sidecar, doubled for each further one.
/// During a restart of a whole service no sidecar has keys, and each of hundreds of sidecars would
/// send requests to all others.
const MIN_ASK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Maximum interval between two requests to the same sidecar.
const MAX_ASK_INTERVAL: time::Duration = time::Duration::from_secs(30);

/// Maximum bytes of a response that is handed over with its key; longer ones are rare for calls
/// with a key.
const MAX_RESPONSE_BYTES: u64 = 64 << 10;

impl Keyed {
    fn encode(&self, record: &keys::Record) -> wire::KeyRecord {
        let name = (record.customer.to_string(), record.key.to_string());
        let response = self.responses.by_key.get(&name);
        let response = response.filter(|response| response.length() <= MAX_RESPONSE_BYTES);
        wire::KeyRecord {
            customer: name.0,
            key: name.1,
            state: match record.state {
                keys::State::Started => wire::KeyState::Started,
                keys::State::Finished => wire::KeyState::Finished,
                keys::State::Unknown => wire::KeyState::Unknown,
            }
            .into(),
            age_ms: record.age.as_millis() as u64,
            request_digest: record.digest,
            status: response.map_or(0, |response| response.status),
            headers: response.map_or_else(Vec::new, |response| response.headers.clone()),
            body: response.map_or_else(bytes::Bytes::new, response_buffer::Buffer::body),
        }
    }

    /// Stores keys and responses from another sidecar. Returns false if the keys do not fit.
    fn import(&mut self, now: time::Duration, records: &[wire::KeyRecord]) -> bool {
        let known: Vec<_> = records.iter().map(from_wire).collect();
        if !self.keys.merge(now, &known) {
            return false;
        }
        for record in records.iter().filter(|record| record.status > 0) {
            let mut response = response_buffer::Buffer::default();
            response.status = record.status;
            response.headers.clone_from(&record.headers);
            response.append(record.body.clone());
            response.mark_complete();
            let name = (record.customer.clone(), record.key.clone());
            self.responses.insert(now, name, response);
        }
        true
    }
}

fn from_wire(record: &wire::KeyRecord) -> keys::Record {
    keys::Record {
        customer: record.customer.as_str().into(),
        key: record.key.as_str().into(),
        state: match record.state() {
            wire::KeyState::Finished => keys::State::Finished,
            wire::KeyState::Started => keys::State::Started,
            wire::KeyState::Unknown | wire::KeyState::Unspecified => keys::State::Unknown,
        },
        digest: record.request_digest,
        age: time::Duration::from_millis(record.age_ms),
    }
}

fn member_from_wire(member: &wire::KnownMember) -> home::KnownMember {
    home::KnownMember {
        id: member.id.as_str().into(),
        incarnation: member.incarnation,
        gone_age: member
            .gone
            .then(|| time::Duration::from_millis(member.gone_age_ms)),
        complete: member.complete,
        handed: member.handed,
    }
}

fn member_to_wire(known: &home::KnownMember) -> wire::KnownMember {
    wire::KnownMember {
        id: known.id.to_string(),
        incarnation: known.incarnation,
        gone: known.gone_age.is_some(),
        gone_age_ms: known.gone_age.unwrap_or_default().as_millis() as u64,
        complete: known.complete,
        handed: known.handed,
    }
}

impl Backend {
    /// Updates the members from a read of the platform's list that was requested at `asked_at`.
    pub(super) fn on_instance_list(
        &mut self,
        now: time::Duration,
        asked_at: time::Duration,
        list: &instances::List,
    ) {
        let own = &self.setup.settings.service;
        let same = |instance: &&instances::Instance| {
            instance.role == instances::Role::Sidecar && instance.service == *own
        };
        let peers: Vec<_> = list.instances.iter().filter(same).collect();
        let addresses = peers.iter().map(|peer| (peer.id.clone(), peer.address));
        // Addresses are only added: a sidecar that asked may not be on the list yet, and must get
        // the keys too.
        self.keyed.addresses.extend(addresses);
        let listed: Vec<_> = peers
            .iter()
            .map(|peer| home::Listed {
                id: peer.id.as_str().into(),
                incarnation: (peer.incarnation > 0).then_some(peer.incarnation),
            })
            .collect();
        self.keyed.home.observe_list(asked_at, now, &listed);
    }

    /// Asks the members that have to hand over their keys, removes expired responses, and hands all
    /// keys over once the last call with a key of a leaving sidecar has ended.
    pub(super) fn tick_keys(&mut self, now: time::Duration) {
        let keyed = &mut self.keyed;
        keyed.responses.expire(now.saturating_sub(keyed.retention));
        for pending in keyed.home.pending_requests() {
            let (next, wait) = keyed
                .next_ask
                .get(&pending.id)
                .copied()
                .unwrap_or((now, MIN_ASK_INTERVAL));
            let due = now >= next;
            let Some(address) = keyed.addresses.get(&*pending.id).filter(|_| due) else {
                continue;
            };
            let later = (now + wait, (wait * 2).min(MAX_ASK_INTERVAL));
            keyed.next_ask.insert(sync::Arc::clone(&pending.id), later);
            let request = wire::HandoverRequest {
                process: Some(self.setup.process.clone()),
                join: true,
                ..wire::HandoverRequest::default()
            };
            let tx = self.setup.tx.clone();
            (self.setup.hand_over)(
                *address,
                request,
                Box::new(move |reply| {
                    if let Some(reply) = reply {
                        drop(tx.send(Message::HandoverReply(pending, reply)));
                    }
                }),
            );
        }
        if self.leaving && self.keyed.running == 0 && self.keyed.pending_handovers.is_none() {
            self.hand_over_keys(now);
        }
    }

    /// Handles a sidecar that joins and asks for keys, or that leaves and hands over its own.
    pub(super) fn on_handover_request(
        &mut self,
        now: time::Duration,
        request: &wire::HandoverRequest,
        reply_tx: oneshot::Sender<wire::HandoverReply>,
    ) {
        let Some(process) = &request.process else {
            return;
        };
        let mut reply = wire::HandoverReply {
            process: Some(self.setup.process.clone()),
            ..wire::HandoverReply::default()
        };
        let keyed = &mut self.keyed;
        if let Ok(address) = process.address.parse() {
            keyed.addresses.insert(process.id.clone(), address);
        }
        if request.join {
            let home_reply = keyed
                .home
                .answer_request(now, &process.id, process.incarnation);
            let home = &keyed.home;
            let wanted =
                |customer: &str, key: &str| home.is_outranked_by(&process.id, customer, key);
            let records = keyed.keys.records(now, wanted);
            reply.accepted = home_reply.accepted;
            reply.settled = home_reply.settled;
            reply.known_incarnation = home_reply.known_incarnation;
            reply.members = home_reply.members.iter().map(member_to_wire).collect();
            reply.keys = records
                .iter()
                .map(|record| self.keyed.encode(record))
                .collect();
        } else {
            reply.accepted = keyed.import(now, &request.given);
            if reply.accepted && request.complete {
                keyed
                    .home
                    .record_departure(now, &process.id, process.incarnation);
            }
        }
        // The other side may have timed out; it asks again.
        drop(reply_tx.send(reply));
    }

    /// Handles the reply of another sidecar to a request for its keys.
    pub(super) fn on_handover_reply(
        &mut self,
        now: time::Duration,
        request: &home::HandoverRequest,
        reply: &wire::HandoverReply,
    ) {
        let Some(process) = &reply.process else {
            return;
        };
        if !self.keyed.import(now, &reply.keys) {
            return;
        }
        let home_reply = home::HandoverReply {
            accepted: reply.accepted,
            incarnation: process.incarnation,
            settled: reply.settled,
            members: reply.members.iter().map(member_from_wire).collect(),
            known_incarnation: reply.known_incarnation,
        };
        self.keyed.home.apply_reply(now, request, &home_reply);
    }

    /// Stops deciding about idempotency keys.
    pub(super) fn stop_deciding_keys(&mut self) {
        self.keyed.home.leave();
    }

    /// Counts a member to which the handover has succeeded or failed.
    pub(super) fn on_keys_given(&mut self) {
        self.keyed.pending_handovers = self
            .keyed
            .pending_handovers
            .map(|left| left.saturating_sub(1));
    }

    fn hand_over_keys(&mut self, now: time::Duration) {
        let records = self.keyed.keys.records(now, |_, _| true);
        let given: Vec<_> = records
            .iter()
            .map(|record| self.keyed.encode(record))
            .collect();
        let mut pending_handovers = 0;
        for id in self.keyed.home.leave() {
            let Some(address) = self.keyed.addresses.get(&*id) else {
                continue;
            };
            pending_handovers += 1;
            let request = wire::HandoverRequest {
                process: Some(self.setup.process.clone()),
                given: given.clone(),
                complete: true,
                join: false,
            };
            let tx = self.setup.tx.clone();
            (self.setup.hand_over)(
                *address,
                request,
                Box::new(move |_reply| {
                    drop(tx.send(Message::KeysGiven));
                }),
            );
        }
        self.keyed.pending_handovers = Some(pending_handovers);
    }
}
