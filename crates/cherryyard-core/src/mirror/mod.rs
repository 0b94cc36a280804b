//! The mirror: what the state service holds under our prefix.
//!
//! Changes arrive from one watch, from barriers and from our own answered
//! transactions, in any order between these; each key keeps the change with
//! the highest revision.

mod admission_compaction;
mod admission_log;
mod assignments;
mod bucket_division;
mod buckets;
mod changes;
mod dependencies;
mod ended;
mod images;
mod jobs;
mod lease_holder;
mod open_job;
mod record_error;

use crate::Config;
use crate::admission::flows::Flows;
use crate::names::Names;
use crate::pages::Page;
use crate::pools::Matcher;
use admission_log::AdmissionLog;
pub use admission_log::{AdmissionPage, MOST_ROWS};
pub use assignments::TaskTable;
use buckets::BucketIndex;
use changes::SeenKeys;
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::condor::{IdsRecord, SubmissionRecord, submission_key};
use cherryyard_wire::history::PackedRecord;
use cherryyard_wire::record;
use cherryyard_wire::record::{FormatRecord, Grant, Key};
use cherryyard_wire::rules::Attributes;
use cherryyard_wire::state::{Commit, Json};
use dependencies::DependencyGraph;
pub use dependencies::{Deadline, Urgency};
pub use ended::EndedJob;
use ended::EndedJobs;
pub use images::StoredImages;
pub use jobs::over;
pub use lease_holder::LeaseHolder;
pub use open_job::OpenJob;
use record_error::read;
pub use record_error::{RecordError, RecordProblem};
use std::collections::{BTreeMap, BTreeSet};

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
    /// Assignments of tasks, and what is left to be started. Only the mirror writes it.
    pub tasks: TaskTable,
    /// Open jobs that wait for no other and that the leader has not divided yet.
    pub undivided: BTreeSet<u64>,
    graph: DependencyGraph,
    /// Classes and teams of jobs.
    pub flows: Flows,
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
    /// Those pages. Written by `admission_log` alone.
    pub admission_log: AdmissionLog,
    /// How far the history of jobs that are over goes.
    pub packed: PackedRecord,
    /// Revision of that record.
    pub packed_revision: u64,
    /// Jobs that are over.
    ended: EndedJobs,
    /// Which job stands in which bucket.
    buckets: BucketIndex,
    /// Deleted keys, and those that a full read under way has shown.
    seen: SeenKeys,
    teams: Names,
    record_errors: Vec<RecordError>,
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
            tasks: TaskTable::new(shards),
            undivided: BTreeSet::new(),
            graph: DependencyGraph::default(),
            flows: Flows::new(config.teams.len()),
            complete: BTreeSet::new(),
            images: vec![StoredImages::default(); shards],
            grants: vec![vec![(Grant::default(), 0); shards]; config.teams.len()],
            format: 0,
            format_revision: 0,
            by_pages: false,
            dependencies: false,
            admission_log: AdmissionLog::default(),
            packed: PackedRecord::default(),
            packed_revision: 0,
            ended: EndedJobs::new(config.recent_ends),
            buckets: BucketIndex::default(),
            seen: SeenKeys::default(),
            teams: config.team_names.clone(),
            record_errors: Vec::new(),
        }
    }

    /// Records that could not be used since the last call.
    pub fn complaints(&mut self) -> Vec<RecordError> {
        std::mem::take(&mut self.record_errors)
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
            Key::Job(job) => self.own_revision(job),
            Key::Bucket(start) => self.buckets.revision(start),
            Key::AdmissionPage(page) => self.admission_log.get(page).map_or(0, |a| a.revision),
            Key::Format => self.format_revision,
            Key::Packed => self.packed_revision,
            Key::Assignment { shard, page } => self.tasks.page_revision(shard, page),
            Key::Grant { team, shard } => self
                .grants
                .get(team)
                .and_then(|g| g.get(shard))
                .map_or(0, |g| g.1),
        }
    }

    /// The revision of a job's own record, 0 if it has none.
    fn own_revision(&self, job: u64) -> u64 {
        if self.buckets.holds(job) {
            return 0;
        }
        if let Some(open) = self.open.get(&job) {
            return open.revision;
        }
        self.ended.get(job).map_or(0, |ended| ended.revision)
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
                *pools = self.matcher.pools(rules, open.submitted_at);
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
            Key::AdmissionPage(page) => self.drop_admission_page(page),
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

    fn put_record(&mut self, key: Key, value: &Json, revision: u64) -> Result<(), RecordProblem> {
        match key {
            Key::Leader => {
                self.leader_lease = Some(LeaseHolder::of(read(value)?, revision));
            }
            Key::MachineTypes => {
                self.set_machine_types(read(value)?);
                self.machine_types_revision = revision;
            }
            Key::Attributes => {
                self.attributes = read(value)?;
                self.attributes_revision = revision;
                self.match_anew();
            }
            Key::Shard(shard_id) => {
                let holder = LeaseHolder::of(read(value)?, revision);
                let slot = self.shards.get_mut(shard_id);
                *slot.ok_or(RecordProblem::UnknownShard)? = Some(holder);
            }
            Key::Images(shard_id) => {
                let images = StoredImages::of(read(value)?, revision)?;
                let slot = self.images.get_mut(shard_id);
                *slot.ok_or(RecordProblem::UnknownShard)? = images;
            }
            Key::Ids => (self.ids, self.ids_revision) = (read(value)?, revision),
            Key::Submission(number) => {
                let submission = (read(value)?, revision);
                self.submissions.insert(number, submission);
            }
            Key::Job(job) => self.put_job(job, read(value)?, revision)?,
            Key::Bucket(start) => self.put_bucket(start, read(value)?, revision),
            Key::AdmissionPage(page) => self.put_admission_page(page, read(value)?, revision)?,
            Key::Format => {
                let record: FormatRecord = read(value)?;
                (self.format, self.by_pages) = (record.jobs, record.new);
                self.dependencies = record.dependencies;
                self.format_revision = revision;
            }
            Key::Packed => {
                self.packed = read(value)?;
                self.packed_revision = revision;
            }
            Key::Assignment { shard, page } => {
                if shard >= self.shards.len() {
                    return Err(RecordProblem::UnknownShard);
                }
                let new = Page::of_stored(read(value)?, revision, &mut self.hosts);
                self.set_page(shard, page, Some(new.ok_or(RecordProblem::BadAssignments)?));
            }
            Key::Grant { team, shard } => {
                let grant = read(value)?;
                let slot = self.grants.get_mut(team).and_then(|g| g.get_mut(shard));
                *slot.ok_or(RecordProblem::UnknownGrant)? = (grant, revision);
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
