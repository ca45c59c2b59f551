//! How soon a connection over a dead network path ends.

use std::io;
use std::net::TcpStream;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// The time between TCP keep-alive probes of an idle connection; one second is the shortest possible.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How soon a connection over a dead network path ends. A path that drops all packets is noticed in no other way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathTimeout {
    /// `TCP_USER_TIMEOUT`: the longest time that sent data stays unacknowledged. On Linux it also bounds the time that
    /// an idle connection's probes stay unanswered.
    pub unacknowledged: Duration,
    /// Unanswered keep-alive probes, a second apart, after which an idle connection ends.
    pub probes: u32,
}

impl PathTimeout {
    /// For calls to the store and to peers: a connection that ends too early costs one more call, one that ends too late
    /// hides changes.
    pub const CONTROL: PathTimeout = PathTimeout { unacknowledged: Duration::from_millis(1_900), probes: 1 };

    /// Sets the TCP options of `stream`.
    ///
    /// # Errors
    ///
    /// The system rejects an option.
    pub fn apply(self, stream: &TcpStream) -> io::Result<()> {
        let socket = SockRef::from(stream);
        let keepalive =
            TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL).with_retries(self.probes);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(self.unacknowledged))
    }
}

impl Default for PathTimeout {
    /// For requests and answers, which a lossy path may delay.
    fn default() -> PathTimeout {
        PathTimeout { unacknowledged: Duration::from_millis(4_000), probes: 3 }
    }
}
