//! Settings in YAML, checked as a whole before a program starts its work.

mod locate;
mod repair;

use std::{fmt, fs, path};

use serde::de;

/// A settings type that can check its own values.
pub trait Check {
    /// Adds a problem to the report for each value that is not allowed.
    fn check(&self, report: &mut Report);
}

/// One problem of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The field, for example `limits.body_bytes`.
    pub field: String,
    /// The line in the file, from 1, if known.
    pub line: Option<usize>,
    /// The value that was found, if there was one.
    pub value: Option<String>,
    /// What is wrong with it.
    pub reason: String,
}

/// Collects the problems of a settings file.
#[derive(Clone, Debug, Default)]
pub struct Report {
    problems: Vec<Problem>,
}

impl Report {
    /// Adds a problem with a value.
    pub fn add(&mut self, field: &str, value: impl fmt::Display, reason: impl Into<String>) {
        self.problems.push(Problem {
            field: field.to_owned(),
            line: None,
            value: Some(value.to_string()),
            reason: reason.into(),
        });
    }

    /// Adds a problem with a value unless `valid` is true.
    pub fn require(&mut self, valid: bool, field: &str, value: impl fmt::Display, reason: &str) {
        if !valid {
            self.add(field, value, reason);
        }
    }

    /// Adds a problem unless the value is an `IP:port` address.
    pub fn require_address(&mut self, field: &str, value: &str) {
        let valid = value.parse::<std::net::SocketAddr>().is_ok();
        self.require(
            valid,
            field,
            value,
            "must be IP:port, for example 127.0.0.1:8080",
        );
    }

    fn add_unknown(&mut self, fields: Vec<String>) {
        let problems = fields.into_iter().map(|field| Problem {
            field,
            line: None,
            value: None,
            reason: "unknown field".to_owned(),
        });
        self.problems.extend(problems);
    }

    /// Returns the problems.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

/// All problems of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// The file.
    pub file: path::PathBuf,
    /// The problems, in the order they were found.
    pub problems: Vec<Problem>,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, problem) in self.problems.iter().enumerate() {
            if position > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{}", self.file.display())?;
            if let Some(line) = problem.line {
                write!(formatter, ":{line}")?;
            }
            write!(formatter, ": {}", problem.field)?;
            if let Some(value) = &problem.value {
                write!(formatter, " = {value}")?;
            }
            write!(formatter, ": {}", problem.reason)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns every problem that was found: an unreadable file, invalid YAML,
/// unknown fields, values of the wrong type and values that are not allowed.
pub fn load<T>(file: &path::Path) -> Result<T, Error>
where
    T: de::DeserializeOwned + Check,
{
    let text = fs::read_to_string(file).map_err(|error| Error {
        file: file.to_owned(),
        problems: vec![file_problem(None, error.to_string())],
    })?;
    parse(file, &text)
}

/// Reads and checks settings from text; `file` is only named in problems.
///
/// # Errors
///
/// Fails like [`load`].
pub fn parse<T>(file: &path::Path, text: &str) -> Result<T, Error>
where
    T: de::DeserializeOwned + Check,
{
    let mut unknown = Vec::new();
    let document = serde_norway::Deserializer::from_str(text);
    let parsed: Result<T, serde_norway::Error> =
        serde_ignored::deserialize(document, |field| unknown.push(field.to_string()));
    match parsed {
        Ok(settings) => {
            let mut report = Report::default();
            report.add_unknown(unknown);
            settings.check(&mut report);
            into_result(file, text, report, settings)
        }
        Err(error) => Err(Error {
            file: file.to_owned(),
            problems: all_problems::<T>(text, &error),
        }),
    }
}

/// Returns the problems of a text that cannot be deserialized.
fn all_problems<T>(text: &str, error: &serde_norway::Error) -> Vec<Problem>
where
    T: de::DeserializeOwned + Check,
{
    let found = repair::find::<T>(text).filter(|found| !found.problems.is_empty());
    let Some(found) = found else {
        let line = error.location().map(|location| location.line());
        return vec![file_problem(line, error.to_string())];
    };
    let mut report = Report::default();
    report.add_unknown(found.unknown);
    if let Some(settings) = &found.settings {
        settings.check(&mut report);
    }
    // Drops what the check reports about placeholders, as they are not in the file.
    let is_replaced = |field: &str| found.problems.iter().any(|found| found.field == field);
    report
        .problems
        .retain(|problem| !is_replaced(&problem.field));
    let mut problems = found.problems;
    problems.append(&mut report.problems);
    with_lines(text, Report { problems })
}

fn into_result<T>(file: &path::Path, text: &str, report: Report, settings: T) -> Result<T, Error> {
    if report.problems.is_empty() {
        return Ok(settings);
    }
    Err(Error {
        file: file.to_owned(),
        problems: with_lines(text, report),
    })
}

/// Returns a problem of the file as a whole.
fn file_problem(line: Option<usize>, reason: String) -> Problem {
    Problem {
        field: "file".to_owned(),
        line,
        value: None,
        reason,
    }
}

/// Returns the problems with the lines of their fields.
fn with_lines(text: &str, report: Report) -> Vec<Problem> {
    report
        .problems
        .into_iter()
        .map(|problem| Problem {
            line: locate::line_of(text, &problem.field),
            ..problem
        })
        .collect()
}
