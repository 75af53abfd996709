//! Maps names of customers to their keys in this process.

use std::collections;

use slotmap::SlotMap;

use crate::key;

/// Customers by key and by name.
#[derive(Debug, Default)]
pub struct Arena {
    names: SlotMap<key::Customer, String>,
    keys: collections::HashMap<String, key::Customer>,
}

impl Arena {
    /// Returns the key of a customer, a new one if the name is new.
    pub fn intern(&mut self, name: &str) -> key::Customer {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = self.names.insert(name.to_owned());
        self.keys.insert(name.to_owned(), key);
        key
    }

    /// Returns the key of a customer, if the name is known.
    pub fn find(&self, name: &str) -> Option<key::Customer> {
        self.keys.get(name).copied()
    }

    /// Returns the name of a customer, empty if the key is unknown.
    pub fn name(&self, key: key::Customer) -> &str {
        self.names.get(key).map_or("", String::as_str)
    }

    /// Iterates over all customers.
    pub fn iter(&self) -> impl Iterator<Item = (key::Customer, &str)> {
        self.names.iter().map(|(key, name)| (key, name.as_str()))
    }
}
