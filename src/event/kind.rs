//! Table of events with their stable names, log levels and descriptions.

/// A row of the table of events.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Stable name, used in logs, the timeline and `docs/EVENTS.md`.
    pub name: &'static str,
    /// Log level.
    pub level: log::Level,
    /// Description.
    pub text: &'static str,
}

macro_rules! kinds {
    ($($variant:ident $name:literal $level:ident $text:literal;)*) => {
        /// Kind of an event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Kind {
            $(#[doc = $text] $variant,)*
        }

        /// All kinds of events, in the order of [`Kind`]'s variants.
        pub const KINDS: &[(Kind, Row)] = &[
            $((Kind::$variant, Row {
                name: $name,
                level: log::Level::$level,
                text: $text,
            }),)*
        ];
    };
}

kinds! {
    ProcessStarted "process_started" Info "A process listens on its ports.";
    ProcessReady "process_ready" Info "A process takes work.";
    ProcessUnready "process_unready" Warn "A process can take no work for now.";
    ProcessLeaving "process_leaving" Info "A process began its shutdown.";
    ProcessStopped "process_stopped" Info "A process ended its shutdown.";
    RequestReceived "request_received" Info "An entry accepted a caller's request.";
    RequestRefused "request_refused" Warn "An entry refused a request; the code says why.";
    RequestOffered "request_offered" Debug "An entry placed tickets for a request at sidecars.";
    RequestClaimed "request_claimed" Debug "A sidecar claimed a ticket.";
    RequestHandedOver "request_handed_over" Info "An entry handed a request to the sidecar that claimed it.";
    RequestResumed "request_resumed" Warn "An entry asked for the rest of an answer after a lost or silent connection.";
    RequestRetried "request_retried" Warn "An entry tries a request at another backend server.";
    RequestFinished "request_finished" Info "The caller has the whole answer.";
    RequestFailed "request_failed" Warn "A request ended without a whole answer; the code says why.";
    RequestCancelled "request_cancelled" Info "The caller left before its answer ended.";
    TicketQueued "ticket_queued" Debug "A ticket waits at a sidecar.";
    TicketVoided "ticket_voided" Debug "A ticket or attempt can no longer start at this sidecar.";
    RunStarted "run_started" Info "A sidecar started a request at its backend server.";
    RunFinished "run_finished" Info "The backend server ended a request's answer.";
    RunFailed "run_failed" Warn "A request failed at the backend server.";
    RunCancelled "run_cancelled" Info "A sidecar cancelled a request at its backend server.";
    KeyRemembered "key_remembered" Debug "A sidecar remembers an idempotency key before it starts the request.";
    KeyReplayed "key_replayed" Info "A sidecar answered an idempotency key from its kept answers.";
    KeyConflict "key_conflict" Warn "An idempotency key came again while in progress or with another request.";
    KeysHandedOver "keys_handed_over" Info "A leaving sidecar gave the keys it remembered to another.";
    LinkOpened "link_opened" Info "A connection between an entry and a sidecar opened.";
    LinkClosed "link_closed" Warn "A connection between an entry and a sidecar closed.";
    LinkSilent "link_silent" Warn "A connection made no progress in time and was dropped.";
    FrameDropped "frame_dropped" Warn "A stale, crossed, duplicate or malformed frame was dropped.";
    PeerRefused "peer_refused" Warn "Another process did not prove that it belongs to the fleet.";
    MemberJoined "member_joined" Info "A process of the fleet was first seen, or seen again.";
    MemberLeaving "member_leaving" Info "A process of the fleet is leaving and gets no new work.";
    MemberSuspected "member_suspected" Warn "A process of the fleet missed heartbeats.";
    MemberLost "member_lost" Warn "A process of the fleet is taken for dead.";
    InstancesUnavailable "instances_unavailable" Warn "The platform's instance list does not answer; the last one stays in use.";
    InstancesRecovered "instances_recovered" Info "The platform's instance list answers again.";
    ZoneEvacuated "zone_evacuated" Info "The catalogue evacuates a sidecar's availability zone, or returns it.";
    BackendEjected "backend_ejected" Warn "A backend server gets no work for a while because it is slow or fails.";
    BackendReadmitted "backend_readmitted" Info "An ejected backend server gets work again.";
    WindowChanged "window_changed" Debug "A sidecar changed how many requests it runs at once.";
    CatalogueAccepted "catalogue_accepted" Info "A change of the catalogue is in force in this process.";
    CatalogueRefused "catalogue_refused" Warn "A change on the log was refused by the accept rule.";
    CatalogueSnapshot "catalogue_snapshot" Info "A snapshot of the accepted catalogue was put on the log.";
    LogUnavailable "log_unavailable" Warn "The log service does not answer; the accepted catalogue stays in force.";
    LogRecovered "log_recovered" Info "The log service answers again.";
    LogGap "log_gap" Warn "The log no longer keeps records this process has not read.";
    OrderGiven "order_given" Info "A sidecar gave an order to its engine.";
    OrderRefused "order_refused" Warn "An engine refused an order.";
    DrainRequested "drain_requested" Info "An operator asked the process to leave.";
    OperatorRefused "operator_refused" Warn "A call on the operators' port was refused.";
    InternalFault "internal_fault" Error "The process met a fault of its own.";
}

impl Kind {
    /// Returns the kind's row in the table.
    pub fn row(self) -> &'static Row {
        // The macro declares the variants in the order of the table's rows.
        &KINDS[self as usize].1
    }
}
