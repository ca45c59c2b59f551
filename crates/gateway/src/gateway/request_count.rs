//! Counts a request as in flight.

use std::sync::atomic::{AtomicUsize, Ordering};

use prometheus_client::metrics::gauge::Gauge;

/// Counts a request as in flight until dropped, also if serving it panics: a planned stop waits for those in flight.
#[derive(Debug)]
pub struct RequestCount<'a> {
    count: &'a AtomicUsize,
    gauge: &'a Gauge,
}

impl<'a> RequestCount<'a> {
    pub(super) fn begin(count: &'a AtomicUsize, gauge: &'a Gauge) -> RequestCount<'a> {
        count.fetch_add(1, Ordering::SeqCst);
        gauge.inc();
        RequestCount { count, gauge }
    }
}

impl Drop for RequestCount<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
        self.gauge.dec();
    }
}
