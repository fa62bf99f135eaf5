//! Backups of the durable state.

use std::{fs, io, io::Write as _, path};

use bw_client::control;
use serde::Serialize;

use crate::{args, exit, output};

/// Times that a group's backup is begun; a busy group replaces its snapshot
/// while it is read.
const ATTEMPTS: u32 = 5;

/// A saved group.
#[derive(Debug, Serialize)]
struct Saved {
    group: u32,
    /// The last log index that the backup covers.
    index: u64,
    bytes: u64,
}

/// Saves all groups into a new folder.
pub(crate) async fn run(
    session: &output::Session,
    snapshot: &args::Snapshot,
) -> Result<(), exit::Failure> {
    let groups = groups(session).await?;
    let folder = path::Path::new(&snapshot.folder);
    fs::create_dir(folder).map_err(|error| {
        let folder = folder.display();
        exit::Failure::usage(format!(
            "{folder}: {error}; name a folder that does not exist"
        ))
    })?;
    let client = session.control()?;
    let mut saved = Vec::new();
    for group in groups {
        let group = save(session, &client, folder, group).await?;
        saved.push(group);
    }
    fs::File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(|error| failed(folder, &error))?;
    session.print(&saved, || {
        let mut table = output::Table::new(&["GROUP", "INDEX", "BYTES"]);
        for saved in &saved {
            let row = [saved.group.into(), saved.index, saved.bytes];
            table.row(&row.map(|number: u64| number.to_string()));
        }
        table.print();
    })
}

async fn groups(session: &output::Session) -> Result<Vec<u32>, exit::Failure> {
    let polled = session.statuses().await?;
    let statuses = polled.iter().filter_map(|polled| polled.status.as_ref());
    let groups = statuses.map(|status| status.groups.iter().map(|group| group.group).collect());
    let longest = groups.max_by_key(Vec::len);
    Ok(longest.unwrap_or_default())
}

async fn save(
    session: &output::Session,
    client: &control::Client,
    folder: &path::Path,
    group: u32,
) -> Result<Saved, exit::Failure> {
    let file = folder.join(format!("group-{group}.backup"));
    let mut attempt = 1;
    loop {
        match download(client, &file, group).await {
            Err(failure) if attempt < ATTEMPTS => {
                session.progress(&format!("group {group}: {failure}; trying again"));
                attempt += 1;
            }
            result => return result,
        }
    }
}

async fn download(
    client: &control::Client,
    file: &path::Path,
    group: u32,
) -> Result<Saved, exit::Failure> {
    let created = fs::File::create(file).map_err(|error| failed(file, &error))?;
    let mut writer = io::BufWriter::new(created);
    let mut saved = Saved {
        group,
        index: 0,
        bytes: 0,
    };
    let mut index = None;
    loop {
        let piece = client.backup(group, index, saved.bytes).await?;
        let data = piece.decode().ok_or_else(|| {
            exit::Failure::failed("the control replica sent a piece that is no base64 text")
        })?;
        writer
            .write_all(&data)
            .map_err(|error| failed(file, &error))?;
        index = Some(piece.index);
        saved.index = piece.index;
        saved.bytes += data.len() as u64;
        if saved.bytes == piece.size {
            break;
        }
        if data.is_empty() {
            return Err(exit::Failure::failed(format!(
                "group {group} ends after {} of {} bytes",
                saved.bytes, piece.size
            )));
        }
    }
    let synced = writer.into_inner().map_err(io::IntoInnerError::into_error);
    synced
        .and_then(|file| file.sync_all())
        .map_err(|error| failed(file, &error))?;
    Ok(saved)
}

fn failed(file: &path::Path, error: &io::Error) -> exit::Failure {
    exit::Failure::failed(format!("{}: {error}", file.display()))
}
