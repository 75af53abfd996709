//! How much each backend server takes well, learned from its answers.

pub mod speed;
pub mod zone;
