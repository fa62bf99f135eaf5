//! Commands on control replicas, entry VMs and backend servers.

use std::time;

use bw_wire::{backend, member, rpc};

use crate::{args, exit, output};

/// How long `replace` waits until the new replica votes.
const CATCH_UP_WAIT: time::Duration = time::Duration::from_secs(300);
/// Pause between two looks at the members.
const CATCH_UP_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Shows control replicas and entry VMs.
pub(crate) async fn status(session: &output::Session) -> Result<(), exit::Failure> {
    let polled = session.statuses().await?;
    session.print(&polled, || {
        print_groups(&polled);
        println!();
        print_entries(&polled);
    })
}

/// Shows backend servers.
pub(crate) async fn replicas(session: &output::Session) -> Result<(), exit::Failure> {
    let polled = session.statuses().await?;
    let backends: Vec<&backend::Announcement> = polled
        .iter()
        .filter_map(|polled| polled.status.as_ref())
        .flat_map(|status| &status.backends)
        .collect();
    session.print(&backends, || {
        let head = [
            "ID",
            "STATE",
            "SERVICE",
            "FAILURE DOMAIN",
            "ADDRESS",
            "RUNNING",
            "CAPACITY",
            "LOADED",
        ];
        let mut table = output::Table::new(&head);
        for backend in &backends {
            let loaded: Vec<String> = backend
                .loaded
                .iter()
                .map(|loaded| format!("{}@{}", loaded.model, loaded.version))
                .collect();
            table.row(&[
                backend.id.to_string(),
                backend.state.to_string(),
                backend.service.to_string(),
                backend.failure_domain.to_string(),
                backend.address.to_string(),
                backend.load.running.to_string(),
                backend.capacity.to_string(),
                loaded.join(","),
            ]);
        }
        table.print();
    })
}

/// Runs a command on the members.
pub(crate) async fn run(
    session: &output::Session,
    control: args::Control,
) -> Result<(), exit::Failure> {
    match control.command {
        args::ControlCommand::Members(_) => {
            let members = members(session).await?;
            print_members(session, &members)
        }
        args::ControlCommand::Add(add) => {
            let member = learner(add.replica, &add.address, &add.failure_domain);
            let members = session
                .control()?
                .members(&member::Change::Add(member))
                .await?;
            print_members(session, &members)
        }
        args::ControlCommand::Replace(replace) => self::replace(session, &replace).await,
    }
}

async fn replace(session: &output::Session, args: &args::Replace) -> Result<(), exit::Failure> {
    let client = session.control()?;
    let remove = member::Change::Remove { replica: args.lost };
    // While a silent replica still votes, the new one would count as a second loss if it
    // was lost in its turn. A replica that still answers goes last instead, so that no
    // vote is missing meanwhile.
    if is_silent(session, args.lost).await? {
        client.members(&remove).await?;
        session.progress(&format!("replica {} is silent and removed", args.lost));
    }
    let member = learner(args.replica, &args.address, &args.failure_domain);
    client.members(&member::Change::Add(member)).await?;
    session.progress(&format!("replica {} is added and catches up", args.replica));
    let start = time::Instant::now();
    while !votes(session, args.replica).await? {
        if start.elapsed() > CATCH_UP_WAIT {
            let message = format!(
                "replica {} has not caught up. Run the command again when it has, \
                 so that replica {} is removed if it is still a member",
                args.replica, args.lost
            );
            return Err(exit::Failure::failed(message));
        }
        tokio::time::sleep(CATCH_UP_PAUSE).await;
    }
    session.progress(&format!("replica {} votes", args.replica));
    let members = client.members(&remove).await?;
    print_members(session, &members)
}

/// Returns whether the leader of group 0 does not hear a replica.
async fn is_silent(session: &output::Session, replica: u64) -> Result<bool, exit::Failure> {
    let polled = session.statuses().await?;
    let group = leading(&polled).find(|group| group.group == 0);
    Ok(group.is_some_and(|group| group.silent.contains(&replica)))
}

/// Whether a replica votes in every group.
async fn votes(session: &output::Session, replica: u64) -> Result<bool, exit::Failure> {
    let polled = session.statuses().await?;
    let mut groups = leading(&polled).peekable();
    if groups.peek().is_none() {
        return Ok(false);
    }
    Ok(groups.all(|group| {
        group
            .members
            .iter()
            .any(|member| member.replica == replica && member.voter)
    }))
}

async fn members(session: &output::Session) -> Result<Vec<member::Member>, exit::Failure> {
    let polled = session.statuses().await?;
    let group = leading(&polled).find(|group| group.group == 0);
    group.map(|group| group.members.clone()).ok_or_else(|| {
        let message = "no control replica leads; see `bilberry status`";
        exit::Failure::new(exit::Code::Unavailable, message)
    })
}

fn leading(polled: &[output::Polled]) -> impl Iterator<Item = &rpc::GroupStatus> {
    polled
        .iter()
        .filter_map(|polled| polled.status.as_ref())
        .flat_map(|status| &status.groups)
        .filter(|group| group.role == "leader")
}

fn learner(replica: u64, address: &str, failure_domain: &str) -> member::Member {
    member::Member {
        replica,
        address: address.into(),
        failure_domain: failure_domain.into(),
        voter: false,
    }
}

fn print_members(
    session: &output::Session,
    members: &[member::Member],
) -> Result<(), exit::Failure> {
    session.print(&members, || {
        let mut table = output::Table::new(&["REPLICA", "ADDRESS", "FAILURE DOMAIN", "VOTES"]);
        for member in members {
            table.row(&[
                member.replica.to_string(),
                member.address.to_string(),
                member.failure_domain.to_string(),
                if member.voter { "yes" } else { "catching up" }.to_owned(),
            ]);
        }
        table.print();
    })
}

fn print_groups(polled: &[output::Polled]) {
    let mut table = output::Table::new(&[
        "CONTROL", "ADDRESS", "GROUP", "ROLE", "TERM", "COMMIT", "APPLIED",
    ]);
    for polled in polled {
        let Some(status) = &polled.status else {
            let error = polled.error.as_deref().unwrap_or("no answer");
            table.row(&["?", polled.address.as_str(), "", error]);
            continue;
        };
        for group in &status.groups {
            table.row(&[
                status.replica.to_string(),
                polled.address.to_string(),
                group.group.to_string(),
                group.role.clone(),
                group.term.to_string(),
                group.commit.to_string(),
                group.applied.to_string(),
            ]);
        }
    }
    table.print();
}

fn print_entries(polled: &[output::Polled]) {
    let mut table = output::Table::new(&["ENTRY", "FAILURE DOMAIN", "REVISION", "LAST SYNC"]);
    let statuses = polled.iter().filter_map(|polled| polled.status.as_ref());
    for entry in statuses.flat_map(|status| &status.entries) {
        table.row(&[
            entry.entry.to_string(),
            entry.failure_domain.to_string(),
            entry.revision.to_string(),
            format!("{} ms ago", entry.age_ms),
        ]);
    }
    table.print();
}
