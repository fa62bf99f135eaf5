//! Commands on the declared intent.

use std::{fs, time};

use bw_client::control;
use bw_wire::{command::config, intent, name, query};

use crate::{args, exit, output};

/// How long `confirm` waits until the change is in force everywhere. The
/// promise is 5 s; an entry VM that was cut off loses its lease before that.
const IN_FORCE_WAIT: time::Duration = time::Duration::from_secs(15);
/// Pause between two questions whether a change is in force.
const IN_FORCE_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Longest text of a value in a diff for people, in characters.
const VALUE_CHARS: usize = 60;

/// Prints the intent in force.
pub(crate) async fn show(session: &output::Session) -> Result<(), exit::Failure> {
    let (revision, intent) = current(&session.control()?).await?;
    let document = serde_json::json!({ "revision": revision, "intent": intent });
    let yaml = yaml(&intent)?;
    session.print(&document, || {
        println!("# revision {revision}");
        print!("{yaml}");
    })
}

/// Stores a plan and shows its diff.
pub(crate) async fn plan(
    session: &output::Session,
    args: &args::Plan,
) -> Result<(), exit::Failure> {
    let text = fs::read_to_string(&args.file)
        .map_err(|error| exit::Failure::usage(format!("{}: {error}", args.file)))?;
    let intent: intent::Intent = serde_norway::from_str(&text)
        .map_err(|error| exit::Failure::usage(format!("{}: {error}", args.file)))?;
    let client = session.control()?;
    let base = match args.base {
        Some(base) => base,
        None => current(&client).await?.0,
    };
    store_plan(session, &client, base, intent).await.map(drop)
}

/// Applies a plan and waits until it is in force.
pub(crate) async fn confirm(
    session: &output::Session,
    args: &args::Confirm,
) -> Result<(), exit::Failure> {
    let client = session.control()?;
    apply(session, &client, args.plan.as_str().into(), !args.no_wait).await
}

/// Lists applied revisions.
pub(crate) async fn history(
    session: &output::Session,
    args: &args::History,
) -> Result<(), exit::Failure> {
    let client = session.control()?;
    let query = query::Query::History { limit: args.limit };
    let query::Answer::History(revisions) = client.query(0, query).await? else {
        return Err(wrong_answer());
    };
    session.print(&revisions, || {
        let mut table = output::Table::new(&["REVISION", "AT", "OPERATOR", "PLAN", "CHANGED"]);
        for revision in &revisions {
            let paths: Vec<&str> = revision
                .changes
                .iter()
                .map(|change| change.path.as_str())
                .collect();
            table.row(&[
                revision.number.to_string(),
                output::date(revision.at_ms),
                revision.operator.to_string(),
                revision.plan.to_string(),
                paths.join(", "),
            ]);
        }
        table.print();
    })
}

/// Plans, and with `--yes` confirms, a change of the drained backend servers.
pub(crate) async fn drain(
    session: &output::Session,
    args: &args::Drain,
) -> Result<(), exit::Failure> {
    let client = session.control()?;
    let (base, mut intent) = current(&client).await?;
    let changed = match args.undo {
        true => intent.drained.remove(args.backend.as_str()),
        false => intent.drained.insert(args.backend.as_str().into()),
    };
    if !changed {
        return unchanged(session, &client, args, base).await;
    }
    let plan = store_plan(session, &client, base, intent).await?;
    if args.yes {
        return apply(session, &client, plan, true).await;
    }
    Ok(())
}

/// Answers for a backend server that already is as wanted. The change that made
/// it so may be accepted but not in force yet, if its operator left before that.
async fn unchanged(
    session: &output::Session,
    client: &control::Client,
    args: &args::Drain,
    revision: u64,
) -> Result<(), exit::Failure> {
    let state = match args.undo {
        true => "not drained",
        false => "already drained",
    };
    let message = format!("{} is {state}", args.backend);
    if !args.yes {
        return Err(exit::Failure::failed(message));
    }
    session.progress(&message);
    let in_force = wait_in_force(session, client, revision).await?;
    let document = serde_json::json!({ "revision": revision, "in_force": in_force });
    session.print(&document, || {
        println!("{message}, and revision {revision} is in force everywhere");
    })
}

async fn store_plan(
    session: &output::Session,
    client: &control::Client,
    base: u64,
    intent: intent::Intent,
) -> Result<name::Name, exit::Failure> {
    let command = config::Command::Plan {
        request: ulid::Ulid::new().to_string().into(),
        operator: session.operator(),
        base,
        intent: Box::new(intent),
    };
    let reply = client.config(command).await?;
    match &reply {
        config::Reply::Planned {
            plan,
            base,
            changes,
            fetch_mb,
        } => {
            session.print(&reply, || print_plan(plan, *base, changes, *fetch_mb))?;
            Ok(plan.clone())
        }
        other => Err(refused(other)),
    }
}

async fn apply(
    session: &output::Session,
    client: &control::Client,
    plan: name::Name,
    wait: bool,
) -> Result<(), exit::Failure> {
    // The request id follows from plan and operator, so that running the same
    // command again after a lost answer is a resend and not a rival.
    let operator = session.operator();
    let command = config::Command::Confirm {
        request: format!("confirm/{operator}/{plan}").into(),
        operator,
        plan,
    };
    let config::Reply::Applied { revision } = expect_applied(client.config(command).await?)? else {
        return Err(wrong_answer());
    };
    session.progress(&format!("revision {revision} is accepted"));
    let in_force = wait && wait_in_force(session, client, revision).await?;
    let document = serde_json::json!({ "revision": revision, "in_force": in_force });
    session.print(&document, || {
        if in_force {
            println!("revision {revision} is in force everywhere");
        }
    })
}

async fn wait_in_force(
    session: &output::Session,
    client: &control::Client,
    revision: u64,
) -> Result<bool, exit::Failure> {
    let start = time::Instant::now();
    let mut reported = String::new();
    loop {
        let state = client.in_force(revision).await?;
        if state.everywhere {
            return Ok(true);
        }
        let names: Vec<&str> = state.waiting_for.iter().map(name::Name::as_str).collect();
        let waiting = names.join(", ");
        if waiting != reported {
            session.progress(&format!("waiting for {waiting}"));
            reported = waiting;
        }
        if start.elapsed() > IN_FORCE_WAIT {
            let message = format!(
                "revision {revision} is accepted but not in force on {reported}; \
                 see `bilberry status`"
            );
            return Err(exit::Failure::failed(message));
        }
        tokio::time::sleep(IN_FORCE_PAUSE).await;
    }
}

async fn current(client: &control::Client) -> Result<(u64, intent::Intent), exit::Failure> {
    match client.query(0, query::Query::Config).await? {
        query::Answer::Config { revision, intent } => Ok((revision, *intent)),
        _ => Err(wrong_answer()),
    }
}

fn print_plan(plan: &str, base: u64, changes: &[config::Change], fetch_mb: u64) {
    println!("plan {plan} on revision {base}");
    for change in changes {
        match (&change.before, &change.after) {
            (None, Some(after)) => println!("  + {}: {}", change.path, short(after)),
            (Some(before), None) => println!("  - {}: {}", change.path, short(before)),
            (before, after) => {
                let before = before.as_deref().unwrap_or("");
                let after = after.as_deref().unwrap_or("");
                println!("  ~ {}: {} -> {}", change.path, short(before), short(after));
            }
        }
    }
    println!("cost: {fetch_mb} MB from the weight store");
    println!("apply it with: bilberry confirm {plan}");
}

fn short(text: &str) -> String {
    match text.char_indices().nth(VALUE_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

fn expect_applied(reply: config::Reply) -> Result<config::Reply, exit::Failure> {
    match reply {
        config::Reply::Applied { .. } => Ok(reply),
        other => Err(refused(&other)),
    }
}

fn refused(reply: &config::Reply) -> exit::Failure {
    match reply {
        config::Reply::Conflict { current, since } => conflict(*current, since),
        config::Reply::UnknownPlan => {
            let message = "no such plan; make a new one with `bilberry plan`";
            exit::Failure::new(exit::Code::NotFound, message)
        }
        config::Reply::RequestConflict => exit::Failure::new(
            exit::Code::Conflict,
            "the request id was used for something else",
        ),
        config::Reply::Invalid { problems } => exit::Failure::usage(format!(
            "the intent is not valid:\n  {}",
            problems.join("\n  ")
        )),
        _ => wrong_answer(),
    }
}

fn conflict(current: u64, since: &[config::Revision]) -> exit::Failure {
    let mut message = format!("refused: the configuration moved on to revision {current}");
    for revision in since {
        let paths: Vec<&str> = revision
            .changes
            .iter()
            .map(|change| change.path.as_str())
            .collect();
        message.push_str(&format!(
            "\n  revision {} by {}: {}",
            revision.number,
            revision.operator,
            paths.join(", ")
        ));
    }
    message.push_str("\nread it with `bilberry show` and plan again");
    exit::Failure::new(exit::Code::Conflict, message)
}

fn yaml(intent: &intent::Intent) -> Result<String, exit::Failure> {
    serde_norway::to_string(intent).map_err(|error| exit::Failure::failed(error.to_string()))
}

fn wrong_answer() -> exit::Failure {
    exit::Failure::failed("unexpected answer; do bilberry and bw-control have the same version?")
}
