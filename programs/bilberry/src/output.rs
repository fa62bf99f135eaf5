//! The session of one command, and tables for people.

use std::time;

use bw_client::control;
use bw_wire::{name, rpc};
use serde::Serialize;

use crate::{exit, http, settings};

/// What every command needs: settings, connections and the output form.
pub(crate) struct Session {
    settings: settings::Settings,
    json: bool,
}

impl Session {
    pub(crate) fn new(settings: settings::Settings, json: bool) -> Session {
        Session { settings, json }
    }

    pub(crate) fn operator(&self) -> name::Name {
        self.settings.operator.clone()
    }

    pub(crate) fn control(&self) -> Result<control::Client, exit::Failure> {
        let token = settings::token(&self.settings.control_token_file)?;
        Ok(control::Builder::new(self.settings.control.clone())
            .token(token)
            .build())
    }

    pub(crate) fn entry(&self) -> Result<http::Client, exit::Failure> {
        let token = settings::token(&self.settings.entry_token_file)?;
        Ok(http::Client::new(&self.settings.entry, token))
    }

    /// Prints JSON when asked for, else what the closure prints.
    pub(crate) fn print(
        &self,
        object: &impl Serialize,
        people: impl FnOnce(),
    ) -> Result<(), exit::Failure> {
        if !self.json {
            people();
            return Ok(());
        }
        let text = serde_json::to_string(object)
            .map_err(|error| exit::Failure::failed(error.to_string()))?;
        println!("{text}");
        Ok(())
    }

    /// Reports progress to standard error, unless the output is for scripts.
    pub(crate) fn progress(&self, text: &str) {
        if !self.json {
            eprintln!("{text}");
        }
    }

    /// Asks every control replica for its state.
    pub(crate) async fn statuses(&self) -> Result<Vec<Polled>, exit::Failure> {
        let client = self.control()?;
        let mut polled = Vec::new();
        for address in client.addresses() {
            let status = client.status(address).await;
            polled.push(Polled {
                address: address.clone(),
                error: status.as_ref().err().map(ToString::to_string),
                status: status.ok(),
            });
        }
        if polled.iter().all(|polled| polled.status.is_none()) {
            let message = "no control replica answers; check `control` in the settings";
            return Err(exit::Failure::new(exit::Code::Unavailable, message));
        }
        Ok(polled)
    }
}

/// The answer of one control replica, or why there is none.
#[derive(Serialize)]
pub(crate) struct Polled {
    pub(crate) address: name::Name,
    pub(crate) status: Option<rpc::Status>,
    pub(crate) error: Option<String>,
}

/// Rows of text with aligned columns.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(head: &[&str]) -> Table {
        let mut table = Table { rows: Vec::new() };
        table.row(head);
        table
    }

    pub(crate) fn row<S: ToString>(&mut self, cells: &[S]) {
        self.rows
            .push(cells.iter().map(ToString::to_string).collect());
    }

    pub(crate) fn print(&self) {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            println!("{}", cells.join("  ").trim_end());
        }
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

/// Renders Unix milliseconds as a date and time in UTC.
pub(crate) fn date(ms: u64) -> String {
    let time = time::UNIX_EPOCH + time::Duration::from_millis(ms);
    humantime::format_rfc3339_seconds(time).to_string()
}
