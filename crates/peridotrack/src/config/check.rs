//! `config check`: checks the files of a register and rules, each alone and against each other.

use std::path::Path;

use eyre::WrapErr;
use peridotrack_types::{check, config, register::Register, rules::Rules};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    arguments::Inputs,
    report::{Exit, Failure, OrExit, Report},
};

/// An error in an input file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Path of the input file, as given on the command line.
    pub file: String,
    /// JSON path of the offending value within the file.
    pub path: String,
    /// Description of the error.
    pub message: String,
}

/// Reads and checks the files, and reports every error.
///
/// A report with errors exits with [`Exit::Usage`].
///
/// # Errors
///
/// Returns a failure if a file cannot be read.
pub fn check(inputs: &Inputs) -> Result<Report, Failure> {
    let problems = match read(inputs)? {
        Ok((register, rules)) => {
            let summary = summary(&register, &rules);
            let json = serde_json::json!({ "problems": [], "summary": summary });
            return Ok(Report::done(format!("valid: {summary}\n"), json));
        }
        Err(problems) => problems,
    };
    let lines = problems.iter().map(|problem| {
        let Problem {
            file,
            path,
            message,
        } = problem;
        format!("{file}: {path}: {message}\n")
    });
    let text = format!("{}{} problems\n", lines.collect::<String>(), problems.len());
    let json = serde_json::json!({ "problems": problems });
    Ok(Report::done(text, json).exit(Exit::Usage))
}

/// Reads the files, and checks them against each other if both parse.
///
/// # Errors
///
/// Returns a failure if a file cannot be read; the inner error holds every problem.
pub fn read(inputs: &Inputs) -> Result<Result<(Register, Rules), Vec<Problem>>, Failure> {
    let register = parse::<Register>(&inputs.register)?;
    let rules = parse::<Rules>(&inputs.rules)?;
    let (register, rules) = match (register, rules) {
        (Ok(register), Ok(rules)) => (register, rules),
        (register, rules) => {
            let register = register.err().unwrap_or_default();
            let rules = rules.err().unwrap_or_default();
            return Ok(Err(register.into_iter().chain(rules).collect()));
        }
    };
    let problems = config::check(&register, &rules);
    if problems.is_empty() {
        return Ok(Ok((register, rules)));
    }
    let in_file = |problem| locate(inputs, problem);
    Ok(Err(problems.into_iter().map(in_file).collect()))
}

/// Returns the numbers of elements that a configuration declares, as text.
pub fn summary(register: &Register, rules: &Rules) -> String {
    format!(
        "{} failure domains, {} client accounts, {} engines, {} servers of plain services, \
         {} budgets",
        register.failure_domains.len(),
        register.client_accounts.len(),
        register.engines.len(),
        register.services.len(),
        rules.budgets.len(),
    )
}

/// Maps a problem of a configuration to the input file that holds it, and its path to that file.
///
/// A problem of neither part is attributed to the register file.
pub fn locate(inputs: &Inputs, problem: check::Problem) -> Problem {
    let check::Problem { path, message } = problem;
    let (file, path) = if let Some(rest) = path.strip_prefix("$.register") {
        (&inputs.register, format!("${rest}"))
    } else if let Some(rest) = path.strip_prefix("$.rules") {
        (&inputs.rules, format!("${rest}"))
    } else {
        (&inputs.register, path)
    };
    Problem {
        file: file.display().to_string(),
        path,
        message,
    }
}

/// Parses one file; the inner error holds every problem of it.
fn parse<T: DeserializeOwned>(file: &Path) -> Result<Result<T, Vec<Problem>>, Failure> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))
        .or_exit(Exit::Usage)?;
    let in_file = |problem: check::Problem| Problem {
        file: file.display().to_string(),
        path: problem.path,
        message: problem.message,
    };
    Ok(check::parse(&text).map_err(|problems| problems.into_iter().map(in_file).collect()))
}
