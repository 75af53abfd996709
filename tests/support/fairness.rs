//! What customers of a simulated fleet asked for and got, and who got less than its share.

use std::ops;

/// Span over which customers are compared, in seconds.
const SPAN_S: usize = 6;

/// Tokens of one customer in each second of a simulation of `S` seconds.
#[derive(Clone)]
pub struct Account<const S: usize> {
    pub requested: [f64; S],
    pub received: [f64; S],
    /// True for each second in which a request was refused or its first event came after its
    /// objective.
    pub waited: [bool; S],
    /// Second of arrival and tokens of each request.
    pub sizes: Vec<(usize, f64)>,
}

impl<const S: usize> Default for Account<S> {
    fn default() -> Self {
        Self {
            requested: [0.0; S],
            received: [0.0; S],
            waited: [false; S],
            sizes: Vec::new(),
        }
    }
}

impl<const S: usize> Account<S> {
    pub fn record_request(&mut self, second: usize, tokens: f64) {
        self.requested[second] += tokens;
        self.sizes.push((second, tokens));
    }

    fn received_in(&self, span: &ops::Range<usize>) -> f64 {
        self.received[span.clone()].iter().sum()
    }
}

/// Returns the starved customers of the first seconds: they had a request refused or late in each
/// of six seconds, and got less than half of the tokens that they requested or that the most served
/// customer got, whichever is less in each second, minus their three largest requests.
pub fn starved<const S: usize>(accounts: &[Account<S>], seconds: usize) -> Vec<String> {
    let mut starved = Vec::new();
    for from in 0..=seconds - SPAN_S {
        let span = from..from + SPAN_S;
        let by_received = |a: &&Account<S>, b: &&Account<S>| {
            let (a, b) = (a.received_in(&span), b.received_in(&span));
            a.total_cmp(&b)
        };
        let most_served = accounts.iter().max_by(by_received).expect("customers");
        for (customer, account) in accounts.iter().enumerate() {
            if !span.clone().all(|s| account.waited[s]) {
                continue;
            }
            let sizes = account.sizes.iter().filter(|(s, _)| span.contains(s));
            let mut sizes: Vec<f64> = sizes.map(|(_, tokens)| *tokens).collect();
            sizes.sort_unstable_by(|a, b| b.total_cmp(a));
            let owed = span
                .clone()
                .map(|s| account.requested[s].min(most_served.received[s]));
            let owed = owed.sum::<f64>() / 2.0 - sizes.iter().take(3).sum::<f64>();
            if account.received_in(&span) < owed {
                starved.push(format!(
                    "customer {customer} from {from} s: {:.0} of {owed:.0}; most served {:.0}",
                    account.received_in(&span),
                    most_served.received_in(&span)
                ));
            }
        }
    }
    starved
}
