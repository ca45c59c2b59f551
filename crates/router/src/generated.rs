//! Generated code of `proto/peer.proto`; `tools/codegen` writes it.

#![allow(missing_docs, clippy::all, clippy::unwrap_used)]

include!("generated/teaselcroft.peer.v1.rs");
