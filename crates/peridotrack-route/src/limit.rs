//! Adaptive concurrency limit of this router at one backend server.
//!
//! [`Limit`] is adjusted from load reports, refusals and first-token times, without coordination
//! among the routers that share the server.

/// Lower bound of the limit; it keeps every server in use, so that its recovery is detected.
const MIN_REQUESTS: f64 = 1.0;
/// Fraction of the difference to the desired limit that one report corrects.
const GAIN: f64 = 0.5;
/// Factor on the limit after a refusal.
const REFUSAL_FACTOR: f64 = 0.7;
/// Factor on the limit after a late first token.
const LATE_FACTOR: f64 = 0.9;
/// Ratio to the expected first-token time above which a first token is late.
const LATE_RATIO: f64 = 4.0;

/// Limit on the requests in flight of this router at one backend server.
///
/// The server's slots are shared with other routers, whose requests this one knows only from load
/// reports. A report of more requests than slots lowers the limit towards this router's share of
/// the slots; a report of free slots raises it. Without reports, late first tokens lower the limit,
/// and timely ones raise it while it is fully used.
#[derive(Debug, Clone)]
pub struct Limit {
    requests: f64,
    slots: f64,
}

impl Limit {
    /// Returns a limit that starts at `slots`, at least 1.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            requests: slots,
            slots,
        }
    }

    /// Returns the limit in requests, between 1 and the number of slots.
    #[inline]
    pub fn requests(&self) -> f64 {
        self.requests
    }

    /// Sets the number of slots and lowers the limit to it.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.requests = self.requests.min(self.slots);
    }

    /// Applies a load report: the requests of this router (`local`) and of all routers (`total`)
    /// when it was measured.
    pub fn on_report(&mut self, local: u32, total: u32) {
        let (local, total) = (f64::from(local), f64::from(total));
        let desired = if total > self.slots {
            local * self.slots / total
        } else {
            self.requests.max(local + (self.slots - total))
        };
        self.set(self.requests + GAIN * (desired - self.requests));
    }

    /// Applies a first-token time, sampled with `in_flight` requests of this router at the server.
    pub fn on_first_token(&mut self, first_token_us: f64, expected_us: f64, in_flight: u32) {
        if first_token_us > LATE_RATIO * expected_us {
            self.set(self.requests * LATE_FACTOR);
        } else if f64::from(in_flight) >= self.requests {
            self.set(self.requests + 1.0 / self.requests);
        }
    }

    /// Lowers the limit after the server refused a request.
    pub fn on_refusal(&mut self) {
        self.set(self.requests * REFUSAL_FACTOR);
    }

    fn set(&mut self, requests: f64) {
        self.requests = requests.clamp(MIN_REQUESTS, self.slots);
    }
}
