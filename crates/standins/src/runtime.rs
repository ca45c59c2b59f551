//! Threads that run the stand-ins and callers.

use std::io;
use std::sync::Arc;

use async_channel::{Receiver, Sender, bounded};
use smol::Executor;

const THREADS: usize = 3;

/// Threads that run an executor until this is dropped.
pub struct Runtime {
    executor: Arc<Executor<'static>>,
    _end: Sender<()>,
}

fn run(executor: &Executor<'static>, end: &Receiver<()>) {
    // The channel closes when the runtime is dropped.
    let _ = smol::block_on(executor.run(end.recv()));
}

impl Runtime {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// A thread cannot be started.
    pub fn start() -> io::Result<Runtime> {
        let executor = Arc::new(Executor::new());
        let (end, ended) = bounded(1);
        for index in 0..THREADS {
            let executor = executor.clone();
            let ended = ended.clone();
            let thread = std::thread::Builder::new().name(format!("stand-ins-{index}"));
            thread.spawn(move || run(&executor, &ended))?;
        }
        Ok(Runtime { executor, _end: end })
    }

    /// The executor that the threads run.
    pub fn executor(&self) -> Arc<Executor<'static>> {
        self.executor.clone()
    }
}
