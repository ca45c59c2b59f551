//! gRPC code that `tools/codegen` generates from `proto/peer.proto`.

#![allow(missing_docs, clippy::all, clippy::unwrap_used)]

include!("generated/teaselcroft.peer.v1.rs");
