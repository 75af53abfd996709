//! Prometheus metrics: the table of their names, and the functions that update them.
//!
//! Every series has the label `instance`, because `chivebend demo` runs several instances in one
//! process. The other labels have few distinct values: kinds of frame, result codes, and customers
//! that were among the [`TOP_CUSTOMERS`] by recent service. All other customers are summed in a
//! series labelled `rest`.

use std::collections;
use std::sync;
use std::time;

use metrics::SharedString;
use metrics_exporter_prometheus as prometheus;

use crate::code;
use crate::report;

/// Number of customers with the most recent service that get a series of their own at each update,
/// of the up to 7,400 customers of a fleet.
pub const TOP_CUSTOMERS: usize = 32;

/// Label value of the series that sums all customers without a series of their own.
const REST_LABEL: &str = "rest";

/// Maximum number of customers that get a series of their own during the lifetime of a process. The
/// recorder never removes a series, so this limits a scrape to 400 lines of customers. A restart
/// resets the set.
const MAX_CUSTOMER_SERIES: usize = 128;

/// Histogram buckets for times, in seconds. They are denser around the latency objectives, 1.3 s to
/// the first token and 65 ms between tokens, and a factor of two to three apart elsewhere.
const TIME_BUCKETS_SECONDS: &[f64] = &[
    0.001, 0.003, 0.01, 0.03, 0.065, 0.1, 0.3, 0.65, 1.3, 3.0, 10.0, 30.0, 100.0,
];

/// A row of the table of metrics.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Name of the series.
    pub name: &'static str,
    /// `counter`, `gauge` or `histogram`.
    pub kind: &'static str,
    /// Labels besides `instance`.
    pub labels: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Help text.
    pub text: &'static str,
}

macro_rules! rows {
    ($($constant:ident $kind:literal $name:literal $labels:literal $unit:literal $text:literal;)*) => {
        $(const $constant: &str = $name;)*

        /// All metrics.
        pub const METRICS: &[Row] = &[
            $(Row { name: $name, kind: $kind, labels: $labels, unit: $unit, text: $text },)*
        ];
    };
}

rows! {
    RESPONSES "counter" "chivebend_answers_total" "code" "requests" "Requests that ended, by result code; 0 is a whole answer.";
    WAIT "histogram" "chivebend_wait_seconds" "" "seconds" "Time from a request's arrival at the entry to its start.";
    FIRST_TOKEN "histogram" "chivebend_first_token_seconds" "" "seconds" "Time from a request's start to the first byte of its answer.";
    BETWEEN_TOKENS "histogram" "chivebend_between_tokens_seconds" "" "seconds" "Time between two pieces of a streamed answer.";
    RETRIES "counter" "chivebend_retries_total" "" "attempts" "Attempts after a request's first.";
    CONTROL_BYTES "counter" "chivebend_control_bytes_total" "direction, kind" "bytes" "Bytes the fleet spends on itself, by kind of message.";
    CONTROL_MESSAGES "counter" "chivebend_control_messages_total" "direction, kind" "messages" "Messages the fleet spends on itself, by kind.";
    FRAMES_DROPPED "counter" "chivebend_frames_dropped_total" "reason" "frames" "Frames that were stale, crossed, duplicate or malformed.";
    CUSTOMER_RECENT "gauge" "chivebend_customer_recent_service" "customer" "cost units" "Service in the last 10 s, of the customers with most of it.";
    CUSTOMER_WAITING "gauge" "chivebend_customer_waiting" "customer" "requests" "Requests that wait.";
    CUSTOMER_OLDEST_WAIT "gauge" "chivebend_customer_oldest_wait_seconds" "customer" "seconds" "Age of the request that waits longest.";
    BACKLOGGED_GAP "gauge" "chivebend_backlogged_gap" "" "cost units" "Gap in recent service for each unit of weight between backlogged customers, as this process sees it.";
    RUNNING "gauge" "chivebend_running" "" "requests" "Requests in progress.";
    WINDOW "gauge" "chivebend_window" "" "requests" "Requests a sidecar runs at once.";
    UTILISATION "gauge" "chivebend_utilisation" "" "fraction" "Requests in progress for each place in the window.";
    REVISION "gauge" "chivebend_catalogue_revision" "" "offset" "Catalogue revision in force.";
}

/// Handle that renders the metrics of this process.
pub type Recorder = prometheus::PrometheusHandle;

static RECORDER: sync::OnceLock<Recorder> = sync::OnceLock::new();

/// Installs the process-wide recorder on the first call and returns its handle.
pub fn install() -> Recorder {
    RECORDER.get_or_init(install_recorder).clone()
}

fn install_recorder() -> Recorder {
    let recorder = prometheus::PrometheusBuilder::new()
        .set_buckets(TIME_BUCKETS_SECONDS)
        .expect("the list of buckets is not empty")
        .build_recorder();
    let handle = recorder.handle();
    // Fails only if the embedding program installed a recorder, which then stays in use.
    drop(metrics::set_global_recorder(recorder));
    for row in METRICS {
        match row.kind {
            "counter" => metrics::describe_counter!(row.name, row.text),
            "gauge" => metrics::describe_gauge!(row.name, row.text),
            _ => metrics::describe_histogram!(row.name, row.text),
        }
    }
    handle
}

/// Direction of a message, as seen by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Direction {
    /// Received.
    #[display("in")]
    In,
    /// Sent.
    #[display("out")]
    Out,
}

/// Records the metrics of one instance. Clones are cheap and share their state.
#[derive(Clone, Debug)]
pub struct Meter {
    instance: SharedString,
    customers_with_series: sync::Arc<sync::Mutex<collections::HashSet<String>>>,
}

impl Meter {
    /// Creates a meter for the instance and installs the recorder if necessary.
    pub fn open(instance: &str) -> Self {
        install();
        Self {
            instance: SharedString::from(sync::Arc::<str>::from(instance)),
            customers_with_series: sync::Arc::default(),
        }
    }

    fn instance(&self) -> SharedString {
        self.instance.clone()
    }

    /// Counts a finished request, by result code; `None` is a complete response.
    pub fn record_response(&self, code: Option<code::Code>) {
        let number = code.map_or(0, code::Code::number).to_string();
        metrics::counter!(RESPONSES, "instance" => self.instance(), "code" => number).increment(1);
    }

    /// Records how long a request waited before it started.
    pub fn record_wait(&self, wait: time::Duration) {
        metrics::histogram!(WAIT, "instance" => self.instance()).record(wait);
    }

    /// Records the time from the start of a request to the first byte of its response.
    pub fn record_first_token(&self, time: time::Duration) {
        metrics::histogram!(FIRST_TOKEN, "instance" => self.instance()).record(time);
    }

    /// Records the time between two chunks of a streamed response.
    pub fn record_token_interval(&self, time: time::Duration) {
        metrics::histogram!(BETWEEN_TOKENS, "instance" => self.instance()).record(time);
    }

    /// Counts a retry of a request.
    pub fn record_retry(&self) {
        metrics::counter!(RETRIES, "instance" => self.instance()).increment(1);
    }

    /// Counts a control message between processes of the fleet. `kind` is the name of the frame's
    /// type and never a value received from outside, so that the number of series stays bounded.
    pub fn record_control_message(&self, direction: Direction, kind: &'static str, bytes: u64) {
        let direction_label = match direction {
            Direction::In => "in",
            Direction::Out => "out",
        };
        let labels = [
            metrics::Label::new("instance", self.instance()),
            metrics::Label::new("direction", direction_label),
            metrics::Label::new("kind", kind),
        ];
        metrics::counter!(CONTROL_BYTES, labels.iter()).increment(bytes);
        metrics::counter!(CONTROL_MESSAGES, labels.iter()).increment(1);
    }

    /// Counts a frame as a control message if `control` gives its kind and size in bytes.
    pub fn record_frame(&self, direction: Direction, control: Option<(&'static str, usize)>) {
        if let Some((kind, bytes)) = control {
            self.record_control_message(direction, kind, bytes as u64);
        }
    }

    /// Counts a dropped frame. `reason` is never a value received from outside, so that the number
    /// of series stays bounded.
    pub fn record_dropped_frame(&self, reason: &'static str) {
        metrics::counter!(FRAMES_DROPPED, "instance" => self.instance(), "reason" => reason)
            .increment(1);
    }

    /// Updates the gauges of the process's state. Called once a second.
    pub fn set_state(&self, running: u64, window: Option<u64>, revision: Option<u64>) {
        metrics::gauge!(RUNNING, "instance" => self.instance()).set(running as f64);
        if let Some(window) = window {
            metrics::gauge!(WINDOW, "instance" => self.instance()).set(window as f64);
            let utilisation = running as f64 / window.max(1) as f64;
            metrics::gauge!(UTILISATION, "instance" => self.instance()).set(utilisation);
        }
        if let Some(revision) = revision {
            metrics::gauge!(REVISION, "instance" => self.instance()).set(revision as f64);
        }
    }

    /// Updates the gauges of the customers. Called once a second.
    pub fn set_customers(&self, rows: &[report::Customer]) {
        metrics::gauge!(BACKLOGGED_GAP, "instance" => self.instance())
            .set(report::backlogged_gap(rows));
        let mut by_recent_service: Vec<_> = rows.iter().collect();
        by_recent_service.sort_by(|a, b| b.recent.total_cmp(&a.recent));
        let mut customers_with_series = self
            .customers_with_series
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        for row in by_recent_service.iter().take(TOP_CUSTOMERS) {
            if customers_with_series.len() < MAX_CUSTOMER_SERIES
                && !customers_with_series.contains(&row.customer)
            {
                customers_with_series.insert(row.customer.clone());
            }
        }
        let (with_series, rest): (Vec<_>, Vec<_>) = by_recent_service
            .into_iter()
            .partition(|row| customers_with_series.contains(&row.customer));
        for row in with_series {
            self.set_customer_sum(row.customer.clone(), &[row]);
        }
        self.set_customer_sum(REST_LABEL.into(), &rest);
    }

    fn set_customer_sum(&self, label: String, rows: &[&report::Customer]) {
        let labels = [
            metrics::Label::new("instance", self.instance()),
            metrics::Label::new("customer", label),
        ];
        let recent = rows.iter().fold(0.0, |sum, row| sum + row.recent);
        let waiting: u64 = rows.iter().map(|row| row.waiting).sum();
        let oldest = rows.iter().map(|row| row.oldest_wait_ms).max().unwrap_or(0);
        metrics::gauge!(CUSTOMER_RECENT, labels.iter()).set(recent);
        metrics::gauge!(CUSTOMER_WAITING, labels.iter()).set(waiting as f64);
        metrics::gauge!(CUSTOMER_OLDEST_WAIT, labels.iter()).set(oldest as f64 / 1000.0);
    }
}
