//! Runs a command and prints its report.

use std::{ffi::OsString, io::Write};

use crate::{
    arguments::{self, Command, Invocation},
    budget, config, demo, explain, quarantine,
    report::{Exit, Failure, OrExit, Report},
    status, timeline,
};

/// Runs the tool with the arguments of the process, without the program name.
///
/// A failure is printed on standard error, and with `--json` also as an object on standard output.
pub fn run(arguments: Vec<OsString>) -> Exit {
    let json = arguments.iter().any(|argument| argument == "--json");
    let outcome = arguments::parse(arguments).and_then(execute);
    match outcome {
        Ok(report) => {
            print(&report, json);
            report.exit
        }
        Err(failure) => {
            if json {
                let error = serde_json::json!({ "error": failure.to_string() });
                print(&Report::done("", error), json);
            }
            eprintln!("peridotrack: {failure}");
            failure.exit
        }
    }
}

/// Runs a command on a new event loop.
fn execute(invocation: Invocation) -> Result<Report, Failure> {
    if invocation.command == Command::Demo {
        // The demonstration builds its own event loop.
        return demo::demo();
    }
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .or_exit(Exit::Refused)?;
    runtime.block_on(dispatch(invocation.command))
}

async fn dispatch(command: Command) -> Result<Report, Failure> {
    match command {
        Command::Print(text) => {
            let json = serde_json::json!({ "text": text });
            Ok(Report::done(text, json))
        }
        Command::ConfigCheck(inputs) => config::check::check(&inputs),
        Command::ConfigApply(apply) => config::apply::apply(&apply).await,
        Command::ConfigShow { platform } => config::show::show(platform).await,
        Command::Status(routers) => status::status(&routers).await,
        Command::BudgetShow { platform, budget } => budget::show(platform, budget.as_ref()).await,
        Command::BudgetRelease(release) => budget::release(&release).await,
        Command::QuarantineShow { store } => quarantine::show(store).await,
        Command::QuarantineLift { store, signature } => quarantine::lift(store, signature).await,
        Command::Timeline { routers, last } => timeline::timeline(&routers, last).await,
        Command::TimelineLogs { logs, last } => timeline::timeline_from_logs(&logs, last),
        Command::ExplainLogs { request, logs } => explain::explain_from_logs(&request, &logs),
        Command::Demo => Err(Failure::new(Exit::Usage, "demo builds its own event loop")),
        Command::Explain { request, routers } => explain::explain(request, &routers).await,
    }
}

/// Prints a report. Errors are ignored: a closed pipe does not change the command's outcome.
fn print(report: &Report, json: bool) {
    let mut stdout = std::io::stdout().lock();
    let _ = if json {
        writeln!(stdout, "{}", report.json)
    } else {
        write!(stdout, "{}", report.text)
    };
}
