//! Counters, gauges and latency histograms, served as text under `/metrics`.

use std::{cell, collections, fmt::Write as _, rc, time};

/// Upper bounds of the histogram buckets in milliseconds: steps of about a factor of two around the
/// usual objectives of 100 ms to 1.5 s.
const BUCKET_BOUNDS_MS: [u64; 12] = [
    5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800,
];

/// Label values per counter. All counters together have at most eight times as many; further values
/// are counted as `other`.
const VALUES_PER_COUNTER: usize = 64;

#[derive(Clone, Copy, Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKET_BOUNDS_MS.len() + 1],
    sum_ms: u64,
}

type ServerValues = Vec<(rc::Rc<str>, u64)>;

/// Metrics of the process.
#[derive(Debug, Default)]
pub struct Meter {
    counters: cell::RefCell<collections::BTreeMap<(&'static str, String), u64>>,
    gauges: cell::RefCell<collections::BTreeMap<&'static str, u64>>,
    by_server: cell::RefCell<collections::BTreeMap<&'static str, ServerValues>>,
    times: cell::RefCell<collections::BTreeMap<&'static str, Histogram>>,
}

impl Meter {
    /// Increments the counter with this name and label value.
    pub fn count(&self, name: &'static str, value: &str) {
        let mut counters = self.counters.borrow_mut();
        let full = counters.len() >= VALUES_PER_COUNTER * 8;
        let value = if full { "other" } else { value };
        *counters.entry((name, value.to_owned())).or_default() += 1;
    }

    /// Sets a gauge.
    pub fn set(&self, name: &'static str, value: u64) {
        self.gauges.borrow_mut().insert(name, value);
    }

    /// Replaces a gauge's values by backend server; the caller bounds their number.
    pub fn set_by_server(&self, name: &'static str, values: Vec<(rc::Rc<str>, u64)>) {
        self.by_server.borrow_mut().insert(name, values);
    }

    /// Adds a time to a histogram.
    pub fn time(&self, name: &'static str, took: time::Duration) {
        let ms = took.as_millis() as u64;
        let mut times = self.times.borrow_mut();
        let histogram = times.entry(name).or_default();
        let bucket = BUCKET_BOUNDS_MS.partition_point(|bound| *bound < ms);
        histogram.buckets[bucket] += 1;
        histogram.sum_ms += ms;
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut out = String::new();
        for ((name, value), n) in &*self.counters.borrow() {
            line(
                &mut out,
                &format!("chivebend_{name}_total{{kind=\"{value}\"}}"),
                *n,
            );
        }
        for (name, n) in &*self.gauges.borrow() {
            line(&mut out, &format!("chivebend_{name}"), *n);
        }
        for (name, values) in &*self.by_server.borrow() {
            for (server, n) in values {
                let key = format!("chivebend_{name}{{backend=\"{server}\"}}");
                line(&mut out, &key, *n);
            }
        }
        for (name, histogram) in &*self.times.borrow() {
            let mut below = 0;
            for (at, n) in histogram.buckets.iter().enumerate() {
                below += n;
                let bound = BUCKET_BOUNDS_MS
                    .get(at)
                    .map_or("+Inf".to_owned(), u64::to_string);
                let key = format!("chivebend_{name}_ms_bucket{{le=\"{bound}\"}}");
                line(&mut out, &key, below);
            }
            line(
                &mut out,
                &format!("chivebend_{name}_ms_sum"),
                histogram.sum_ms,
            );
            line(&mut out, &format!("chivebend_{name}_ms_count"), below);
        }
        out
    }
}

fn line(out: &mut String, key: &str, n: u64) {
    // Writing to a string can't fail.
    let _always = writeln!(out, "{key} {n}");
}
