//! A stand-in for the platform's VM list, which lags behind the real state.

use std::io;
use std::sync::Arc;

use http_types::{Response, StatusCode};

use crate::restartable_server::{RestartableServer, serve};
use crate::run_context::RunContext;

/// Starts a server that answers every request with the VM list as JSON.
///
/// # Errors
///
/// No loopback port can be bound.
pub async fn start_vm_list(context: Arc<RunContext>) -> io::Result<Arc<RestartableServer>> {
    let executor = context.executor.clone();
    let handle = move |_| {
        let context = context.clone();
        async move {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(serde_json::to_string(&context.lagged_vms()).unwrap_or_default());
            Ok(response)
        }
    };
    serve(executor, handle).await
}
