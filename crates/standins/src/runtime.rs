//! The thread pool that runs the stand-ins and callers.

use std::io;
use std::sync::Arc;

use async_channel::{Receiver, Sender, bounded};
use smol::Executor;

const THREADS: usize = 3;

/// A pool of threads that drive one shared executor; dropping it stops them.
pub struct Runtime {
    executor: Arc<Executor<'static>>,
    _stop: Sender<()>,
}

fn run(executor: &Executor<'static>, stop: &Receiver<()>) {
    // Returns an error once the sender in `Runtime` is dropped, which is the signal to stop.
    let _ = smol::block_on(executor.run(stop.recv()));
}

impl Runtime {
    /// Starts the pool.
    ///
    /// # Errors
    ///
    /// The operating system refuses to start a thread.
    pub fn start() -> io::Result<Runtime> {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = bounded(1);
        for index in 0..THREADS {
            let executor = executor.clone();
            let stopped = stopped.clone();
            let thread = std::thread::Builder::new().name(format!("stand-ins-{index}"));
            thread.spawn(move || run(&executor, &stopped))?;
        }
        Ok(Runtime { executor, _stop: stop })
    }

    /// The executor on which tasks for the pool are spawned.
    pub fn executor(&self) -> Arc<Executor<'static>> {
        self.executor.clone()
    }
}
