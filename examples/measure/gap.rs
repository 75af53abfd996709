//! Largest fairness gap: the largest difference in weighted service between two customers over any
//! interval in which both were continuously backlogged. Exact at every change of service.
//!
//! The gap over an interval is the rise of the difference between the two customers' service. The
//! largest gap is therefore the largest rise above the minimum of that difference since both became
//! backlogged. The minimum falls only when the other customer is served, so only then do the
//! minimum and the rise before it have to be evaluated: one matrix row per served chunk.

/// Service of all customers and the minimum difference of each pair.
#[derive(Debug)]
pub struct Gap {
    service: Vec<f64>,
    backlogged: Vec<bool>,
    // Row j, column i: minimum of service[i] - service[j] since both became backlogged.
    min_differences: Vec<f64>,
    largest: f64,
}

impl Gap {
    /// Creates the state before any customer is backlogged.
    pub fn new(customers: usize) -> Self {
        Self {
            service: vec![0.0; customers],
            backlogged: vec![false; customers],
            min_differences: vec![0.0; customers * customers],
            largest: 0.0,
        }
    }

    /// Adds weighted service of a customer.
    pub fn serve(&mut self, customer: usize, service: f64) {
        if self.backlogged[customer] {
            self.update_largest_of_row(customer);
        }
        self.service[customer] += service;
        let own = self.service[customer];
        let row = &mut self.min_differences[customer * self.service.len()..][..self.service.len()];
        for (min, other) in row.iter_mut().zip(&self.service) {
            *min = min.min(other - own);
        }
    }

    /// Sets whether a customer is backlogged.
    pub fn set_backlogged(&mut self, customer: usize, backlogged: bool) {
        if self.backlogged[customer] == backlogged {
            return;
        }
        let n = self.service.len();
        if !backlogged {
            self.update_largest_of_row(customer);
            self.update_largest_of_column(customer);
        }
        self.backlogged[customer] = backlogged;
        for other in 0..n {
            let difference = self.service[other] - self.service[customer];
            self.min_differences[customer * n + other] = difference;
            self.min_differences[other * n + customer] = -difference;
        }
    }

    /// Returns the largest gap so far.
    pub fn largest(&mut self) -> f64 {
        for customer in 0..self.service.len() {
            if self.backlogged[customer] {
                self.update_largest_of_row(customer);
            }
        }
        self.largest
    }

    // Updates the largest gap by the rises of the other customers relative to this one.
    fn update_largest_of_row(&mut self, customer: usize) {
        let n = self.service.len();
        let own = self.service[customer];
        let row = &self.min_differences[customer * n..][..n];
        for ((min, other), backlogged) in row.iter().zip(&self.service).zip(&self.backlogged) {
            if *backlogged {
                self.largest = self.largest.max(other - own - min);
            }
        }
    }

    // Updates the largest gap by the rises of this customer relative to the others.
    fn update_largest_of_column(&mut self, customer: usize) {
        let n = self.service.len();
        for other in (0..n).filter(|other| self.backlogged[*other]) {
            let rise = self.service[customer] - self.service[other];
            self.largest = self
                .largest
                .max(rise - self.min_differences[other * n + customer]);
        }
    }
}
