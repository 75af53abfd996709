//! Numbered result codes.
//!
//! `TABLE` is the only source of the codes that callers and operators see and of `docs/CODES.md`.

use std::fmt;

/// Execution of a request by a backend server, as far as the system can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum Ran {
    /// The request did not start and will not start.
    #[display("no")]
    No,
    /// The request started and its outcome is known.
    #[display("yes")]
    Yes,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// A row of the table of result codes.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Number of the code.
    pub number: u16,
    /// Stable name, used in logs and metrics.
    pub name: &'static str,
    /// HTTP status of the response to the caller.
    pub status: u16,
    /// Execution of the request.
    pub ran: Ran,
    /// True if sending the same request again may succeed.
    pub retry: bool,
    /// Meaning of the code.
    pub text: &'static str,
    /// Recommended action for an operator.
    pub operator: &'static str,
}

macro_rules! codes {
    ($($variant:ident $number:literal $name:literal $status:literal $ran:ident $retry:literal
        $text:literal $operator:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $text] $variant = $number,)*
        }

        /// All result codes, sorted by number.
        pub const TABLE: &[(Code, Row)] = &[
            $((Code::$variant, Row {
                number: $number,
                name: $name,
                status: $status,
                ran: Ran::$ran,
                retry: $retry,
                text: $text,
                operator: $operator,
            }),)*
        ];
    };
}

codes! {
    BadRequest 101 "bad_request" 400 No false "The request is malformed." "Nothing; the caller corrects it.";
    Unauthorised 102 "unauthorised" 401 No false "The API key is missing or unknown." "Check the customer's key hashes in the catalogue.";
    NoSuchRoute 103 "no_such_route" 404 No false "No service in the catalogue serves this path." "Add a route, or tell the caller the right path.";
    HeadTooLarge 104 "head_too_large" 431 No false "The request's headers exceed the limit." "Raise the limit in the settings if the caller is right.";
    BodyTooLarge 105 "body_too_large" 413 No false "The request's body exceeds the limit." "Raise the limit in the settings if the caller is right.";
    SlowCaller 106 "slow_caller" 408 No true "The request did not arrive in time." "Look at the caller's network.";
    TooManyConnections 107 "too_many_connections" 503 No true "The instance has as many connections as it accepts." "Add entry instances, or raise the limit.";
    KeyReused 108 "key_reused" 422 No false "The idempotency key was used before with another request." "Nothing; the caller uses a new key for each request.";
    NoSuchModel 109 "no_such_model" 404 No false "No service in the catalogue has this model." "Add the model to a service, or tell the caller the right name.";
    BadDeadline 110 "bad_deadline" 400 No false "The deadline header is not a number of milliseconds." "Nothing; the caller corrects it.";
    NoSuchCustomer 111 "no_such_customer" 404 No false "No customer in the catalogue has this name." "Check the name with `chivebend catalogue`, or in the configuration.";
    RateLimited 201 "rate_limited" 429 No true "The customer sends more requests a second than its limit." "Raise the customer's limit if that is intended.";
    TokensLimited 202 "tokens_limited" 429 No true "The customer uses more tokens a second than its limit." "Raise the customer's limit if that is intended.";
    ConcurrencyLimited 203 "concurrency_limited" 429 No true "The customer has as many requests in progress as its limit." "Raise the customer's limit if that is intended.";
    QueueFull 204 "queue_full" 429 No true "The customer's queue is full." "See who floods with `chivebend customers`.";
    QueueBytesFull 205 "queue_bytes_full" 429 No true "The customer's waiting requests hold as many bytes as allowed." "See who floods with `chivebend customers`.";
    DeadlineUnreachable 206 "deadline_unreachable" 503 No true "The request could not meet its deadline and was refused early." "Add capacity if this lasts.";
    Shed 207 "shed" 503 No true "The fleet is overloaded and this customer is over its share." "Add capacity if this lasts.";
    DeadlinePassed 208 "deadline_passed" 504 No true "The deadline passed while the request waited." "Add capacity if this lasts.";
    EntryBusy 209 "entry_busy" 503 No true "The process has more to do than its processor allows." "Spread callers over more entries, or give this one more processor.";
    RequestTried 210 "request_tried" 503 No true "The same request is being tried alone, since backend servers ended under it." "See `chivebend held`; nothing if it is served in the end.";
    RequestHeld 211 "request_held" 501 No false "Backend servers end when they run this request; it is not run any more." "See `chivebend held` for the backend servers; correct them, or let the request go.";
    PartHeld 212 "part_held" 501 No false "Backend servers end when they run requests with a part of this prompt; none with it is run any more." "See `chivebend held` for the part; correct the backend servers, or let the part go.";
    AskedTooOften 213 "asked_too_often" 429 No true "An entry is asked where requests would go more often than it answers." "Ask again a second later.";
    MemoryFull 214 "memory_full" 503 No true "The process holds as many bytes of requests and responses as its memory allows." "See `body_bytes` and who sends large bodies in docs/OPERATIONS.md; add entries, or give them more memory.";
    NoCatalogue 301 "no_catalogue" 503 No true "This process has no accepted catalogue yet." "Check the log service, and that a catalogue was published.";
    NoBackendServer 302 "no_backend_server" 503 No true "No live backend server serves this." "Check `chivebend status`.";
    BackendRefused 303 "backend_refused" 502 No true "The backend server refused the connection." "Check the backend server.";
    RetryBudget 304 "retry_budget" 503 No true "The request did not run and the retry budget is spent." "Look for failing backend servers.";
    Leaving 305 "leaving" 503 No true "The process is shutting down." "Nothing; the caller is sent elsewhere.";
    KeyHomeUnreachable 306 "key_home_unreachable" 503 No true "The sidecar that decides about this idempotency key cannot be reached." "Check `chivebend status` for the sidecar.";
    KeyHomeLost 307 "key_home_lost" 503 Unknown true "The sidecar that decided about this idempotency key was lost; an earlier request with the key may have run." "Wait for the key retention to pass; see docs/OPERATING.md.";
    KeyInProgress 308 "key_in_progress" 409 Unknown true "An earlier request with this idempotency key is still running." "Nothing; the caller asks again.";
    CallerLeft 309 "caller_left" 499 Unknown false "The caller closed the connection before its answer." "Nothing.";
    ZoneEvacuated 310 "zone_evacuated" 503 No true "All backend servers that serve this are in evacuated zones." "Return a zone, or add backend servers in others; see docs/OPERATIONS.md.";
    VersionGone 311 "version_gone" 503 No true "No backend server is left of the software version that began the stream." "Nothing during a release; the caller starts over. See docs/OPERATIONS.md.";
    VersionUnknown 312 "version_unknown" 503 No true "It is not known which of several software versions began the stream." "See docs/OPERATIONS.md.";
    AnswerBroken 401 "answer_broken" 502 Unknown false "The answer broke off after it had begun." "Check the backend server.";
    OutcomeUnknown 402 "outcome_unknown" 502 Unknown false "The request was handed over and its outcome is not known." "Ask the backend server's owner whether it ran.";
    BackendFailed 403 "backend_failed" 502 Yes false "The backend server failed while it ran the request." "Check the backend server.";
    AnswerNotKept 404 "answer_not_kept" 410 Yes false "The request ran; its answer is no longer kept." "Raise the sidecar's answer memory if this is frequent.";
    AnswerTooLarge 405 "answer_too_large" 502 Yes false "The backend server's answer exceeds the limit." "Raise the limit in the settings if the answer is right.";
    BackendSilent 406 "backend_silent" 504 Unknown false "The backend server made no progress within the limit." "Check the backend server.";
    CatalogueInvalid 501 "catalogue_invalid" 422 No false "The catalogue has faults." "Correct the faults that `chivebend check` lists.";
    LostRace 502 "lost_race" 409 No true "Another change was accepted on the same base revision." "Rebase the change on the revision in force and publish again.";
    PublishUnknown 503 "publish_unknown" 504 Unknown true "The log did not say whether the change was appended." "Run `chivebend publish` again with the same change id.";
    LogUnavailable 504 "log_unavailable" 503 No true "The log service does not answer." "Check the log service; accepted configuration stays in force.";
    BadSettings 601 "bad_settings" 500 No false "The process's settings are invalid." "Correct the settings the message names.";
    BadSecret 602 "bad_secret" 403 No false "The other process did not prove that it belongs to the fleet." "Check the fleet secret on both sides.";
    BadFrame 603 "bad_frame" 400 No false "A frame from another process is malformed or out of bounds." "Check that both processes run compatible versions.";
    Internal 604 "internal" 500 Unknown false "The process met a fault of its own." "Report it with the time line around it.";
    Unreachable 605 "unreachable" 503 No true "A process does not answer on its operators' port." "Check the process, its machine and the network to it.";
    EntryInvalid 606 "entry_invalid" 500 No true "An entry of the list of backend servers names none." "Look who writes such entries; the others hold.";
}

impl Code {
    /// Returns the code's row in the table.
    pub fn row(self) -> &'static Row {
        // The table is sorted by number, so a binary search finds the row.
        let index = TABLE.partition_point(|(code, _)| *code < self);
        &TABLE[index].1
    }

    /// Returns the code with this number, or `None` if the number is not assigned.
    pub fn from_number(number: u32) -> Option<Self> {
        TABLE
            .iter()
            .find(|(_, row)| u32::from(row.number) == number)
            .map(|(code, _)| *code)
    }

    /// Returns the code's number.
    pub fn number(self) -> u16 {
        self.row().number
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = self.row();
        write!(f, "{} {}", row.number, row.name)
    }
}
