//! Which peers are asked for a newer configuration at the same time.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use teaselcroft_parts::Millis;

/// How long a peer may send nothing before another one is asked too.
const STALL_DELAY: Millis = Millis(300);

/// How long a peer may take that does send before another one is asked too. Each further transfer takes its share of this
/// daemon's link from the others.
const HEDGE_DELAY: Millis = Millis(1_000);

/// How long the first peers may take until their answers begin. A connection and a call over a link that callers nearly fill take
/// over a second.
const MIN_PATIENCE: Millis = Millis(1_500);

/// The same while fetches fail. Fetches that hang since a path was cut end this long after it works again.
const MAX_PATIENCE: Millis = Millis(3_000);

/// The most peers that are asked at once, since each answer loads a link.
const MAX_FETCHES: usize = 3;

/// The same for peers that are asked already or failed, so that one that announces a version often and cannot be asked leaves room
/// for others.
const MAX_REPEATED: usize = MAX_FETCHES - 1;

/// The fetches that run.
#[derive(Debug)]
struct Running {
    /// The peers that are asked; one that is asked twice is in it twice.
    sources: Vec<SocketAddr>,
    /// The highest version that was announced by the peers that are asked.
    version: u64,
    /// When the last fetch began.
    began: Millis,
    /// When the last fetch from a peer began that was neither asked already nor had failed, if any did.
    widened: Option<Millis>,
    /// When a peer last sent bytes.
    received: Option<Millis>,
}

impl Running {
    /// Whether a further peer is to be asked although others are. A repeated one is asked already, or failed.
    fn admits(&self, version: u64, is_repeated: bool, now: Millis) -> bool {
        // While bytes of an older version arrive, the newer one is fetched after it.
        let is_idle = version > self.version && self.received.is_none();
        if is_idle && !is_repeated {
            return true;
        }
        let began = if is_repeated { Some(self.began) } else { self.widened };
        let is_silent = self.received.max(began).is_none_or(|last| now.since(last) >= STALL_DELAY);
        let is_slow = is_silent || now.since(self.began) >= HEDGE_DELAY;
        let limit = if is_repeated { MAX_REPEATED } else { MAX_FETCHES };
        self.sources.len() < limit && (is_idle || version >= self.version && is_slow)
    }
}

/// The fetches of configurations from peers that run. All of them share this daemon's link, whichever version they are for.
#[derive(Debug, Default)]
pub struct ConfigFetches {
    running: Option<Running>,
    /// Failed fetches since the last one that succeeded.
    failures: usize,
    /// The peers that they were sent to.
    failed: BTreeSet<SocketAddr>,
}

impl ConfigFetches {
    /// Whether `source`, which announces `version`, is to be asked for it now; if so, `end` must follow.
    pub fn try_begin(&mut self, source: SocketAddr, version: u64, now: Millis) -> bool {
        let has_failed = self.failed.contains(&source);
        let Some(running) = &mut self.running else {
            let widened = (!has_failed).then_some(now);
            self.running = Some(Running { sources: vec![source], version, began: now, widened, received: None });
            return true;
        };
        let is_repeated = has_failed || running.sources.contains(&source);
        let is_due = running.admits(version, is_repeated, now);
        if is_due {
            running.sources.push(source);
            (running.version, running.began) = (version, now);
            running.widened = if is_repeated { running.widened } else { Some(now) };
        }
        is_due
    }

    /// Records that a peer sent bytes.
    pub fn progressed(&mut self, now: Millis) {
        if let Some(running) = &mut self.running {
            running.received = Some(now);
        }
    }

    /// How long a peer may take until its answer begins; longer while fetches fail, since the path may be slow.
    pub fn patience(&self) -> Millis {
        if self.failures < MAX_FETCHES { MIN_PATIENCE } else { MAX_PATIENCE }
    }

    /// Records that a fetch from `source` ended, with or without success.
    pub fn end(&mut self, source: SocketAddr, is_done: bool) {
        if is_done {
            self.failures = 0;
            self.failed.clear();
        } else {
            self.failures = self.failures.saturating_add(1);
            self.failed.insert(source);
        }
        if let Some(running) = &mut self.running
            && let Some(ended) = running.sources.iter().position(|asked| *asked == source)
        {
            running.sources.swap_remove(ended);
        }
        self.running.take_if(|running| running.sources.is_empty());
    }
}
