//! The replicated state machine: the published configuration, the batch jobs and the
//! backend servers and VMs that a new leader must know.
//!
//! Bodies and outputs of items are stored as payloads outside the log. The state holds
//! their keys and the data that decisions need.

mod command;

use std::collections::{BTreeMap, BTreeSet};

use bw_coord::{host, payload};
use bw_wire::name::Name;
use serde::{Deserialize, Serialize};

use crate::{registry, route, suspect::trial};

pub use command::{Applied, Command, End, NewItem, NewJob, Output, Published};

/// Adds up tokens. They are stated by callers, so the sum saturates.
fn total(tokens: impl Iterator<Item = u64>) -> u64 {
    tokens.fold(0, u64::saturating_add)
}

/// An item of an accepted job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The id, which is the request id at the backend server.
    pub id: Name,
    /// The path with its query.
    pub path: Name,
    /// The headers of the request to the backend server.
    pub headers: Vec<(Name, Name)>,
    /// Tokens of the prompt and of the longest output, as stated by the caller.
    pub tokens: u64,
    /// The payload key of its body.
    body: u64,
    /// Whether it has ended and is listed among the results of its job.
    pub listed: bool,
    /// Runs that failed according to the backend server.
    pub failures: u32,
    /// The number of the last stored event of its output; 0 before the first.
    pub saved: u64,
    /// The payload keys of the stored parts of its output, in order.
    parts: Vec<u64>,
}

/// An entry in the list of a job's results.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Listed {
    /// The index of the item.
    item: u32,
    end: End,
}

/// A backend server with its last announcement that changed its entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Backend {
    announcement: registry::Announcement,
    /// When the announcement was stored, in Unix milliseconds of the leader.
    changed_ms: u64,
}

/// An accepted job with the state of its items.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The key of its route.
    pub route: route::Key,
    /// When it was submitted, in Unix milliseconds of the leader.
    pub submitted_ms: u64,
    /// When its results are due, in milliseconds after its submission.
    pub complete_ms: u64,
    /// When its items may be given up, in milliseconds after its submission.
    pub give_up_ms: u64,
    /// The number of failed runs after which an item is given up. A run is failed if the
    /// backend server itself responded so.
    pub attempts: u32,
    /// The items. Commands name them by their index.
    pub items: Vec<Item>,
    /// Whether a caller has ended it.
    pub ended: bool,
    /// The listed items, in the order in which they ended. Their positions never change.
    results: Vec<Listed>,
}

impl Job {
    /// Returns whether it was not ended and has items that are not listed.
    pub fn is_open(&self) -> bool {
        !self.ended && self.results.len() < self.items.len()
    }

    /// Returns the tokens of the items that wait or run.
    fn waiting_tokens(&self) -> u64 {
        let unlisted = self.items.iter().filter(|item| !item.listed);
        total(unlisted.map(|item| item.tokens))
    }

    /// Returns the number of listed results.
    pub fn listed(&self) -> usize {
        self.results.len()
    }
}

/// A result that a caller reads.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Result {
    /// The id of the item.
    pub id: Name,
    /// Whether its output is complete or it was given up.
    pub end: End,
    /// The data of all events, joined by line feeds; empty if it was given up.
    pub output: Vec<u8>,
}

/// A page of results.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The number of items of the job.
    pub total: u32,
    /// The results from the requested position on.
    pub results: Vec<Result>,
}

/// The replicated state machine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    published: Option<Published>,
    jobs: BTreeMap<Name, Job>,
    evacuated: BTreeSet<Name>,
    backends: BTreeMap<Name, Backend>,
    /// Tokens of unlisted items of jobs that were not ended, by route. The sum is kept
    /// so that a submission need not visit all open items.
    waiting: BTreeMap<route::Key, u64>,
    /// The next unused payload key.
    next_key: u64,
    /// VMs that can be evacuated. A snapshot holds them after the other fields, as
    /// older snapshots have only these.
    #[serde(skip)]
    registered: BTreeSet<Name>,
    /// Requests that may crash backend servers, with their trials. A snapshot holds them
    /// last.
    #[serde(skip)]
    trials: trial::Trials,
    /// Payload changes that [`host::Machine::effects`] has not returned yet.
    #[serde(skip)]
    effects: Vec<payload::Effect>,
}

impl Ledger {
    /// Returns the configuration in force.
    pub fn published(&self) -> Option<&Published> {
        self.published.as_ref()
    }

    /// Returns the version of the configuration in force, 0 before the first.
    pub fn version(&self) -> u64 {
        let published = self.published.as_ref();
        published.map_or(0, |published| published.config.version)
    }

    /// Returns all jobs by id.
    pub fn jobs(&self) -> &BTreeMap<Name, Job> {
        &self.jobs
    }

    /// Returns the tokens of the items that wait or run on a route.
    pub fn waiting_tokens(&self, route: &route::Key) -> u64 {
        self.waiting.get(route).copied().unwrap_or(0)
    }

    /// Returns the stored announcements of backend servers, ordered by id.
    pub fn backends(&self) -> impl Iterator<Item = &registry::Announcement> {
        self.backends.values().map(|backend| &backend.announcement)
    }

    /// Returns the VMs whose evacuation was ordered.
    pub fn evacuated(&self) -> &BTreeSet<Name> {
        &self.evacuated
    }

    /// Returns whether the evacuation of a VM was ordered.
    pub fn is_evacuated(&self, node: &str) -> bool {
        self.evacuated.contains(node)
    }

    /// Returns the VMs that can be evacuated, connected or not.
    pub fn registered(&self) -> &BTreeSet<Name> {
        &self.registered
    }

    /// Returns the recorded suspects.
    pub fn trials(&self) -> &trial::Trials {
        &self.trials
    }

    /// Returns the payload key of an item's body; `None` if the item is unknown, is
    /// listed or its job has ended.
    pub fn body(&self, job: &str, item: &str) -> Option<payload::Key> {
        let job = self.jobs.get(job).filter(|job| !job.ended)?;
        let mut items = job.items.iter();
        let item = items.find(|known| &*known.id == item && !known.listed)?;
        Some(payload::Key(item.body))
    }

    /// Reads the results of a job, skipping the first `after` ones. The page ends with
    /// the result that makes the outputs reach `bytes` bytes, so it has at least one
    /// result if there is one. Returns `None` for an unknown job.
    ///
    /// # Errors
    ///
    /// Returns the first error of `payloads`.
    pub fn page(
        &self,
        job: &str,
        after: usize,
        bytes: usize,
        payloads: &mut dyn payload::Source,
    ) -> std::result::Result<Option<Page>, bw_coord::storage::Error> {
        let Some(job) = self.jobs.get(job) else {
            return Ok(None);
        };
        let mut results = Vec::new();
        let mut size = 0;
        for listed in job.results.iter().skip(after) {
            if size >= bytes && !results.is_empty() {
                break;
            }
            let item = &job.items[listed.item as usize];
            let output = match listed.end {
                End::Completed => join(&item.parts, payloads)?,
                End::GivenUp => Vec::new(),
            };
            size += output.len();
            let id = item.id.clone();
            let end = listed.end;
            results.push(Result { id, end, output });
        }
        let total = job.items.len() as u32;
        Ok(Some(Page { total, results }))
    }

    /// Applies one command of the replicated log and returns its result.
    pub fn execute(&mut self, command: Command) -> Applied {
        match command {
            Command::Publish(published) => self.publish(*published),
            Command::Submit(job) => self.submit(*job),
            Command::Record {
                job,
                item,
                end,
                output,
            } => self.record(&job, item, end, output),
            Command::Save { job, item, output } => self.save(&job, item, output),
            Command::Fail { job, item } => self.fail(&job, item),
            Command::Announce {
                announcement,
                now_ms,
            } => {
                let id = announcement.id.clone();
                let changed_ms = now_ms;
                self.backends.insert(
                    id,
                    Backend {
                        announcement,
                        changed_ms,
                    },
                );
                Applied::Done
            }
            Command::End { job } => self.end(&job),
            Command::Evacuate { node } => {
                self.evacuated.insert(node);
                Applied::Done
            }
            Command::Sweep { before_ms } => self.sweep(before_ms),
            Command::Register { node } => {
                self.registered.insert(node);
                Applied::Done
            }
            Command::Suspect(command) => match self.trials.execute(command) {
                Some(verdict) => Applied::Trial(verdict),
                None => Applied::Done,
            },
        }
    }

    fn publish(&mut self, published: Published) -> Applied {
        let current = self.published.as_ref();
        if current.is_some_and(|current| published.config.version <= current.config.version) {
            return Applied::Superseded;
        }
        self.published = Some(published);
        Applied::Done
    }

    fn submit(&mut self, job: NewJob) -> Applied {
        if self.jobs.contains_key(&job.id) {
            return Applied::Done;
        }
        let tokens = job.tokens();
        let waiting = self.waiting_tokens(&job.route);
        if let Some(limit) = self.waiting_limit(&job.route)
            && waiting.saturating_add(tokens) > limit
        {
            return Applied::Full { waiting, limit };
        }
        self.waiting
            .insert(job.route.clone(), waiting.saturating_add(tokens));
        let mut items = Vec::with_capacity(job.items.len());
        for item in job.items {
            let body = self.put_payload(item.body);
            items.push(Item {
                id: item.id,
                path: item.path,
                headers: item.headers,
                tokens: item.tokens,
                body,
                listed: false,
                failures: 0,
                saved: 0,
                parts: Vec::new(),
            });
        }
        let accepted = Job {
            route: job.route,
            submitted_ms: job.submitted_ms,
            complete_ms: job.complete_ms,
            give_up_ms: job.give_up_ms,
            attempts: job.attempts,
            items,
            ended: false,
            results: Vec::new(),
        };
        self.jobs.insert(job.id, accepted);
        Applied::Done
    }

    fn record(&mut self, job: &str, item: u32, end: End, output: Output) -> Applied {
        let Some(known_item) = self.unlisted_item(job, item) else {
            return Applied::Superseded;
        };
        known_item.listed = true;
        let tokens = known_item.tokens;
        let key = payload::Key(known_item.body);
        let parts = match end {
            End::Completed => Vec::new(),
            End::GivenUp => std::mem::take(&mut known_item.parts),
        };
        self.effects.push(payload::Effect::Remove { key });
        self.effects.extend(parts.into_iter().map(remove_payload));
        if end == End::Completed {
            self.store(job, item, output);
        }
        if let Some(known) = self.jobs.get_mut(job) {
            known.results.push(Listed { item, end });
            let route = known.route.clone();
            self.subtract_waiting(&route, tokens);
        }
        Applied::Done
    }

    /// Returns the most tokens that may wait on a route, if it has a limit.
    fn waiting_limit(&self, key: &route::Key) -> Option<u64> {
        let mut routes = self.published.as_ref()?.config.routes.iter();
        let route = routes.find(|route| route.has_key(key))?;
        Some(route.waiting_tokens).filter(|limit| *limit > 0)
    }

    fn subtract_waiting(&mut self, route: &route::Key, tokens: u64) {
        if let Some(waiting) = self.waiting.get_mut(route) {
            *waiting = waiting.saturating_sub(tokens);
            if *waiting == 0 {
                self.waiting.remove(route);
            }
        }
    }

    fn save(&mut self, job: &str, item: u32, output: Output) -> Applied {
        if self.unlisted_item(job, item).is_none() {
            return Applied::Superseded;
        }
        self.store(job, item, output);
        Applied::Done
    }

    fn fail(&mut self, job: &str, item: u32) -> Applied {
        let Some(known_item) = self.unlisted_item(job, item) else {
            return Applied::Superseded;
        };
        known_item.failures += 1;
        Applied::Done
    }

    /// Stores those events of an output that are not stored yet. The first ones may have
    /// been stored by an earlier command whose outcome its leader did not learn.
    fn store(&mut self, job: &str, item: u32, output: Output) {
        let Some(saved) = self.item(job, item).map(|known_item| known_item.saved) else {
            return;
        };
        let stored = saved.saturating_sub(output.after) as usize;
        let last = output.after + output.data.len() as u64;
        let Some(rest) = output.data.get(stored..).filter(|rest| !rest.is_empty()) else {
            return;
        };
        let key = self.put_payload(rest.join("\n").into_bytes());
        if let Some(known_item) = self.item(job, item) {
            known_item.saved = last;
            known_item.parts.push(key);
        }
    }

    fn item(&mut self, job: &str, item: u32) -> Option<&mut Item> {
        self.jobs.get_mut(job)?.items.get_mut(item as usize)
    }

    /// Returns an item that may still run; `None` if it is unknown, is listed or its job
    /// has ended.
    fn unlisted_item(&mut self, job: &str, item: u32) -> Option<&mut Item> {
        self.jobs.get(job).filter(|job| !job.ended)?;
        self.item(job, item).filter(|known_item| !known_item.listed)
    }

    fn end(&mut self, job: &str) -> Applied {
        let Some(known) = self.jobs.get_mut(job) else {
            return Applied::Superseded;
        };
        if !known.ended {
            known.ended = true;
            let (route, tokens) = (known.route.clone(), known.waiting_tokens());
            for item in known.items.iter_mut().filter(|item| !item.listed) {
                self.effects.push(remove_payload(item.body));
                let parts = std::mem::take(&mut item.parts);
                self.effects.extend(parts.into_iter().map(remove_payload));
            }
            self.subtract_waiting(&route, tokens);
        }
        Applied::Done
    }

    fn sweep(&mut self, before_ms: u64) -> Applied {
        let jobs = std::mem::take(&mut self.jobs);
        for (id, job) in jobs {
            if job.is_open() || job.submitted_ms >= before_ms {
                self.jobs.insert(id, job);
                continue;
            }
            let parts = job.items.iter().flat_map(|item| item.parts.iter().copied());
            self.effects.extend(parts.map(remove_payload));
        }
        self.backends.retain(|_, backend| {
            backend.announcement.state != registry::State::Leaving
                || backend.changed_ms >= before_ms
        });
        Applied::Done
    }

    fn put_payload(&mut self, content: Vec<u8>) -> u64 {
        let key = self.next_key;
        self.next_key += 1;
        self.effects.push(payload::Effect::Put {
            key: payload::Key(key),
            content,
        });
        key
    }
}

fn remove_payload(key: u64) -> payload::Effect {
    let key = payload::Key(key);
    payload::Effect::Remove { key }
}

/// Reads the parts of an output and joins them by line feeds, as the events within a
/// part are.
fn join(
    parts: &[u64],
    payloads: &mut dyn payload::Source,
) -> std::result::Result<Vec<u8>, bw_coord::storage::Error> {
    let mut output = Vec::new();
    for (index, key) in parts.iter().enumerate() {
        if index > 0 {
            output.push(b'\n');
        }
        output.extend_from_slice(&payloads.get(payload::Key(*key))?);
    }
    Ok(output)
}

/// Encodes a command for the log.
///
/// # Panics
///
/// Never panics: commands hold only data that postcard can encode.
pub fn encode(command: &Command) -> Vec<u8> {
    postcard::to_stdvec(command).expect("commands are plain data")
}

/// Decodes the result of a command; `None` if the bytes are invalid.
pub fn decode_applied(bytes: &[u8]) -> Option<Applied> {
    postcard::from_bytes(bytes).ok()
}

impl host::Machine for Ledger {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let applied = match postcard::from_bytes(command) {
            Ok(command) => self.execute(command),
            // All replicas decode alike, so all ignore the same commands.
            Err(_) => Applied::Superseded,
        };
        postcard::to_stdvec(&applied).unwrap_or_default()
    }

    fn effects(&mut self) -> Vec<payload::Effect> {
        std::mem::take(&mut self.effects)
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&(self, &self.registered, &self.trials)).unwrap_or_default()
    }

    fn restore(&mut self, data: &[u8]) -> std::result::Result<(), host::RestoreError> {
        let failed = |error: postcard::Error| host::RestoreError::new(error.to_string());
        let (mut restored, rest) = postcard::take_from_bytes::<Ledger>(data).map_err(failed)?;
        if !rest.is_empty() {
            let (registered, rest) = postcard::take_from_bytes(rest).map_err(failed)?;
            restored.registered = registered;
            if !rest.is_empty() {
                restored.trials = trial::Trials::decode(rest).map_err(failed)?;
            }
        }
        *self = restored;
        Ok(())
    }
}
