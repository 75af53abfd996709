//! gRPC messages and services between the fleet's own processes.
//!
//! The code in `chivebend.v1.rs` is generated from `proto/chivebend.proto` by `tools/codegen` and
//! committed, so that a build needs no code generator.

pub mod frame;
pub mod secret;

#[allow(
    missing_docs,
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    clippy::allow_attributes_without_reason,
    clippy::empty_structs_with_brackets,
    reason = "generated code"
)]
#[rustfmt::skip]
mod generated {
    include!("chivebend.v1.rs");
}

pub use generated::*;
