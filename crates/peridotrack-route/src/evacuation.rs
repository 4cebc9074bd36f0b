//! Evacuation of failure domains, whose backend servers receive no new work until they are taken back
//! into service.
//!
//! Requests in flight there are finished. Those that were placed there and not sent are withdrawn by
//! their handlers, and the router places them elsewhere.

use peridotrack_types::name;

use crate::{event::Action, router::Router};

impl Router {
    /// Begins or ends the evacuation of a failure domain. When it ends, the servers of the domain
    /// begin with a slow start, because they may have lost their caches.
    pub(crate) fn on_evacuated(
        &mut self,
        now_us: u64,
        failure_domain: &name::FailureDomain,
        is_evacuated: bool,
        actions: &mut Vec<Action>,
    ) {
        let is_changed = match is_evacuated {
            true => self.evacuated.insert(failure_domain.clone()),
            false => self.evacuated.remove(failure_domain),
        };
        if !is_changed {
            return;
        }
        let backends = self.backends.iter().enumerate();
        let affected: Vec<_> = backends
            .filter(|(_, backend)| backend.failure_domain == *failure_domain)
            .map(|(index, _)| index)
            .collect();
        for &index in &affected {
            self.backends[index].is_evacuated = is_evacuated;
        }
        for &index in &affected {
            match is_evacuated {
                true => self.refuse_unserved_pools(now_us, index, actions),
                false => {
                    self.begin_slow_start(now_us, index);
                    self.dispatch_queued_to(now_us, index, actions);
                }
            }
        }
    }
}
