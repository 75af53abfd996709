//! Learned speeds of engines and the weights of their homes.

use std::time;

use smallvec::SmallVec;

use super::{Fleet, Load, Server};
use crate::decide::capacity::speed;
use crate::key;

impl Fleet {
    pub(super) fn speed_report(&self, now: time::Duration, server: &Server) -> speed::Report {
        let report = server
            .speed
            .report(now)
            .filter(|_| self.features.learned_capacity);
        report.unwrap_or_default()
    }

    /// Applies the speed of a backend server that a peer reports with its load.
    pub fn on_speed_report(&mut self, now: time::Duration, at: key::Sidecar, load: Load) {
        let Some(server) = self.servers.get_mut(at) else {
            return;
        };
        if !self.features.learned_capacity {
            return;
        }
        let report = speed::Report {
            tokens_per_ms: load.tokens_per_ms,
            step: load.weight_step,
        };
        let before = server.speed.weight();
        server.speed.on_report(now, report);
        let after = server.speed.weight();
        if (after - before).abs() > f64::EPSILON {
            self.homes.set_weight(server.service, at, after);
        }
    }

    /// Adapts the weights of the engines that this entry decides about to their speeds; returns
    /// what has changed. Call it a few times a second.
    pub fn update_weights(
        &mut self,
        now: time::Duration,
    ) -> SmallVec<[(key::Sidecar, speed::Change); 2]> {
        let mut changes = SmallVec::new();
        if !self.features.learned_capacity {
            return changes;
        }
        let services: SmallVec<[u32; 4]> = self.engine_services();
        for service in services {
            let ready = self.servers.values();
            let ready = ready.filter(|s| s.service == service && s.is_ready());
            let mut speeds: Vec<f64> = ready.filter_map(|s| s.speed.tokens_per_ms()).collect();
            let Some(median) = speed::median(&mut speeds) else {
                continue;
            };
            for (at, server) in self
                .servers
                .iter_mut()
                .filter(|(_, s)| s.service == service)
            {
                if let Some(change) = server.speed.update(now, median) {
                    self.homes.set_weight(service, at, change.after);
                    changes.push((at, change));
                }
            }
        }
        changes
    }

    pub(super) fn engine_services(&self) -> SmallVec<[u32; 4]> {
        let mut services = SmallVec::new();
        for server in self.servers.values().filter(|s| s.is_engine) {
            if !services.contains(&server.service) {
                services.push(server.service);
            }
        }
        services
    }
}
