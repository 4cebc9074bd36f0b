//! Prints the catalogue of events, the content of docs/EVENTS.md, to standard output.

fn main() {
    print!("{}", peridotrack_kernel::event::catalogue());
}
