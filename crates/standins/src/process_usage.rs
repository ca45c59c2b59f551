//! CPU time and memory of daemon processes, from `/proc`.

use std::collections::BTreeMap;
use std::time::Instant;

use teaselcroft_parts::DaemonName;

/// Clock ticks in the `stat` files of `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page in `statm`.
const PAGE_BYTES: f64 = 4_096.0;

/// CPU and memory use of one daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// CPU time of its control thread, as a share of one core.
    pub control_share: f64,
    /// CPU time of the whole process, as a share of one core.
    pub total_share: f64,
    /// Resident memory, in megabytes of a million bytes.
    pub rss_mb: f64,
}

/// CPU time since the start of a process, in clock ticks.
#[derive(Debug, Clone, Copy, Default)]
struct Ticks {
    pid: u32,
    control: u64,
    total: u64,
}

/// Measures the use of daemon processes over a period.
#[derive(Debug)]
pub struct UsageMeter {
    began: Instant,
    first: BTreeMap<DaemonName, Ticks>,
}

impl UsageMeter {
    /// Starts to measure those daemons that have a process; `process_id` gives its id.
    pub fn begin(names: &[DaemonName], process_id: impl Fn(&DaemonName) -> Option<u32>) -> UsageMeter {
        let first = names.iter().filter_map(|name| Some((name.clone(), read_ticks(process_id(name)?)?)));
        UsageMeter { began: Instant::now(), first: first.collect() }
    }

    /// The use since `begin`, by daemon; daemons that exited or were restarted are left out.
    pub fn end(&mut self, process_id: impl Fn(&DaemonName) -> Option<u32>) -> BTreeMap<String, Usage> {
        let seconds = self.began.elapsed().as_secs_f64();
        let usage = self.first.iter().filter_map(|(name, first)| {
            let pid = process_id(name).filter(|pid| *pid == first.pid)?;
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

/// User and system time in a `stat` file, in clock ticks.
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
