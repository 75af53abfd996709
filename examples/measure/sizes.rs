//! Sizes of control messages, measured on encoded messages.

use chivebend::wire;
use prost::Message as _;

/// Overhead in bytes of a message on an open stream: HTTP/2 frame header (9) and gRPC message
/// prefix (5).
const STREAM_OVERHEAD_BYTES: usize = 14;
/// Additional overhead in bytes of a unary call in one direction: the header block with indexed
/// fields and its frame header, and half of the same for the trailers of the response. An estimate;
/// TCP and IP are not counted.
const UNARY_OVERHEAD_BYTES: usize = 40;

/// Size of each message in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// A report or its reply, without accounts.
    pub exchange: usize,
    /// One account in a report.
    pub account: usize,
    /// A totals frame, without totals.
    pub frame: usize,
    /// One total in a totals frame.
    pub total: usize,
    /// A sidecar's heartbeat.
    pub beat: usize,
    /// An idle sidecar's request for work.
    pub want: usize,
    /// A membership digest without members.
    pub digest: usize,
    /// One member in a membership digest.
    pub member: usize,
}

/// Encodes one message of each kind, with names as long as in production.
pub fn measure() -> Sizes {
    let customer = "trinacria-sala-a".to_owned();
    let account = wire::Account {
        customer: customer.clone(),
        charged: 1e9,
        total: 1e9,
        charged_in_total: 1e9,
    };
    let process = wire::Process {
        id: "entry-sala-a-17".into(),
        incarnation: 1 << 60,
        zone: "sala-a".into(),
        region: "palermo".into(),
        address: "10.11.12.13:20000".into(),
        role: 1,
    };
    let report = |accounts| wire::Report {
        sender: Some(process.clone()),
        accounts,
    };
    let digest = |members| wire::Digest {
        sender: Some(process.clone()),
        catalogue_revision: 1_000_000,
        members,
        stamp: 1 << 60,
        ..wire::Digest::default()
    };
    let member = wire::Member {
        process: Some(process.clone()),
        heartbeat: 1_000_000,
        leaving: false,
        service: "modello-sala".into(),
        ops_address: "10.11.12.13:20001".into(),
    };
    let alone = report(vec![]).encoded_len();
    let empty = digest(vec![]).encoded_len();
    let beat = wire::SidecarBeat {
        sequence: 1_000_000,
        window: 32,
        running: 32,
        waiting: 1_000,
        leaving: false,
        catalogue_revision: 1_000_000,
        virtual_time: 1e9,
        first_token_ms: 1_000,
        between_tokens_us: 60_000,
        stamp: 1 << 60,
    };
    let total = wire::Total {
        customer,
        service: 1e9,
    };
    let want = wire::Want {
        slots: 8,
        models: vec![],
    };
    Sizes {
        exchange: UNARY_OVERHEAD_BYTES + STREAM_OVERHEAD_BYTES + alone,
        digest: UNARY_OVERHEAD_BYTES + STREAM_OVERHEAD_BYTES + empty,
        account: report(vec![account]).encoded_len() - alone,
        frame: STREAM_OVERHEAD_BYTES + 2,
        total: wire::Totals {
            totals: vec![total],
        }
        .encoded_len(),
        beat: STREAM_OVERHEAD_BYTES + 2 + beat.encoded_len(),
        want: STREAM_OVERHEAD_BYTES + 2 + want.encoded_len(),
        member: digest(vec![member]).encoded_len() - empty,
    }
}
