//! Limits what a panic ends: the connection or call that it occurred in, or else the process.
//!
//! An executor swallows the panic of a detached task. The process would stay ready without the task, so that callers kept
//! coming to a daemon that no longer follows the runners or hears its peers.

use std::any::Any;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};

use futures_lite::FutureExt;
use smol::Executor;

use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::{Event, log_event};

/// The exit status after a panic, as of any Rust program.
const PANIC_STATUS: i32 = 101;

/// Spawns one of the tasks without which the daemon cannot serve; a panic in it ends the process.
pub fn spawn_essential<F>(executor: &Executor<'static>, task: &'static str, future: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let run = async move {
        if let Err(panic) = AssertUnwindSafe(future).catch_unwind().await {
            end_process(task, &reason(&*panic));
        }
    };
    executor.spawn(run).detach();
}

/// Runs a thread's main function; a panic in it ends the process.
pub fn run_thread(thread: &str, main: impl FnOnce()) {
    if let Err(panic) = catch_unwind(AssertUnwindSafe(main)) {
        end_process(thread, &reason(&*panic));
    }
}

/// Runs a task that serves one connection or makes one call; a panic ends only that. If it left shared state half
/// changed, it ends the process, since what other requests would do with that state is unknown.
pub async fn run_contained<D: Dialect>(gateway: &Gateway<D>, task: &'static str, future: impl Future<Output = ()>) {
    let Err(panic) = AssertUnwindSafe(future).catch_unwind().await else {
        return;
    };
    let reason = reason(&*panic);
    if let Some(state) = gateway.poisoned_state() {
        end_process(task, &format!("{reason}; it left the {state} half changed"));
    }
    gateway.metrics.panics.inc();
    log_event!(Event::TaskPanicked, task = task, reason = reason);
}

/// The message of a panic.
fn reason(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "a panic without a message".to_owned())
}

/// Ends the process, so that callers go to other daemons and the VM starts it anew.
fn end_process(task: &str, reason: &str) -> ! {
    log_event!(Event::ProcessAborted, task = task, reason = reason);
    log::logger().flush();
    std::process::exit(PANIC_STATUS)
}
