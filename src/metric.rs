//! Metrics: the names, and small functions that the data path calls.

use std::sync;

/// Renders the metrics of this process.
pub type Recorder = metrics_exporter_prometheus::PrometheusHandle;

static RECORDER: sync::OnceLock<Recorder> = sync::OnceLock::new();

/// Starts the recorder, once in a process.
pub fn install() -> Recorder {
    let start = || {
        let builder = metrics_exporter_prometheus::PrometheusBuilder::new();
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // Another recorder can only be there if the embedding program set one; its choice stands.
        drop(metrics::set_global_recorder(recorder));
        handle
    };
    RECORDER.get_or_init(start).clone()
}
