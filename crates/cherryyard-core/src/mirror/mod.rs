//! The mirror: what the state service holds under our prefix.
//!
//! Changes arrive from one watch, from barriers and from our own answered
//! transactions, in any order between these; each key keeps the change with
//! the highest revision.

mod admission_log;
mod assignments;
mod buckets;
mod dependencies;
mod jobs;

use crate::Config;
use crate::admission::flows::Flows;
use crate::names::Names;
use crate::needs::Needs;
use crate::pages::{Assignment, JobAssignments, Page};
use crate::pools::Matcher;
use admission_log::AdmissionPage;
pub use admission_log::MOST_ROWS;
use buckets::Bucket;
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::condor::{IdsRecord, SubmissionRecord, submission_key};
use cherryyard_wire::history::PackedRecord;
use cherryyard_wire::page::StoredPage;
use cherryyard_wire::record::{End, FormatRecord, Grant, ImagesRecord, Key, LeaseRecord};
use cherryyard_wire::rules::Attributes;
use cherryyard_wire::state::{Apply, Commit, Json, Pair, WatchResponse};
use cherryyard_wire::{RangeSet, record};
use dependencies::DependencyGraph;
pub use dependencies::{Deadline, Urgency};
pub use jobs::{EndedJob, OpenJob, over};
use lru::LruCache;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// A lease on a shard or on the lead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseHolder {
    /// The owner's name.
    pub label: String,
    /// The lease's revision: the owner's token.
    pub revision: u64,
    /// The newest format of records that the owner can work with.
    pub format: u32,
    /// The number of the process that made it, if it says so.
    pub process: Option<u64>,
}

impl LeaseHolder {
    fn of(holder: LeaseRecord, revision: u64) -> Self {
        Self {
            label: holder.label,
            revision,
            format: holder.newest_format.unwrap_or(1),
            process: holder.process,
        }
    }
}

/// What is stored of the images in a shard.
#[derive(Clone, Debug, Default)]
pub struct StoredImages {
    /// The record.
    pub record: ImagesRecord,
    /// What it says of each machine: a new owner looks here for every one.
    pub held: HashMap<String, Vec<usize>>,
    /// Its revision.
    pub revision: u64,
}

/// What the state service holds, as far as this controller has heard.
#[derive(Clone, Debug)]
pub struct Mirror {
    /// Everything up to this revision has been seen.
    pub store_revision: u64,
    /// Whether a first full read has been made.
    pub loaded: bool,
    /// Machine names.
    pub hosts: Names,
    /// Leases on shards.
    pub shards: Vec<Option<LeaseHolder>>,
    /// The lease on the lead.
    pub leader_lease: Option<LeaseHolder>,
    /// Machine types, as last stored: see [`set_machine_types`](Self::set_kinds).
    pub machine_types: Vec<MachineType>,
    /// Revision of the machine types.
    pub machine_types_revision: u64,
    /// Operators' own attributes of machines, as stored.
    pub attributes: Attributes,
    attributes_revision: u64,
    /// What jobs' rules come to, by types and attributes.
    pub matcher: Matcher,
    /// Submissions of many jobs, by number, with their revisions.
    pub submissions: BTreeMap<u64, (SubmissionRecord, u64)>,
    /// Ids handed out to them.
    pub ids: IdsRecord,
    ids_revision: u64,
    /// Jobs that are not over, by number.
    pub open: BTreeMap<u64, OpenJob>,
    /// Pages of assignments, by shard. New assignments go into a shard's last page or the one
    /// after it, so these two tell whether any have been made.
    pub pages: Vec<BTreeMap<u32, Page>>,
    /// What the pages say, by shard and job.
    pub assignments: BTreeMap<(usize, u64), JobAssignments>,
    /// Numbers that are neither done nor assigned, by shard and job; none empty.
    pub waiting: Vec<BTreeMap<u64, RangeSet>>,
    /// Open jobs that wait for no other and that the leader has not divided yet.
    pub undivided: BTreeSet<u64>,
    graph: DependencyGraph,
    /// Classes and teams of jobs.
    pub flows: Flows,
    waiting_changes: Vec<(usize, u64)>,
    /// Open arrays of which every task is done.
    pub complete: BTreeSet<u64>,
    /// Images held in each shard, as last stored, and the record's revision.
    pub images: Vec<StoredImages>,
    /// What each shard may use of each team's limit: by team, then part.
    pub grants: Vec<Vec<(Grant, u64)>>,
    /// The format of jobs' records in use.
    pub format: u32,
    format_revision: u64,
    /// Whether new jobs come by pages of admissions.
    pub by_pages: bool,
    /// Whether jobs may wait for others: all controllers know of that.
    pub dependencies: bool,
    /// Those pages.
    pub admission_log: BTreeMap<u64, AdmissionPage>,
    /// The page that names each job.
    arrived: HashMap<u64, u64>,
    /// How far the history of jobs that are over goes.
    pub packed: PackedRecord,
    /// Revision of that record.
    pub packed_revision: u64,
    ended: HashMap<u64, EndedJob>,
    /// What tasks of those take that may still be on machines.
    ended_uses: HashMap<u64, (u32, Needs)>,
    /// Buckets by where they begin: their revisions and jobs.
    buckets: BTreeMap<u64, Bucket>,
    /// The bucket of each job that stands in one.
    bucket_of: HashMap<u64, u64>,
    /// Jobs that are over and have left the watched records for the history.
    recent: LruCache<u64, (End, u32)>,
    /// By machine's index: each round and report looks here for many machines.
    on_host: Vec<BTreeMap<(u64, u32), Assignment>>,
    deleted: HashMap<Key, u64>,
    /// Keys that a full read under way has shown.
    present: HashSet<Key>,
    teams: Names,
    tasks_done: HashMap<u64, u32>,
    new_cancels: Vec<u64>,
    /// Whether ends may have been missed since the last call of `has_gap`.
    gap: bool,
    complaints: Vec<String>,
}

impl Mirror {
    /// An empty mirror.
    pub fn new(config: &Config) -> Self {
        let shards = config.shards();
        Self {
            store_revision: 0,
            loaded: false,
            hosts: Names::default(),
            shards: vec![None; shards],
            leader_lease: None,
            machine_types: Vec::new(),
            machine_types_revision: 0,
            attributes: Attributes::default(),
            attributes_revision: 0,
            matcher: Matcher::default(),
            submissions: BTreeMap::new(),
            ids: IdsRecord::default(),
            ids_revision: 0,
            open: BTreeMap::new(),
            pages: vec![BTreeMap::new(); shards],
            assignments: BTreeMap::new(),
            waiting: vec![BTreeMap::new(); shards],
            undivided: BTreeSet::new(),
            graph: DependencyGraph::default(),
            flows: Flows::new(config.teams.len()),
            waiting_changes: Vec::new(),
            complete: BTreeSet::new(),
            images: vec![StoredImages::default(); shards],
            grants: vec![vec![(Grant::default(), 0); shards]; config.teams.len()],
            format: 0,
            format_revision: 0,
            by_pages: false,
            dependencies: false,
            admission_log: BTreeMap::new(),
            arrived: HashMap::new(),
            packed: PackedRecord::default(),
            packed_revision: 0,
            ended: HashMap::new(),
            ended_uses: HashMap::new(),
            buckets: BTreeMap::new(),
            bucket_of: HashMap::new(),
            recent: LruCache::new(config.recent_ends),
            on_host: Vec::new(),
            deleted: HashMap::new(),
            present: HashSet::new(),
            teams: config.team_names.clone(),
            tasks_done: HashMap::new(),
            new_cancels: Vec::new(),
            gap: false,
            complaints: Vec::new(),
        }
    }

    /// What was wrong with records read since the last call.
    pub fn complaints(&mut self) -> Vec<String> {
        std::mem::take(&mut self.complaints)
    }

    /// Begins a full read.
    pub fn begin_load(&mut self) {
        self.present.clear();
    }

    /// Takes a piece of a full read. Each key is as good as if a watch had told
    /// it; what the read lacks, and that nothing is missing, shows at its end.
    pub fn load_some(&mut self, pairs: &[Pair]) {
        for pair in pairs {
            self.present.extend(Key::parse(&pair.key));
            self.put(&pair.key, &pair.value, pair.revision);
        }
    }

    /// Ends a full read whose first page described revision `store_revision`.
    pub fn end_load(&mut self, store_revision: u64) {
        let present = std::mem::take(&mut self.present);
        if self.loaded && store_revision < self.store_revision {
            return;
        }
        // What the read lacks was deleted before it: without this, a job or
        // assignment deleted while the watch was too old (410) would live on here.
        for key in self.keys() {
            if !present.contains(&key) && self.revision(key) <= store_revision {
                self.forget(key);
            }
        }
        self.store_revision = self.store_revision.max(store_revision);
        // Of what the first read shows to be over nobody knows since when.
        self.gap |= !self.loaded;
        self.loaded = true;
    }

    /// Takes the changes that a watch or barrier told.
    pub fn events(&mut self, events: &WatchResponse) {
        for change in &events.events {
            // A watch and a barrier may tell the same change; what has been
            // seen is skipped, or an old put could bring back a deleted key.
            if change.revision <= self.store_revision {
                continue;
            }
            match (&change.set, &change.delete) {
                (Some(key), _) => self.put(key, &change.value, change.revision),
                (None, Some(key)) => self.remove(key, change.revision),
                (None, None) => {}
            }
        }
        self.store_revision = self.store_revision.max(events.store_revision);
        let reported = self.store_revision;
        self.deleted.retain(|_, revision| *revision > reported);
    }

    /// Takes our own transaction, answered with revision `store_revision`.
    pub fn committed(&mut self, commit: &Commit, store_revision: u64) {
        for change in &commit.apply {
            match change {
                Apply::Set { set, value, .. } => self.put(set, value, store_revision),
                Apply::Delete { delete } => self.remove(delete, store_revision),
            }
        }
    }

    fn keys(&self) -> Vec<Key> {
        let mut keys = Vec::new();
        keys.extend(self.leader_lease.iter().map(|_| Key::Leader));
        keys.extend((self.attributes_revision != 0).then_some(Key::Attributes));
        keys.extend((self.ids_revision != 0).then_some(Key::Ids));
        keys.extend(self.submissions.keys().map(|&n| Key::Submission(n)));
        keys.extend(
            (0..self.shards.len())
                .filter(|&shard_id| self.shards[shard_id].is_some())
                .map(Key::Shard),
        );
        let own = |j: &&u64| !self.bucket_of.contains_key(j);
        let with_own = self.open.keys().filter(own).filter(|j| !self.in_page(**j));
        keys.extend(with_own.map(|&j| Key::Job(j)));
        keys.extend(
            self.admission_log
                .keys()
                .map(|&page| Key::AdmissionPage(page)),
        );
        keys.extend(self.ended.keys().filter(own).map(|&j| Key::Job(j)));
        keys.extend(self.buckets.keys().map(|&from| Key::Bucket(from)));
        for (shard, pages) in self.pages.iter().enumerate() {
            keys.extend(pages.keys().map(|&page| Key::Assignment { shard, page }));
        }
        for (team, shards) in self.grants.iter().enumerate() {
            keys.extend((0..shards.len()).map(|shard| Key::Grant { team, shard }));
        }
        keys
    }

    /// The revision under which `key` is known, 0 if it is absent.
    pub fn revision(&self, key: Key) -> u64 {
        match key {
            Key::Leader => self.leader_lease.as_ref().map_or(0, |c| c.revision),
            Key::MachineTypes => self.machine_types_revision,
            Key::Attributes => self.attributes_revision,
            Key::Ids => self.ids_revision,
            Key::Submission(n) => self.submissions.get(&n).map_or(0, |s| s.1),
            Key::Shard(shard_id) => self
                .shards
                .get(shard_id)
                .and_then(Option::as_ref)
                .map_or(0, |c| c.revision),
            Key::Images(shard_id) => self.images.get(shard_id).map_or(0, |i| i.revision),
            Key::Job(j) if self.bucket_of.contains_key(&j) => 0,
            Key::Job(j) => {
                let ended = || self.ended.get(&j).map_or(0, |e| e.revision);
                self.open.get(&j).map_or_else(ended, |o| o.revision)
            }
            Key::Bucket(from) => self.buckets.get(&from).map_or(0, |b| b.revision),
            Key::AdmissionPage(page) => self.admission_log.get(&page).map_or(0, |a| a.revision),
            Key::Format => self.format_revision,
            Key::Packed => self.packed_revision,
            Key::Assignment { shard, page } => self
                .pages
                .get(shard)
                .and_then(|pages| pages.get(&page))
                .map_or(0, |page| page.revision),
            Key::Grant { team, shard } => self
                .grants
                .get(team)
                .and_then(|g| g.get(shard))
                .map_or(0, |g| g.1),
        }
    }

    /// Takes machine types.
    pub fn set_machine_types(&mut self, machine_types: Vec<MachineType>) {
        if self.machine_types != machine_types {
            self.machine_types = machine_types;
            self.match_anew();
        }
    }

    /// Types or attributes have changed: what jobs' rules come to is worked out
    /// afresh. What runs stays where it is, what waits follows.
    fn match_anew(&mut self) {
        self.matcher = Matcher::new(&self.machine_types, &self.attributes);
        for open in self.open.values_mut() {
            if let Some((rules, pools)) = &mut open.rules {
                *pools = self.matcher.pools(rules, open.at);
            }
        }
    }

    fn forget(&mut self, key: Key) {
        match key {
            Key::Leader => self.leader_lease = None,
            Key::MachineTypes => self.machine_types_revision = 0,
            Key::Attributes => {
                self.attributes_revision = 0;
                self.attributes = Attributes::default();
                self.match_anew();
            }
            Key::Shard(shard_id) => {
                if let Some(holder) = self.shards.get_mut(shard_id) {
                    *holder = None;
                }
            }
            Key::Images(shard_id) => {
                if let Some(images) = self.images.get_mut(shard_id) {
                    *images = StoredImages::default();
                }
            }
            Key::Ids => (self.ids, self.ids_revision) = (IdsRecord::default(), 0),
            Key::Submission(n) => {
                self.submissions.remove(&n);
            }
            Key::Job(j) => self.drop_job(j),
            Key::Bucket(from) => self.drop_bucket(from),
            Key::AdmissionPage(page) => self.drop_page(page),
            Key::Format => {
                (self.format, self.format_revision) = (0, 0);
                (self.by_pages, self.dependencies) = (false, false);
            }
            Key::Packed => (self.packed, self.packed_revision) = (PackedRecord::default(), 0),
            Key::Assignment { shard, page } => self.set_page(shard, page, None),
            Key::Grant { team, shard } => {
                if let Some(g) = self.grants.get_mut(team).and_then(|g| g.get_mut(shard)) {
                    *g = (Grant::default(), 0);
                }
            }
        }
    }

    fn remove(&mut self, key: &str, revision: u64) {
        let Some(key) = Key::parse(key) else { return };
        if self.revision(key) < revision {
            self.forget(key);
            // Guards against an older put of this key that the watch has yet
            // to tell: it would bring the deleted value back.
            if revision > self.store_revision {
                let kept = self.deleted.entry(key).or_default();
                *kept = (*kept).max(revision);
            }
        }
    }

    fn put(&mut self, text: &str, value: &Json, revision: u64) {
        let Some(key) = Key::parse(text) else { return };
        if self.revision(key) >= revision || self.deleted.get(&key).is_some_and(|&s| s >= revision)
        {
            return;
        }
        if let Err(e) = self.put_record(key, value, revision) {
            self.complaints.push(format!("{text}: {e}"));
        }
    }

    fn put_record(&mut self, key: Key, value: &Json, revision: u64) -> Result<(), String> {
        match key {
            Key::Leader => {
                self.leader_lease = Some(LeaseHolder::of(value.read()?, revision));
            }
            Key::MachineTypes => {
                self.set_machine_types(value.read()?);
                self.machine_types_revision = revision;
            }
            Key::Attributes => {
                self.attributes = value.read()?;
                self.attributes_revision = revision;
                self.match_anew();
            }
            Key::Shard(shard_id) => {
                let holder = LeaseHolder::of(value.read()?, revision);
                *self.shards.get_mut(shard_id).ok_or("no such part")? = Some(holder);
            }
            Key::Images(shard_id) => {
                let record: ImagesRecord = value.read()?;
                if !record.is_sound() {
                    return Err("no such image".into());
                }
                let place = self.images.get_mut(shard_id).ok_or("no such part")?;
                let held = record.held().collect();
                *place = StoredImages {
                    record,
                    held,
                    revision,
                };
            }
            Key::Ids => (self.ids, self.ids_revision) = (value.read()?, revision),
            Key::Submission(n) => {
                self.submissions.insert(n, (value.read()?, revision));
            }
            Key::Job(j) => self.put_job(j, value.read()?, revision)?,
            Key::Bucket(from) => self.put_bucket(from, value.read()?, revision),
            Key::AdmissionPage(page) => self.put_admission_page(page, value.read()?, revision)?,
            Key::Format => {
                let record: FormatRecord = value.read()?;
                (self.format, self.by_pages) = (record.jobs, record.admission_log);
                self.dependencies = record.dependencies;
                self.format_revision = revision;
            }
            Key::Packed => {
                self.packed = value.read()?;
                self.packed_revision = revision;
            }
            Key::Assignment { shard, page } => {
                if shard >= self.shards.len() {
                    return Err("no such part".into());
                }
                let stored: StoredPage = value.read()?;
                let new = Page::of_stored(stored, revision, &mut self.hosts)
                    .ok_or("bad ranges, machines or marks")?;
                self.set_page(shard, page, Some(new));
            }
            Key::Grant { team, shard } => {
                let grant = value.read()?;
                let place = self.grants.get_mut(team).and_then(|g| g.get_mut(shard));
                *place.ok_or("no such grant")? = (grant, revision);
            }
        }
        Ok(())
    }

    /// A condition on `key` as this mirror knows it; a job's is on whatever record
    /// it stands in, or would stand in.
    pub fn require(&self, commit: &mut Commit, key: Key) {
        let key = match key {
            Key::Job(job) => self.home(job),
            key => key,
        };
        let text = match key {
            Key::Leader => record::LEADER_KEY.to_string(),
            Key::MachineTypes => record::MACHINE_TYPES_KEY.to_string(),
            Key::Attributes => record::ATTRIBUTES.to_string(),
            Key::Ids => record::IDS.to_string(),
            Key::Submission(n) => submission_key(n),
            Key::Format => record::FORMAT.to_string(),
            Key::Packed => record::PACKED.to_string(),
            Key::Shard(shard_id) => record::shard_key(shard_id),
            Key::Images(shard_id) => record::images_key(shard_id),
            Key::Job(j) => record::job_key(j),
            Key::Bucket(from) => record::bucket_key(from),
            Key::AdmissionPage(page) => record::admission_log_key(page),
            Key::Assignment { shard, page } => record::assignments_key(shard, page),
            Key::Grant { team, shard } => record::grant_key(team, shard),
        };
        commit.require(text, self.revision(key));
    }
}
