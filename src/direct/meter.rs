//! Counters and latency histograms, served as text on the metrics address.

use std::{cell, collections, fmt::Write as _, time};

/// Upper bounds of the histograms' buckets in milliseconds: powers of about two around the usual
/// objectives of 100 ms to 1.5 s.
const BOUNDS: [u64; 12] = [
    5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800,
];

/// Most label values of one counter; more are counted as `other`.
const VALUES: usize = 64;

#[derive(Clone, Copy, Debug, Default)]
struct Histogram {
    buckets: [u64; BOUNDS.len() + 1],
    sum_ms: u64,
}

/// The process's figures.
#[derive(Debug, Default)]
pub struct Meter {
    counters: cell::RefCell<collections::BTreeMap<(&'static str, String), u64>>,
    gauges: cell::RefCell<collections::BTreeMap<&'static str, u64>>,
    times: cell::RefCell<collections::BTreeMap<&'static str, Histogram>>,
}

impl Meter {
    /// Counts one event of this name and label value.
    pub fn count(&self, name: &'static str, value: &str) {
        let mut counters = self.counters.borrow_mut();
        let full = counters.len() >= VALUES * 8;
        let value = if full { "other" } else { value };
        *counters.entry((name, value.to_owned())).or_default() += 1;
    }

    /// Sets a gauge.
    pub fn set(&self, name: &'static str, value: u64) {
        self.gauges.borrow_mut().insert(name, value);
    }

    /// Takes in a time.
    pub fn time(&self, name: &'static str, took: time::Duration) {
        let ms = took.as_millis() as u64;
        let mut times = self.times.borrow_mut();
        let histogram = times.entry(name).or_default();
        let bucket = BOUNDS.partition_point(|bound| *bound < ms);
        histogram.buckets[bucket] += 1;
        histogram.sum_ms += ms;
    }

    /// All figures in the Prometheus text format.
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
        for (name, histogram) in &*self.times.borrow() {
            let mut below = 0;
            for (at, n) in histogram.buckets.iter().enumerate() {
                below += n;
                let bound = BOUNDS.get(at).map_or("+Inf".to_owned(), u64::to_string);
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
    // Writing to a string cannot fail.
    let _always = writeln!(out, "{key} {n}");
}
