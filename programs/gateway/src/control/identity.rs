//! The identity of a replica, stored on its disk.
//!
//! A replica whose disk was lost must not come back under its old id, because it
//! has forgotten its votes and the entries that it acknowledged. The id is therefore
//! stored on that same disk.

use std::{fs, io, io::Write, net, path};

use bw_coord::{ReplicaId, member};
use bw_wire::name::Name;

use crate::settings;

const FILE: &str = "identity";
const TEMPORARY_FILE: &str = "identity.tmp";
/// The folder of the log inside the data folder.
const LOG_FOLDER: &str = "log";

/// The id of a replica, and the members of the group that it bootstraps.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) replica: ReplicaId,
    /// The initial members of the group; empty for a replica that joins later.
    pub(crate) members: Vec<member::Member>,
}

/// Returns the folder of the log.
pub(crate) fn log_folder(data: &path::Path) -> path::PathBuf {
    data.join(LOG_FOLDER)
}

/// Reads the identity, or creates and stores one on an empty disk.
///
/// # Errors
///
/// Fails if the disk cannot be read or written.
pub(crate) fn load(settings: &settings::Settings, data: &path::Path) -> io::Result<Identity> {
    if let Some(identity) = read(data)? {
        // Its rename may not be durable yet. Opening the log syncs this folder before
        // anything relies on the identity.
        return Ok(identity);
    }
    fs::create_dir_all(data)?;
    // A log without an identity belongs to an unknown replica.
    remove_log(data)?;
    let identity = create(settings);
    write(data, &identity)?;
    Ok(identity)
}

/// Replaces the identity by that of a joining replica, and removes the log. Even an
/// initial member gets a new id: under its old one it could vote twice in a term,
/// because it has forgotten its votes.
///
/// # Errors
///
/// Fails if the disk cannot be written.
pub(crate) fn replace(settings: &settings::Settings, data: &path::Path) -> io::Result<()> {
    fs::create_dir_all(data)?;
    write(data, &joining(settings))?;
    remove_log(data)
}

fn remove_log(data: &path::Path) -> io::Result<()> {
    match fs::remove_dir_all(log_folder(data)) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Creates an identity. On the first start the seeds bootstrap the group; all other
/// replicas join it under a random id.
fn create(settings: &settings::Settings) -> Identity {
    let mut seeds = settings.internal_seeds();
    seeds.sort_unstable();
    seeds.dedup();
    let own = settings.internal_address();
    let position = seeds.iter().position(|seed| *seed == own);
    match position.filter(|_| settings.first_start) {
        Some(position) => Identity {
            replica: ReplicaId(position as u64 + 1),
            members: founding_members(&seeds),
        },
        None => joining(settings),
    }
}

/// Creates the identity of a replica that joins the group later.
fn joining(settings: &settings::Settings) -> Identity {
    Identity {
        replica: ReplicaId(random_id(settings.seeds.len() as u64)),
        members: Vec::new(),
    }
}

fn founding_members(seeds: &[net::SocketAddr]) -> Vec<member::Member> {
    let numbered = seeds.iter().zip(1..);
    numbered
        .map(|(seed, id)| member::Member::voter(ReplicaId(id), seed.to_string(), ""))
        .collect()
}

/// Returns a random id that no initial member has.
fn random_id(founders: u64) -> u64 {
    rand::random::<u64>().max(founders + 1)
}

fn read(data: &path::Path) -> io::Result<Option<Identity>> {
    let text = match fs::read_to_string(data.join(FILE)) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    Ok(parse(&text))
}

fn parse(text: &str) -> Option<Identity> {
    let mut lines = text.lines();
    let replica = lines.next()?.parse().ok()?;
    let mut members = Vec::new();
    for line in lines {
        if line == "end" {
            let replica = ReplicaId(replica);
            return Some(Identity { replica, members });
        }
        let (id, address) = line.split_once(' ')?;
        members.push(member::Member::voter(
            ReplicaId(id.parse().ok()?),
            address,
            "",
        ));
    }
    None
}

fn write(data: &path::Path, identity: &Identity) -> io::Result<()> {
    let mut text = format!("{}\n", identity.replica);
    for member in &identity.members {
        text.push_str(&format!("{} {}\n", member.replica, member.address));
    }
    text.push_str("end\n");
    let temporary = data.join(TEMPORARY_FILE);
    let mut file = fs::File::create(&temporary)?;
    file.write_all(text.as_bytes())?;
    file.sync_all()?;
    fs::rename(&temporary, data.join(FILE))?;
    fs::File::open(data)?.sync_all()
}

/// Returns the internal address of a member.
pub(crate) fn address(member: &member::Member) -> Name {
    member.address.as_str().into()
}
