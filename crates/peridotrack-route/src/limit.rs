//! Adaptive limit on the requests of this router at one backend server.

/// Smallest limit, so that a server is never forgotten.
const MIN_REQUESTS: f64 = 1.0;
/// Part of the way to the wanted limit that one report moves it.
const GAIN: f64 = 0.5;
/// Factor after a refusal.
const REFUSAL_FACTOR: f64 = 0.7;
/// Factor after a first token that was far too late.
const LATE_FACTOR: f64 = 0.9;
/// Ratio to the expected first-token time that counts as far too late.
const LATE_RATIO: f64 = 4.0;

/// Limit on the requests of this router at one backend server.
///
/// The server's slots are shared with other routers that this one doesn't hear. A report with a
/// queue lowers the limit to this router's part of the slots; a report with room raises it. Where
/// reports stay away, first tokens that come far too late lower it and full use raises it.
#[derive(Debug, Clone)]
pub struct Limit {
    requests: f64,
    slots: f64,
}

impl Limit {
    /// Returns a limit that begins with all slots.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            requests: slots,
            slots,
        }
    }

    /// Returns the limit in requests.
    #[inline]
    pub fn requests(&self) -> f64 {
        self.requests
    }

    /// Takes in a new number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = f64::from(slots.max(1));
        self.requests = self.requests.min(self.slots);
    }

    /// Takes in a report: own requests and all requests at the time it was measured.
    pub fn on_report(&mut self, local: u32, total: u32) {
        let (local, total) = (f64::from(local), f64::from(total));
        let desired = if total > self.slots {
            local * self.slots / total
        } else {
            self.requests.max(local + (self.slots - total))
        };
        self.set(self.requests + GAIN * (desired - self.requests));
    }

    /// Takes in a first token while `in_flight` own requests were at the server.
    pub fn on_first_token(&mut self, first_token_us: f64, expected_us: f64, in_flight: u32) {
        if first_token_us > LATE_RATIO * expected_us {
            self.set(self.requests * LATE_FACTOR);
        } else if f64::from(in_flight) >= self.requests {
            self.set(self.requests + 1.0 / self.requests);
        }
    }

    /// Takes in a refusal by the server.
    pub fn on_refusal(&mut self) {
        self.set(self.requests * REFUSAL_FACTOR);
    }

    fn set(&mut self, requests: f64) {
        self.requests = requests.clamp(MIN_REQUESTS, self.slots);
    }
}
