//! Prints docs/EVENTS.md.

fn main() {
    print!("{}", peridotrack_kernel::event::catalogue());
}
