//! Links to the sidecars, kept up to date with the membership and the platform's instance list.

use std::{collections, net, sync};

use crossbeam_channel as channel;

use crate::client::instances;
use crate::control::{dispatch, link, member};
use crate::decide::member::{Member, Role, Status};
use crate::{process, settings, wire};

/// Keeps a link to each sidecar and informs the core of sidecars and peers.
#[derive(Debug)]
pub struct Tracker {
    own_id: String,
    members: member::Handle,
    links: sync::Mutex<link::Links>,
    // Addresses from the platform's list; they take precedence over what a process says itself.
    addresses: sync::Mutex<collections::HashMap<String, net::SocketAddr>>,
    tx: channel::Sender<dispatch::Message>,
    runtime: tokio::runtime::Handle,
}

impl Tracker {
    /// Creates a tracker without any sidecar.
    pub fn new(
        process: wire::Process,
        secret: settings::Secret,
        members: member::Handle,
        tx: channel::Sender<dispatch::Message>,
        runtime: tokio::runtime::Handle,
    ) -> Self {
        Self {
            own_id: process.id.clone(),
            members,
            links: sync::Mutex::new(link::Links::new(process, secret, tx.clone())),
            addresses: sync::Mutex::default(),
            tx,
            runtime,
        }
    }

    fn on_list(&self, list: &instances::List) {
        let instances = list.instances.iter();
        *self
            .addresses
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner) = instances
            .map(|instance| (instance.id.clone(), instance.address))
            .collect();
        self.members.observe_list(list);
        drop(
            self.tx
                .send(dispatch::Message::Peers(peers(list, &self.own_id))),
        );
        self.refresh();
    }

    fn refresh(&self) {
        // The lock is held to the end, so that updates from two threads reach the core in order.
        let mut links = self
            .links
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let members = self.members.all();
        let sidecars: Vec<_> = members
            .iter()
            .filter(|(member, _)| member.role == Role::Sidecar)
            .collect();
        let addresses = self
            .addresses
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let target = |member: &Member| link::Target {
            id: member.id.clone(),
            address: *addresses.get(&member.id).unwrap_or(&member.address),
        };
        let targets: Vec<_> = sidecars.iter().map(|(member, _)| target(member)).collect();
        let _entered = self.runtime.enter();
        links.set_targets(&targets);
        let infos = sidecars
            .iter()
            .map(|(member, status)| sidecar_info(member, *status));
        drop(self.tx.send(dispatch::Message::Sidecars(infos.collect())));
    }
}

/// Subscribes to membership changes and returns the handler of new instance lists.
pub fn track(tracker: Tracker) -> impl FnMut(process::InstanceListRead) + Send + 'static {
    let tracker = sync::Arc::new(tracker);
    let weak = sync::Arc::downgrade(&tracker);
    tracker.members.subscribe(move || {
        if let Some(tracker) = weak.upgrade() {
            tracker.refresh();
        }
    });
    move |read| {
        if read.changed {
            tracker.on_list(&read.list);
        }
    }
}

/// Returns the information that the core needs about a sidecar, and whether it is leaving.
///
/// A suspected sidecar is kept: its link shows the entry whether it responds.
fn sidecar_info(member: &Member, status: Status) -> (dispatch::SidecarInfo, bool) {
    let info = dispatch::SidecarInfo {
        id: member.id.clone(),
        zone: member.zone.clone(),
        service: member.service.clone(),
    };
    (info, status == Status::Leaving)
}

/// Returns the other entries on the list.
fn peers(list: &instances::List, own_id: &str) -> Vec<dispatch::Peer> {
    list.instances
        .iter()
        .filter(|instance| instance.role == instances::Role::Entry && instance.id != own_id)
        .map(|instance| dispatch::Peer {
            id: instance.id.clone(),
            address: instance.address,
            incarnation: instance.incarnation,
        })
        .collect()
}
