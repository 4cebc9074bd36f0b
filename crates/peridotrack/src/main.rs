//! Binary of the operators' tool; the commands are in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    peridotrack::run::run(arguments).into()
}
