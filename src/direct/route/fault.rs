//! Questions that can't be answered.

use crate::code;

/// A question that can't be answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Numbered code.
    pub code: code::Code,
    /// What is wrong.
    pub detail: String,
}

pub(super) fn new(code: code::Code, detail: impl Into<String>) -> Fault {
    Fault {
        code,
        detail: detail.into(),
    }
}
