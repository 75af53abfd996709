//! Places requests with an idempotency key: their only ticket goes to the home of the key, the
//! sidecar that decides whether a call with the key may run.

use std::time;

use crate::control::dispatch::Dispatch;
use crate::decide::home;
use crate::{code, filter, key};

/// Maximum time a request waits for the home of its key. Long enough for a handover of keys and for
/// the platform's list to show a change; after that the caller gets a Retry-After.
const HOME_WAIT_LIMIT: time::Duration = time::Duration::from_secs(8);

/// Retry-After for callers when the home of their key could not be reached.
const HOME_RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

impl Dispatch {
    /// Places the ticket, or leaves the request for the next tick if the home cannot be reached.
    pub(super) fn place_keyed(&mut self, now: time::Duration, request: key::Request) {
        let state = &self.requests[request];
        if now >= state.arrived_at + HOME_WAIT_LIMIT {
            let refusal = filter::Refusal {
                code: code::Code::KeyHomeUnreachable,
                detail: String::new(),
                retry_after: Some(HOME_RETRY_AFTER),
            };
            self.refuse(request, refusal);
            return;
        }
        match self.home(now, request) {
            Some(home) => self.send_offer(now, request, home),
            None => self.unplaced.push_back(request),
        }
    }

    /// Returns whether a retry may succeed because the home of the key is just changing.
    pub(super) fn home_may_change(
        &self,
        now: time::Duration,
        request: key::Request,
        code: code::Code,
    ) -> bool {
        let state = &self.requests[request];
        let changes_hands = matches!(code, code::Code::KeyHomeUnreachable | code::Code::Leaving);
        changes_hands && !state.request.key.is_empty() && now < state.arrived_at + HOME_WAIT_LIMIT
    }

    /// Returns the home of the request's key, if it can be reached. A home whose link is lost is
    /// not replaced by the next sidecar, because it may still run a call with the key.
    fn home(&self, now: time::Duration, request: key::Request) -> Option<key::Sidecar> {
        let state = &self.requests[request];
        let members = self.sidecars.values().filter(|info| {
            info.service == state.request.service
                && info.is_listed
                && info.leave_status.accepts_tickets(now)
        });
        let ids = members.map(|info| info.id.as_str());
        let home = *home::rank(ids, &state.request.customer, &state.request.key).first()?;
        let key = *self.by_id.get(home)?;
        self.sidecars[key]
            .accepts_tickets(now, &state.request.service, &state.request.model)
            .then_some(key)
    }
}
