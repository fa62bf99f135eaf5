//! Collects what the logs of many processes say of one request or job.

use std::{collections, fs, path};

use serde_json::Value;

use crate::{args, exit};

/// Fields of a log line that identify what it is about.
const IDENTITIES: [&str; 2] = ["request", "job"];
/// Fields that every line has and that are printed first or not at all.
const COMMON: [&str; 4] = ["ts", "message", "level", "target"];
/// Messages of the lines that end a request or an item.
const ENDS: [&str; 6] = [
    "refused",
    "failed",
    "stream complete",
    "stream ended early",
    "item listed",
    "item given up",
];

/// One line of a log.
struct Line {
    file: String,
    fields: serde_json::Map<String, Value>,
}

impl Line {
    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    fn is_about(&self, id: &str) -> bool {
        IDENTITIES.iter().any(|name| self.text(name) == id)
    }

    /// The job and the number of an item, if the line is about one.
    fn item(&self) -> Option<(String, u64)> {
        let item = self.fields.get("item")?.as_u64()?;
        Some((self.text("job").to_owned(), item))
    }
}

/// Prints the lines about an id in the order of their times, and the decision
/// that ended it.
///
/// # Errors
///
/// Fails if a file cannot be read or no line is about the id.
pub(crate) fn run(command: &args::Explain) -> Result<(), exit::Failure> {
    let mut lines = Vec::new();
    for file in &command.files {
        lines.extend(read(path::Path::new(file))?);
    }
    let chosen = choose(&lines, &command.id);
    if chosen.is_empty() {
        let reason = format!("no line in these files is about {}", command.id);
        return Err(exit::Failure::failed(reason));
    }
    for line in &chosen {
        println!("{}", render(line));
    }
    let mut reversed = chosen.iter().rev();
    match reversed.find(|line| ENDS.contains(&line.text("message"))) {
        Some(end) => println!("ended by: {}", render(end)),
        None => println!("ended by: no line; its process may have died or not logged yet"),
    }
    Ok(())
}

/// Returns the lines about an id by time. The lines of the item that a request
/// id belongs to count as well.
fn choose<'a>(lines: &'a [Line], id: &str) -> Vec<&'a Line> {
    let about = lines.iter().filter(|line| line.is_about(id));
    let named = about.clone().filter(|line| line.text("request") == id);
    let items: collections::BTreeSet<_> = named.filter_map(Line::item).collect();
    let related =
        |line: &&Line| line.is_about(id) || line.item().is_some_and(|item| items.contains(&item));
    let mut chosen: Vec<&Line> = lines.iter().filter(related).collect();
    chosen.sort_by(|left, right| left.text("ts").cmp(right.text("ts")));
    chosen
}

/// Reads the JSON lines of a file. Whatever stands before the first brace, such
/// as the prefix of a log collector, is left out.
fn read(file: &path::Path) -> Result<Vec<Line>, exit::Failure> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file)
        .map_err(|error| exit::Failure::failed(format!("cannot read {name}: {error}")))?;
    let mut lines = Vec::new();
    for line in text.lines() {
        let Some(start) = line.find('{') else {
            continue;
        };
        // A process that was killed can leave a line that breaks off.
        if let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) {
            let file = format!("{name} {}", line[..start].trim()).trim().to_owned();
            lines.push(Line { file, fields });
        }
    }
    Ok(lines)
}

fn render(line: &Line) -> String {
    let mut text = format!(
        "{} {}: {}",
        line.text("ts"),
        line.file,
        line.text("message")
    );
    let rest = line
        .fields
        .iter()
        .filter(|(name, _)| !COMMON.contains(&name.as_str()));
    for (name, value) in rest {
        match value {
            Value::String(value) => text.push_str(&format!(" {name}={value}")),
            value => text.push_str(&format!(" {name}={value}")),
        }
    }
    text
}
