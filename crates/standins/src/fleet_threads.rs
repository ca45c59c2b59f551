//! Runs daemons as threads of this process, for the demo.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use smol::Executor;
use teaselcroft_parts::{DaemonName, Millis};
use teaselcroft_router::{Daemon, HttpPlatform, Settings};

use crate::fleet::{DaemonPlan, Fleet};

/// Daemons in this process; they can be started and stopped, but neither killed nor suspended.
pub struct ThreadFleet {
    executor: Arc<Executor<'static>>,
    daemons: Mutex<BTreeMap<DaemonName, Daemon<HttpPlatform>>>,
}

impl ThreadFleet {
    /// An empty fleet; planned stops are carried out on `executor`.
    pub fn new(executor: Arc<Executor<'static>>) -> ThreadFleet {
        ThreadFleet { executor, daemons: Mutex::default() }
    }
}

fn needs_process() -> io::Error {
    io::Error::new(
        io::ErrorKind::Unsupported,
        "daemons that share a process cannot be killed or paused; run this trace with the replay program",
    )
}

impl Fleet for ThreadFleet {
    fn start(&self, plan: &DaemonPlan) -> io::Result<()> {
        let settings = Settings::parse(&plan.settings).map_err(io::Error::other)?;
        let timeout = Millis(settings.limits.store_ms);
        let platform = HttpPlatform::new(settings.store, settings.vm_list, timeout);
        let daemon = Daemon::start(settings, platform)?;
        self.daemons.lock().unwrap_or_else(PoisonError::into_inner).insert(plan.name.clone(), daemon);
        Ok(())
    }

    fn kill(&self, _: &DaemonName) -> io::Result<()> {
        Err(needs_process())
    }

    fn stop(&self, name: &DaemonName) -> io::Result<()> {
        let daemon = self.daemons.lock().unwrap_or_else(PoisonError::into_inner).remove(name);
        if let Some(daemon) = daemon {
            self.executor.spawn(daemon.stop()).detach();
        }
        Ok(())
    }

    fn pause(&self, _: &DaemonName) -> io::Result<()> {
        Err(needs_process())
    }

    fn resume(&self, _: &DaemonName) -> io::Result<()> {
        Err(needs_process())
    }

    fn process_id(&self, _: &DaemonName) -> Option<u32> {
        None
    }
}
