//! Chooses the runner for a request: by cached prompt prefix, else by load.

use super::{Dispatcher, RequestKey};
use crate::{Descriptor, RunnerKey};

impl Dispatcher {
    /// The runner for the next request, with the reason that is logged.
    ///
    /// The runner that last got the same prompt prefix wins while its load is near the mean.
    pub(super) fn choose_runner(&self, key: RequestKey) -> Option<(RunnerKey, &'static str)> {
        let request = &self.requests.get(key)?.request;
        let cached = self.prefixes.get(request.prefix).filter(|runner| !self.is_avoided(*runner, request));
        let urgent = request.rule.tier.is_urgent();
        let cached = cached.and_then(|runner| self.pool.if_near_mean(runner, urgent, self.settings.affinity_percent));
        if let Some(runner) = cached {
            return Some((runner, "prompt prefix cached"));
        }
        let runner = self.pool.least_loaded(urgent, &request.zone, request.avoid.as_ref())?;
        Some((runner, "least loaded, own zone first"))
    }

    /// Whether the request just failed on `runner`.
    pub(super) fn is_avoided(&self, runner: RunnerKey, request: &Descriptor) -> bool {
        self.pool.info(runner).is_some_and(|info| Some(&info.name) == request.avoid.as_ref())
    }
}
