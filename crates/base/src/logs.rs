//! Logs as JSON lines.
//!
//! Each line holds `ts`, `level`, `target`, `message` and the key-value pairs
//! of the log call.

use std::{collections, io, io::Write, sync::mpsc, thread, time};

use serde::{Deserialize, Serialize};

use crate::settings;

/// Log settings.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Settings {
    /// The level of modules without their own: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Levels of individual modules, for example `bw_entry::batch: debug`.
    pub modules: collections::BTreeMap<String, String>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            level: "info".to_owned(),
            modules: collections::BTreeMap::new(),
        }
    }
}

impl settings::Check for Settings {
    fn check(&self, report: &mut settings::Report) {
        let reason = "must be error, warn, info, debug or trace";
        let valid = self.level.parse::<log::LevelFilter>().is_ok();
        report.require(valid, "logs.level", &self.level, reason);
        for (module, level) in &self.modules {
            let valid = level.parse::<log::LevelFilter>().is_ok();
            report.require(valid, &format!("logs.modules.{module}"), level, reason);
        }
    }
}

/// Starts logging to standard error. Later calls in one process have no effect.
pub fn init(settings: &Settings) {
    start(settings, fern::Output::from(io::stderr()));
}

/// Maximum number of lines that wait to be written; further lines are dropped.
const QUEUE_LINES: usize = 2_048;

/// Starts logging to standard output through a bounded queue, so that a slow reader of
/// the output never blocks the program. When the queue is full, lines are dropped and
/// counted; the next line that fits reports how many.
///
/// Later calls in one process have no effect.
pub fn init_stdout(settings: &Settings) {
    let (sender, lines) = mpsc::sync_channel::<Vec<u8>>(QUEUE_LINES);
    let writer = thread::Builder::new().name("logs".to_owned());
    let spawned = writer.spawn(move || write_lines(&lines));
    if let Err(error) = spawned {
        eprintln!("cannot start the log writer thread, logging to standard error instead: {error}");
        return init(settings);
    }
    let queue = Queue {
        sender,
        line: Vec::new(),
        dropped: 0,
    };
    start(
        settings,
        fern::Output::from(Box::new(queue) as Box<dyn io::Write + Send>),
    );
}

/// Writes all lines that are queued at once, which saves system calls.
fn write_lines(lines: &mpsc::Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(mut bytes) = lines.recv() {
        while let Ok(more) = lines.try_recv() {
            bytes.extend_from_slice(&more);
        }
        // A write error is ignored, as there is no other place to report it.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
    }
}

/// The sending end of the queue of lines. The logger flushes after each line.
struct Queue {
    sender: mpsc::SyncSender<Vec<u8>>,
    /// The line so far.
    line: Vec<u8>,
    /// Lines dropped since the last line that fitted.
    dropped: u64,
}

impl io::Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.dropped > 0 {
            let warning = serde_json::json!({"level": "warn", "message": "log lines dropped", "lines": self.dropped});
            self.line
                .extend_from_slice(format!("{warning}\n").as_bytes());
        }
        match self.sender.try_send(std::mem::take(&mut self.line)) {
            Ok(()) => self.dropped = 0,
            Err(_) => self.dropped += 1,
        }
        Ok(())
    }
}

fn start(settings: &Settings, output: fern::Output) {
    let mut dispatch = fern::Dispatch::new()
        .level(settings.level.parse().unwrap_or(log::LevelFilter::Info))
        // At the debug level, these crates log each connection and frame.
        .level_for("hyper_util", log::LevelFilter::Warn)
        .level_for("jsonrpsee_server", log::LevelFilter::Warn)
        .level_for("soketto", log::LevelFilter::Warn)
        .level_for("gotham", log::LevelFilter::Warn)
        .level_for("tracing", log::LevelFilter::Warn);
    for (module, level) in &settings.modules {
        if let Ok(level) = level.parse() {
            dispatch = dispatch.level_for(module.clone(), level);
        }
    }
    let applied = dispatch
        .format(|out, _, record| out.finish(format_args!("{}", line(record))))
        .chain(output)
        .apply();
    // This fails if a logger is set already: roles embedded in one process share the
    // logger of the first one.
    drop(applied);
}

/// Renders a record as one JSON line without the line end.
pub fn line(record: &log::Record<'_>) -> String {
    let mut fields = Fields(serde_json::Map::new());
    let now = humantime::format_rfc3339_millis(time::SystemTime::now());
    fields.put("ts", now.to_string());
    fields.put("level", record.level().as_str().to_ascii_lowercase());
    fields.put("target", record.target().to_owned());
    fields.put("message", record.args().to_string());
    // `Fields` accepts every pair, so this never fails.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}

/// Collects the fields of a log line.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl Fields {
    fn put(&mut self, key: &str, value: String) {
        self.0
            .insert(key.to_owned(), serde_json::Value::String(value));
    }
}

impl<'kvs> log::kv::VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let json = match (value.to_u64(), value.to_i64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
