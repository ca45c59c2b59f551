//! Processor time and memory of daemon processes, from the process file system.

use std::collections::BTreeMap;
use std::time::Instant;

use teaselcroft_parts::DaemonName;

const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4_096.0;

/// What one daemon used.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Share of one core that its control thread took.
    pub control_share: f64,
    /// Share of one core that the whole process took.
    pub total_share: f64,
    /// Memory, in megabytes.
    pub rss_mb: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Ticks {
    pid: u32,
    control: u64,
    total: u64,
}

/// Measures from a beginning to an end.
#[derive(Debug)]
pub struct UsageMeter {
    began: Instant,
    first: BTreeMap<DaemonName, Ticks>,
}

impl UsageMeter {
    /// Begins to measure the daemons that have a process.
    pub fn begin(names: &[DaemonName], process: impl Fn(&DaemonName) -> Option<u32>) -> UsageMeter {
        let first = names.iter().filter_map(|name| Some((name.clone(), read_ticks(process(name)?)?)));
        UsageMeter { began: Instant::now(), first: first.collect() }
    }

    /// What each daemon used that still runs in the process it began in.
    pub fn end(&mut self, process: impl Fn(&DaemonName) -> Option<u32>) -> BTreeMap<String, Usage> {
        let seconds = self.began.elapsed().as_secs_f64();
        let usage = self.first.iter().filter_map(|(name, first)| {
            let pid = process(name).filter(|pid| *pid == first.pid)?;
            let last = read_ticks(pid)?;
            let share = |ticks: u64| ticks as f64 / TICKS_PER_SECOND / seconds;
            let usage = Usage {
                control_share: share(last.control.saturating_sub(first.control)),
                total_share: share(last.total.saturating_sub(first.total)),
                rss_mb: read_rss_mb(pid).unwrap_or(0.0),
            };
            Some((name.to_string(), usage))
        });
        usage.collect()
    }
}

/// Ticks of user and system time in a `stat` file.
fn stat_ticks(path: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    let (_, rest) = text.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(user + system)
}

fn read_ticks(pid: u32) -> Option<Ticks> {
    let total = stat_ticks(&format!("/proc/{pid}/stat"))?;
    let mut control = 0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        let path = task.path();
        let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        if name.trim() == "control" {
            control += stat_ticks(&path.join("stat").to_string_lossy())?;
        }
    }
    Some(Ticks { pid, control, total })
}

fn read_rss_mb(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: f64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES / 1e6)
}
