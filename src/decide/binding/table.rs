//! Records of the versions that began streams.

use std::{collections, time};

use super::{RETENTION, Record, Stream, Version};

/// Maximum number of records, in total and of one customer.
const MAX_RECORDS: usize = 32_768;
const MAX_CUSTOMER_RECORDS: usize = 4_096;

/// Number of customers of which the one with the most records loses one if there are too many.
const EVICTION_SAMPLE: usize = 16;

/// Records of one customer, oldest first.
#[derive(Debug, Default)]
struct Customer {
    versions: collections::HashMap<u64, (Version, time::Duration)>,
    order: collections::VecDeque<(u64, time::Duration)>,
}

impl Customer {
    // Removes the oldest record; those that were replaced since leave only their place.
    fn remove_oldest(&mut self) {
        if let Some((id, at)) = self.order.pop_front()
            && self.versions.get(&id).is_some_and(|(_, last)| *last == at)
        {
            self.versions.remove(&id);
        }
    }
}

/// Versions that began streams.
#[derive(Debug, Default)]
pub struct Table {
    customers: collections::HashMap<u64, Customer>,
    len: usize,
}

impl Table {
    /// Adds a record. A customer that is at its limit loses its oldest one.
    pub fn add(&mut self, record: Record) {
        if self.len >= MAX_RECORDS {
            self.make_room();
        }
        let customer = self.customers.entry(record.stream.customer).or_default();
        while customer.order.len() >= MAX_CUSTOMER_RECORDS {
            customer.remove_oldest();
            self.len -= 1;
        }
        let value = (record.version, record.at);
        customer.versions.insert(record.stream.id, value);
        customer.order.push_back((record.stream.id, record.at));
        self.len += 1;
    }

    fn make_room(&mut self) {
        let sample = self.customers.iter().take(EVICTION_SAMPLE);
        let most = sample.max_by_key(|(_, c)| c.order.len());
        let Some(most) = most.map(|(customer, _)| *customer) else {
            return;
        };
        let collections::hash_map::Entry::Occupied(mut most) = self.customers.entry(most) else {
            return;
        };
        most.get_mut().remove_oldest();
        self.len -= 1;
        if most.get().order.is_empty() {
            most.remove();
        }
    }

    /// Returns the version that began a stream, if it is known.
    pub fn get(&self, stream: Stream) -> Option<Version> {
        let customer = self.customers.get(&stream.customer)?;
        customer
            .versions
            .get(&stream.id)
            .map(|(version, _)| *version)
    }

    /// Returns the number of records, including replaced ones.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Forgets old records. To be called periodically.
    pub fn sweep(&mut self, now: time::Duration) {
        let len = &mut self.len;
        self.customers.retain(|_, customer| {
            let is_old = |(_, at): &(u64, time::Duration)| now >= *at + RETENTION;
            while customer.order.front().is_some_and(is_old) {
                customer.remove_oldest();
                *len -= 1;
            }
            !customer.order.is_empty()
        });
    }
}
