//! Largest gap in weighted service between two customers over any interval in which both were
//! backlogged throughout, exact at every change of service.
//!
//! The gap over an interval is how much the difference of the two services rose in it, so the
//! largest is the largest rise above the least difference seen since both became backlogged. That
//! least difference falls only when the other customer is served, which is the only time it and the
//! rise before it need to be looked at: one row for each served chunk.

/// Service of all customers and the least differences of each pair.
#[derive(Debug)]
pub struct Gap {
    service: Vec<f64>,
    backlogged: Vec<bool>,
    // Row j, column i: least service[i] - service[j] since both became backlogged.
    least: Vec<f64>,
    largest: f64,
}

impl Gap {
    /// Nobody is backlogged yet.
    pub fn new(customers: usize) -> Self {
        Self {
            service: vec![0.0; customers],
            backlogged: vec![false; customers],
            least: vec![0.0; customers * customers],
            largest: 0.0,
        }
    }

    /// Counts weighted service of a customer.
    pub fn serve(&mut self, customer: usize, service: f64) {
        if self.backlogged[customer] {
            self.close(customer);
        }
        self.service[customer] += service;
        let own = self.service[customer];
        let row = &mut self.least[customer * self.service.len()..][..self.service.len()];
        for (least, other) in row.iter_mut().zip(&self.service) {
            *least = least.min(other - own);
        }
    }

    /// A customer starts to be backlogged, or stops.
    pub fn set_backlogged(&mut self, customer: usize, backlogged: bool) {
        if self.backlogged[customer] == backlogged {
            return;
        }
        let n = self.service.len();
        if !backlogged {
            self.close(customer);
            self.close_column(customer);
        }
        self.backlogged[customer] = backlogged;
        for other in 0..n {
            let difference = self.service[other] - self.service[customer];
            self.least[customer * n + other] = difference;
            self.least[other * n + customer] = -difference;
        }
    }

    /// The largest gap so far.
    pub fn largest(&mut self) -> f64 {
        for customer in 0..self.service.len() {
            if self.backlogged[customer] {
                self.close(customer);
            }
        }
        self.largest
    }

    // Looks at the rises of the others above this customer.
    fn close(&mut self, customer: usize) {
        let n = self.service.len();
        let own = self.service[customer];
        let row = &self.least[customer * n..][..n];
        for ((least, other), backlogged) in row.iter().zip(&self.service).zip(&self.backlogged) {
            if *backlogged {
                self.largest = self.largest.max(other - own - least);
            }
        }
    }

    // Looks at this customer's rises above the others.
    fn close_column(&mut self, customer: usize) {
        let n = self.service.len();
        for other in (0..n).filter(|other| self.backlogged[*other]) {
            let rise = self.service[customer] - self.service[other];
            self.largest = self.largest.max(rise - self.least[other * n + customer]);
        }
    }
}
