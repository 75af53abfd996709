//! Generates `src/wire/chivebend.v1.rs` from `proto/chivebend.proto`, without `protoc`.
//!
//! The program is run by hand after a change of the protocol, never by the build:
//! `cargo run --manifest-path tools/codegen/Cargo.toml -- proto/chivebend.proto src/wire`

use std::{env, error, path};

fn main() -> Result<(), Box<dyn error::Error>> {
    let usage = "usage: codegen PROTO OUT_DIR";
    let proto = env::args().nth(1).ok_or(usage)?;
    let out = env::args().nth(2).ok_or(usage)?;
    let dir = path::Path::new(&proto).parent().ok_or(usage)?.to_path_buf();
    let set = protox::compile([&proto], [dir])?;
    tonic_prost_build::configure().bytes(".").out_dir(out).compile_fds(set)?;
    Ok(())
}
