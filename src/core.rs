//! The core thread of a process: a stakker loop fed by typed messages.
