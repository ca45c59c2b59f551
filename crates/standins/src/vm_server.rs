//! A stand-in for the platform's lagging VM list.

use std::io;
use std::sync::Arc;

use http_types::{Response, StatusCode};

use crate::restartable_server::{Lifeline, serve};
use crate::run_context::World;

/// Starts the stand-in.
///
/// # Errors
///
/// No port can be listened on.
pub async fn start_vm_list(world: Arc<World>) -> io::Result<Arc<Lifeline>> {
    let executor = world.executor.clone();
    let handle = move |_| {
        let world = world.clone();
        async move {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(serde_json::to_string(&world.lagging_vms()).unwrap_or_default());
            Ok(response)
        }
    };
    serve(executor, handle).await
}
