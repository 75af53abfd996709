//! Controller of the membership: updates the table from the platform's list, links and digests.

use std::{sync, time};

use crate::client::instances;
use crate::decide::member;
use crate::{event, wire};

/// Maximum bytes of a name that is accepted from another process.
const MAX_NAME_BYTES: usize = 64;

/// Time that a process waits for its first list before it assumes that it is alone: two polls.
const FIRST_LIST_TIMEOUT: time::Duration = time::Duration::from_secs(1);

struct Shared {
    table: sync::Mutex<member::Table>,
    started_at: time::Instant,
    ring: event::Ring,
    listeners: sync::Mutex<Vec<Box<dyn Fn() + Send + Sync>>>,
}

/// The membership as this process sees it; clones share it.
#[derive(Clone)]
pub struct Handle(sync::Arc<Shared>);

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handle")
            .field("members", &self.table().len())
            .finish_non_exhaustive()
    }
}

/// Creates a membership of only this process.
pub fn open(own: member::Member, ring: event::Ring) -> Handle {
    Handle(sync::Arc::new(Shared {
        table: sync::Mutex::new(member::Table::new(own)),
        started_at: time::Instant::now(),
        ring,
        listeners: sync::Mutex::default(),
    }))
}

impl Handle {
    /// Calls `listener` after each change of the processes that accept new work.
    pub fn subscribe(&self, listener: impl Fn() + Send + Sync + 'static) {
        let mut listeners = self
            .0
            .listeners
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        listeners.push(Box::new(listener));
    }

    /// Returns the processes of a role that accept new work, of one service if it is given.
    pub fn live(&self, role: member::Role, service: Option<&str>) -> Vec<member::Member> {
        let now = self.now();
        self.table().live(now, role, service).cloned().collect()
    }

    /// Returns all known processes and their states.
    pub fn all(&self) -> Vec<(member::Member, member::Status)> {
        let now = self.now();
        self.table()
            .members(now)
            .map(|(member, status)| (member.clone(), status))
            .collect()
    }

    /// Returns whether this process watches the log and the platform's list for its availability
    /// zone. A process that has just started and knows no other first waits for the list.
    pub fn is_watcher(&self) -> bool {
        let table = self.table();
        let alone = table.is_empty() && self.now() < FIRST_LIST_TIMEOUT;
        !alone && table.is_watcher()
    }

    /// Updates the table from the platform's list.
    pub fn observe_list(&self, list: &instances::List) {
        let listed: Vec<_> = list.instances.iter().map(from_instance).collect();
        self.update(|table, now| table.observe_list(now, &listed));
    }

    /// Records that a process responded on a link or in an exchange.
    pub fn observe_heartbeat(&self, id: &str, incarnation: u64, leaving: bool) {
        self.update(|table, now| table.observe_answer(now, id, incarnation, leaving));
    }

    /// Records that a process did not respond.
    pub fn observe_failure(&self, id: &str) {
        self.update(|table, now| table.observe_failure(now, id));
    }

    /// Updates the table from the rows of a digest. Malformed rows are ignored.
    pub fn observe_digest(&self, digest: &wire::Digest) {
        let rows = digest.members.iter().take(member::JOIN_DIGEST_ROWS + 2);
        let rows: Vec<_> = rows.filter_map(from_wire).collect();
        self.update(|table, now| {
            for row in rows {
                table.observe_member(now, row);
            }
        });
        if let Some(sender) = &digest.sender {
            let is_leaving = digest.members.first().is_some_and(|row| row.leaving);
            self.observe_heartbeat(&sender.id, sender.incarnation, is_leaving);
        }
    }

    /// Marks this process as leaving, a change that must be sent to other processes at once.
    pub fn leave(&self) {
        self.update(|table, _| table.leave());
    }

    /// Returns whether a change must be sent to other processes at once, and resets that flag.
    pub fn take_urgent(&self) -> bool {
        self.table().take_urgent()
    }

    /// Removes expired members, and counts up this process's heartbeat if it is due.
    pub fn tick(&self, is_heartbeat_due: bool) {
        self.update(|table, now| {
            if is_heartbeat_due {
                table.heartbeat();
            }
            table.expire(now);
        });
    }

    /// Returns the rows of a digest, this process first.
    pub fn digest(&self, rows: usize) -> Vec<wire::Member> {
        self.table().digest(rows).iter().map(to_wire).collect()
    }

    /// Returns the number of known processes without this one.
    pub fn len(&self) -> usize {
        self.table().len()
    }

    /// Returns whether this process knows no other.
    pub fn is_empty(&self) -> bool {
        self.table().is_empty()
    }

    /// Returns whether a process is known.
    pub fn knows(&self, id: &str) -> bool {
        self.table()
            .members(time::Duration::ZERO)
            .any(|(member, _)| member.id == id)
    }

    /// Returns processes to exchange digests with.
    pub fn targets(&self, count: usize) -> Vec<member::Member> {
        self.table().targets(count)
    }

    /// Returns this process as a member.
    pub fn own(&self) -> member::Member {
        self.table().own().clone()
    }

    fn now(&self) -> time::Duration {
        self.0.started_at.elapsed()
    }

    fn table(&self) -> sync::MutexGuard<'_, member::Table> {
        self.0
            .table
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn update(&self, change: impl FnOnce(&mut member::Table, time::Duration)) {
        let now = self.now();
        let mut table = self.table();
        let before = table.version();
        change(&mut table, now);
        let events = table.take_events();
        let changed = table.version() != before;
        drop(table);
        for event in events {
            note(&self.0.ring, event);
        }
        if changed {
            let listeners = self
                .0
                .listeners
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            for listener in listeners.iter() {
                listener();
            }
        }
    }
}

fn note(ring: &event::Ring, event: member::Event) {
    let (kind, id) = match event {
        member::Event::Joined(id) => (event::Kind::MemberJoined, id),
        member::Event::Leaving(id) => (event::Kind::MemberLeaving, id),
        member::Event::Suspected(id) => (event::Kind::MemberSuspected, id),
        member::Event::Lost(id) => (event::Kind::MemberLost, id),
    };
    ring.note(kind).field("member", id).send();
}

/// Converts an instance of the platform's list.
pub fn from_instance(instance: &instances::Instance) -> member::Listed {
    let role = match instance.role {
        instances::Role::Entry => member::Role::Entry,
        instances::Role::Sidecar => member::Role::Sidecar,
    };
    let member = member::Member {
        id: instance.id.clone(),
        incarnation: instance.incarnation,
        role,
        zone: instance.zone.clone(),
        region: instance.region.clone(),
        service: instance.service.clone(),
        address: instance.address,
        ops_address: instance.ops_address,
        heartbeat: 0,
        leaving: false,
    };
    member::Listed {
        member,
        leaving: instance.state == instances::State::Leaving,
    }
}

/// Converts a member to a row of a digest.
pub fn to_wire(member: &member::Member) -> wire::Member {
    let role = match member.role {
        member::Role::Entry => wire::Role::Entry,
        member::Role::Sidecar => wire::Role::Sidecar,
    };
    wire::Member {
        process: Some(wire::Process {
            id: member.id.clone(),
            incarnation: member.incarnation,
            zone: member.zone.clone(),
            region: member.region.clone(),
            address: member.address.to_string(),
            role: role.into(),
        }),
        heartbeat: member.heartbeat,
        leaving: member.leaving,
        service: member.service.clone(),
        ops_address: member
            .ops_address
            .map(|addr| addr.to_string())
            .unwrap_or_default(),
    }
}

/// Converts a row of a digest. Returns `None` if it is malformed.
pub fn from_wire(row: &wire::Member) -> Option<member::Member> {
    let process = row.process.as_ref()?;
    let names = [&process.id, &process.zone, &process.region, &row.service];
    let is_valid = !process.id.is_empty() && names.iter().all(|text| text.len() <= MAX_NAME_BYTES);
    let role = match process.role() {
        wire::Role::Entry => member::Role::Entry,
        wire::Role::Sidecar => member::Role::Sidecar,
        wire::Role::Unspecified => return None,
    };
    is_valid.then_some(member::Member {
        id: process.id.clone(),
        incarnation: process.incarnation,
        role,
        zone: process.zone.clone(),
        region: process.region.clone(),
        service: row.service.clone(),
        address: process.address.parse().ok()?,
        ops_address: row.ops_address.parse().ok(),
        heartbeat: row.heartbeat,
        leaving: row.leaving,
    })
}
