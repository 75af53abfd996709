//! Controllers: the actors that keep the state of a process.

pub mod backend;
pub mod catalogue;
pub mod customer_stats;
pub mod customers;
pub mod dispatch;
pub mod gossip;
pub mod link;
pub mod member;
pub mod response;
pub mod response_buffer;
