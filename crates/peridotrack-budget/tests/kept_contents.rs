//! Kept contents of a shard, which save the read before the next update.
//!
//! Guards against updates from outdated contents: after an unknown outcome, or when the contents
//! are old, the shard has to be read again.

use peridotrack_budget::{
    action::Action,
    event::Event,
    holder::Holder,
    ledger::{Shard, Versioned},
    options::Options,
};
use peridotrack_types::{id, name};
use rstest::rstest;

const SECOND_US: u64 = 1_000_000;
const MERGE_US: u64 = 2_000;
const KEEP_US: u64 = 3 * SECOND_US;
const PURCHASED: u64 = 1_000_000;

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteOutcome {
    Done,
    /// Another holder wrote first; the conflict returns the current contents.
    Overtaken,
    Unknown,
}

struct Fixture {
    holder: Holder,
    budget: name::Budget,
    stored: Option<(u64, Shard)>,
    now_us: u64,
    write_outcome: WriteOutcome,
    reads: usize,
    writes: usize,
}

impl Fixture {
    /// Creates a holder that has drawn once.
    fn new() -> Self {
        let options = Options {
            shard_count: 1,
            keep_us: KEEP_US,
            urgent_merge_us: MERGE_US,
            draw_floor_tokens: 1,
            ..Options::default()
        };
        let mut fixture = Self {
            holder: Holder::new(id::Incarnation(1), options, 0),
            budget: name::Budget::from("t-1"),
            stored: None,
            now_us: SECOND_US,
            write_outcome: WriteOutcome::Done,
            reads: 0,
            writes: 0,
        };
        let budgets = [(fixture.budget.clone(), PURCHASED)];
        let actions = fixture.holder.configure(fixture.now_us, 1, budgets);
        fixture.run(actions);
        fixture.draw();
        (fixture.reads, fixture.writes) = (0, 0);
        fixture
    }

    /// Reserves more than is granted, until a draw covers the reservation.
    fn draw(&mut self) {
        let tokens = self
            .holder
            .report(&self.budget)
            .map_or(10, |report| report.available_tokens + PURCHASED / 100);
        while self
            .holder
            .reserve(self.now_us, &self.budget, tokens)
            .is_err()
        {
            self.now_us += 10_000;
            let actions = self.holder.on_event(self.now_us, Event::Tick);
            self.run(actions);
            assert!(self.writes < 20, "nothing was drawn");
        }
    }

    fn run(&mut self, actions: Vec<Action>) {
        for action in actions {
            let event = match action {
                Action::Read { shard } => {
                    self.reads += 1;
                    match &self.stored {
                        None => Event::ShardAbsent { shard },
                        Some((version, body)) => Event::ShardRead {
                            shard,
                            version: *version,
                            body: body.clone(),
                        },
                    }
                }
                Action::Write {
                    shard,
                    expected,
                    body,
                } => self.write(shard, expected, body),
                _ => continue,
            };
            let actions = self.holder.on_event(self.now_us, event);
            self.run(actions);
        }
    }

    fn write(&mut self, shard: u32, expected: Option<u64>, body: Shard) -> Event {
        self.writes += 1;
        match std::mem::replace(&mut self.write_outcome, WriteOutcome::Done) {
            WriteOutcome::Unknown => return Event::WriteUnknown { shard },
            WriteOutcome::Overtaken => {
                let (version, _) = self.stored.as_mut().unwrap();
                *version += 1;
            }
            WriteOutcome::Done => {}
        }
        let version = self.stored.as_ref().map(|(version, _)| *version);
        if version != expected {
            return Event::WriteConflict {
                shard,
                current: self
                    .stored
                    .clone()
                    .map(|(version, body)| Versioned { version, body }),
            };
        }
        let version = version.unwrap_or(0) + 1;
        self.stored = Some((version, body));
        Event::Written { shard, version }
    }
}

#[rstest]
#[case::current_contents(0, WriteOutcome::Done, 0, 1)]
#[case::contents_returned_with_a_conflict(0, WriteOutcome::Overtaken, 0, 2)]
#[case::unknown_outcome_of_a_write(0, WriteOutcome::Unknown, 1, 2)]
#[case::old_contents(KEEP_US + SECOND_US, WriteOutcome::Done, 1, 1)]
fn update_reads_only_without_current_contents(
    #[case] pause_us: u64,
    #[case] write_outcome: WriteOutcome,
    #[case] reads: usize,
    #[case] writes: usize,
) {
    let mut fixture = Fixture::new();
    fixture.now_us += pause_us;
    fixture.write_outcome = write_outcome;
    fixture.draw();
    assert_eq!((fixture.reads, fixture.writes), (reads, writes));
}
