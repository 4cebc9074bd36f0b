//! Prints memory, sizes and processor time at growing sizes as JSON lines; no bounds.
//!
//! Each memory figure comes from a process of its own, which this binary starts with the
//! arguments `memory CASE SIZE`.

use std::{env, process::ExitCode};

use peridotrack_bench::{
    capacity::{memory, size, time},
    report::Report,
};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if let [command, case, size] = arguments.as_slice()
        && command == "memory"
    {
        return match memory::run_case(case, size) {
            Ok(bytes) => {
                println!("{bytes}");
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        };
    }
    let mut report = Report::default();
    size::measure(&mut report);
    time::measure(&mut report);
    match memory::measure(&mut report) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
