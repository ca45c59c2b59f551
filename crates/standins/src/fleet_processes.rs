//! Runs daemons as processes that get real signals, for replays and load tests.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use teaselcroft_parts::DaemonName;

use crate::fleet::{DaemonPlan, Fleet};

/// How often a restart checks whether the previous process has exited.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Daemons as child processes, started from the executable of this program; dropping it kills them.
pub struct ProcessFleet {
    inner: Arc<Inner>,
}

struct Inner {
    folder: PathBuf,
    /// All processes that were started for each daemon, the current one last.
    children: Mutex<BTreeMap<DaemonName, Vec<Child>>>,
}

impl ProcessFleet {
    /// An empty fleet; settings and logs of its daemons are written to `folder`.
    pub fn new(folder: PathBuf) -> ProcessFleet {
        ProcessFleet { inner: Arc::new(Inner { folder, children: Mutex::default() }) }
    }

    /// Sends a signal to a daemon; does nothing if it is not running.
    fn signal(&self, name: &DaemonName, signal: Signal) -> io::Result<()> {
        let Some(pid) = self.process_id(name) else {
            return Ok(());
        };
        let pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("the process id is out of range"))?;
        Ok(kill_process(pid, signal)?)
    }
}

impl Fleet for ProcessFleet {
    fn start(&self, plan: &DaemonPlan) -> io::Result<()> {
        if self.process_id(&plan.name).is_none() {
            return self.inner.start(plan);
        }
        let inner = self.inner.clone();
        let plan = plan.clone();
        let wait = move || {
            while inner.process_id(&plan.name).is_some() {
                std::thread::sleep(EXIT_POLL);
            }
            if let Err(error) = inner.start(&plan) {
                eprintln!("cannot restart daemon {}: {error}", plan.name);
            }
        };
        std::thread::Builder::new().name("restart".to_owned()).spawn(wait)?;
        Ok(())
    }

    fn kill(&self, name: &DaemonName) -> io::Result<()> {
        self.signal(name, Signal::KILL)
    }

    fn stop(&self, name: &DaemonName) -> io::Result<()> {
        self.signal(name, Signal::TERM)
    }

    fn pause(&self, name: &DaemonName) -> io::Result<()> {
        self.signal(name, Signal::STOP)
    }

    fn resume(&self, name: &DaemonName) -> io::Result<()> {
        self.signal(name, Signal::CONT)
    }

    fn process_id(&self, name: &DaemonName) -> Option<u32> {
        self.inner.process_id(name)
    }
}

impl Inner {
    /// Writes the settings and starts a daemon with them.
    fn start(&self, plan: &DaemonPlan) -> io::Result<()> {
        let config = self.folder.join(format!("{}.yaml", plan.name));
        std::fs::write(&config, &plan.settings)?;
        let log = File::options().create(true).append(true).open(self.folder.join(format!("{}.log", plan.name)))?;
        let child = Command::new(std::env::current_exe()?)
            .arg("daemon")
            .arg("--config")
            .arg(&config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let mut children = self.children.lock().unwrap_or_else(PoisonError::into_inner);
        children.entry(plan.name.clone()).or_default().push(child);
        Ok(())
    }

    /// The process id of a daemon that is running.
    fn process_id(&self, name: &DaemonName) -> Option<u32> {
        let mut children = self.children.lock().unwrap_or_else(PoisonError::into_inner);
        let child = children.get_mut(name)?.last_mut()?;
        let running = matches!(child.try_wait(), Ok(None));
        running.then(|| child.id())
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        let children = self.children.get_mut().unwrap_or_else(PoisonError::into_inner);
        for child in children.values_mut().flatten() {
            if matches!(child.try_wait(), Ok(None)) {
                // Fails only if the child has exited in the meantime.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
