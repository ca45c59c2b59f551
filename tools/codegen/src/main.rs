//! Writes the gRPC code of `proto/peer.proto` to `crates/router/src/generated`.
//!
//! Run by hand from the repository root: `cargo run --manifest-path tools/codegen/Cargo.toml`.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir("crates/router/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}
