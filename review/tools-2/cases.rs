//! The scripts' cases: each starts a small deployment, plays its events and judges what
//! clients, replicas and the operator saw.
//!
//! Usage: `review-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held and 2
//! if the case could not run.

mod adopted;
mod engine;
mod fleet;
mod http;
mod jobs;
mod stranded;
mod uncleared;
mod unended;
mod unused;

use std::{env, path::Path, process};

/// Whether the rule of a case held, or why the case could not run.
pub type Outcome = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD");
        process::exit(fleet::EXIT_NOT_RUN);
    };
    let record = match fleet::Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write {record}: {error}");
            process::exit(fleet::EXIT_NOT_RUN);
        }
    };
    let outcome = match case.as_str() {
        "adopted" => adopted::play(&record),
        "stranded" => stranded::play(&record),
        "uncleared" => uncleared::play(&record),
        "unended" => unended::play(&record),
        "unused" => unused::play(&record),
        _ => Err(format!("no case {case}")),
    };
    let (code, text) = match outcome {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(reason) => (
            fleet::EXIT_NOT_RUN,
            format!("the case could not run: {reason}"),
        ),
    };
    record.note(&text);
    println!("{text}");
    process::exit(code);
}
