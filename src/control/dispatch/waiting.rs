//! Index of the waiting requests by service, customer and deadline, in order of arrival.

use std::{collections, time};

use crate::control::dispatch::request;
use crate::key;

/// Index of the waiting requests.
#[derive(Debug, Default)]
pub struct Index {
    services: collections::HashMap<String, collections::BTreeMap<u64, key::Request>>,
    customers: collections::HashMap<key::Customer, collections::BTreeMap<u64, key::Request>>,
    deadlines: collections::BTreeSet<(time::Duration, key::Request)>,
    arrival_numbers: collections::HashMap<key::Request, u64>,
    last_arrival: u64,
}

impl Index {
    /// Adds a request as the newest.
    pub fn add(&mut self, request: key::Request, state: &request::Request) {
        self.last_arrival += 1;
        self.arrival_numbers.insert(request, self.last_arrival);
        let service = self
            .services
            .entry(state.request.service.clone())
            .or_default();
        service.insert(self.last_arrival, request);
        let customer = self.customers.entry(state.customer).or_default();
        customer.insert(self.last_arrival, request);
        if let Some(expires) = state.expires_at {
            self.deadlines.insert((expires, request));
        }
    }

    /// Removes a request, if it waits.
    pub fn remove(&mut self, request: key::Request, state: &request::Request) {
        let Some(arrival) = self.arrival_numbers.remove(&request) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&state.request.service) {
            service.remove(&arrival);
        }
        if let Some(customer) = self.customers.get_mut(&state.customer) {
            customer.remove(&arrival);
            if customer.is_empty() {
                self.customers.remove(&state.customer);
            }
        }
        if let Some(expires) = state.expires_at {
            self.deadlines.remove(&(expires, request));
        }
    }

    /// Returns whether a request of the customer waits.
    pub fn has(&self, customer: key::Customer) -> bool {
        self.customers.contains_key(&customer)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.arrival_numbers.len()
    }

    /// Returns the number of a customer's waiting requests.
    pub fn count(&self, customer: key::Customer) -> u32 {
        self.customers
            .get(&customer)
            .map_or(0, |customer| customer.len() as u32)
    }

    /// Iterates over a customer's waiting requests, oldest first.
    pub fn customer(&self, customer: key::Customer) -> impl Iterator<Item = key::Request> {
        let requests = self.customers.get(&customer).into_iter();
        requests.flat_map(|requests| requests.values().copied())
    }

    /// Returns a customer's oldest waiting request.
    pub fn oldest(&self, customer: key::Customer) -> Option<key::Request> {
        self.customers
            .get(&customer)?
            .first_key_value()
            .map(|(_, request)| *request)
    }

    /// Returns a waiting request that has expired.
    pub fn expired(&self, now: time::Duration) -> Option<key::Request> {
        self.deadlines
            .first()
            .filter(|(expires, _)| *expires <= now)
            .map(|(_, request)| *request)
    }

    /// Iterates over a service's waiting requests, oldest first.
    pub fn service(&self, name: &str) -> impl Iterator<Item = key::Request> {
        self.services
            .get(name)
            .into_iter()
            .flat_map(|service| service.values().copied())
    }

    /// Returns a customer's newest waiting request.
    pub fn newest(&self, customer: key::Customer) -> Option<key::Request> {
        self.customers
            .get(&customer)?
            .last_key_value()
            .map(|(_, request)| *request)
    }

    /// Iterates over all waiting requests, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = key::Request> {
        self.arrival_numbers.keys().copied()
    }
}
