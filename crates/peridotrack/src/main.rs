//! The operators' tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    peridotrack::run::run(arguments).into()
}
