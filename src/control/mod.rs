//! Controllers: the actors that keep the state of a process.

pub mod answer;
pub mod backend;
pub mod catalogue;
pub mod customers;
pub mod dispatch;
pub mod exchange;
pub mod kept;
pub mod link;
pub mod member;
pub mod tally;
