//! Arguments of the command line.

use argh::FromArgs;

/// Declares intent, watches the system and runs batch jobs.
#[derive(FromArgs)]
pub(crate) struct Args {
    /// settings file in YAML
    #[argh(option)]
    pub(crate) config: Option<String>,
    /// check the settings and exit
    #[argh(switch)]
    pub(crate) check: bool,
    /// print the version and exit
    #[argh(switch)]
    pub(crate) version: bool,
    /// print JSON instead of tables
    #[argh(switch)]
    pub(crate) json: bool,
    /// control addresses, separated by commas
    #[argh(option)]
    pub(crate) control: Option<String>,
    /// address of an entry VM or of the load balancer
    #[argh(option)]
    pub(crate) entry: Option<String>,
    /// name that stands in the history
    #[argh(option)]
    pub(crate) operator: Option<String>,
    #[argh(subcommand)]
    pub(crate) command: Option<Command>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Show(Show),
    Plan(Plan),
    Confirm(Confirm),
    History(History),
    Drain(Drain),
    Status(Status),
    Replicas(Replicas),
    Control(Control),
    Snapshot(Snapshot),
    Jobs(Jobs),
    Explain(Explain),
}

/// Show what logs say of one request, item or job, in order, and what ended it.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// the id of a request, an item or a job
    #[argh(positional)]
    pub(crate) id: String,
    /// logs of any processes
    #[argh(positional)]
    pub(crate) files: Vec<String>,
}

/// Print the declared intent in force, as YAML.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {}

/// Store a plan and show what it will change. Nothing happens until `confirm`.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(crate) struct Plan {
    /// the whole new intent, as a YAML file
    #[argh(positional)]
    pub(crate) file: String,
    /// the revision the file was made from; the current one by default
    #[argh(option)]
    pub(crate) base: Option<u64>,
}

/// Apply exactly the change that a plan showed.
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm")]
pub(crate) struct Confirm {
    /// the plan's id
    #[argh(positional)]
    pub(crate) plan: String,
    /// return once the change is accepted, before it is in force everywhere
    #[argh(switch)]
    pub(crate) no_wait: bool,
}

/// List applied changes: who, when, what.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// the most changes to list
    #[argh(option, default = "20")]
    pub(crate) limit: u32,
}

/// Plan to stop new work on a backend server, or to allow it again.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// the backend server's id
    #[argh(positional)]
    pub(crate) backend: String,
    /// allow new work again
    #[argh(switch)]
    pub(crate) undo: bool,
    /// confirm the plan at once
    #[argh(switch)]
    pub(crate) yes: bool,
}

/// Show control replicas and entry VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Show backend servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "replicas")]
pub(crate) struct Replicas {}

/// Show or change the control replicas.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub(crate) struct Control {
    #[argh(subcommand)]
    pub(crate) command: ControlCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ControlCommand {
    Members(Members),
    Add(Add),
    Replace(Replace),
}

/// List the control replicas.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
pub(crate) struct Members {}

/// Add a control replica. It votes once it has caught up.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub(crate) struct Add {
    /// a replica id that was never used before
    #[argh(option)]
    pub(crate) replica: u64,
    /// IP:port of its control port
    #[argh(option)]
    pub(crate) address: String,
    /// its failure domain
    #[argh(option)]
    pub(crate) failure_domain: String,
}

/// Add a control replica and, once it votes, remove the lost one.
#[derive(FromArgs)]
#[argh(subcommand, name = "replace")]
pub(crate) struct Replace {
    /// the id of the lost replica
    #[argh(option)]
    pub(crate) lost: u64,
    /// a replica id that was never used before
    #[argh(option)]
    pub(crate) replica: u64,
    /// IP:port of the new replica's control port
    #[argh(option)]
    pub(crate) address: String,
    /// its failure domain
    #[argh(option)]
    pub(crate) failure_domain: String,
}

/// Save the whole durable state into a new folder, as a backup.
#[derive(FromArgs)]
#[argh(subcommand, name = "snapshot")]
pub(crate) struct Snapshot {
    /// the folder
    #[argh(positional)]
    pub(crate) folder: String,
}

/// Submit and follow batch jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
pub(crate) struct Jobs {
    #[argh(subcommand)]
    pub(crate) command: JobsCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum JobsCommand {
    Submit(Submit),
    List(List),
    Show(ShowJob),
    Cancel(Cancel),
    Results(Results),
}

/// Upload a JSON-lines file and create a job for it.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct Submit {
    /// the file
    #[argh(positional)]
    pub(crate) file: String,
    /// the path that the items call
    #[argh(option, default = "String::from(\"/v1/chat/completions\")")]
    pub(crate) endpoint: String,
    /// when the job is due, for example 24h
    #[argh(option, default = "String::from(\"24h\")")]
    pub(crate) window: String,
    /// idempotency key; a resend with the same key gives the same job
    #[argh(option)]
    pub(crate) key: Option<String>,
    /// wait until the job has ended and show its progress
    #[argh(switch)]
    pub(crate) wait: bool,
}

/// List jobs, newest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

/// Show a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ShowJob {
    /// the job's id
    #[argh(positional)]
    pub(crate) job: String,
}

/// Cancel a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct Cancel {
    /// the job's id
    #[argh(positional)]
    pub(crate) job: String,
}

/// Print a job's results, one JSON line an item.
#[derive(FromArgs)]
#[argh(subcommand, name = "results")]
pub(crate) struct Results {
    /// the job's id
    #[argh(positional)]
    pub(crate) job: String,
    /// print the failed items instead
    #[argh(switch)]
    pub(crate) errors: bool,
}
