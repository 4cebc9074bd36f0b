//! Prints time and memory slopes of this machine; no bounds.

use peridotrack_bench::route;

fn main() {
    route::timing::print();
}
