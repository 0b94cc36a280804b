//! The mirror: a controller's read-only copy of the records under the prefix `c/` of the state
//! service.
//!
//! `changes` applies changes of the store: from full reads, from a watch, from barriers (reads of
//! the newest changes on request) and from this controller's own committed transactions. These
//! sources may report changes in any order relative to each other, and the mirror keeps the change
//! with the highest revision for each key. `Mirror::put_record` and `Mirror::remove_record` pass
//! each change to the module that is responsible for the record, which updates everything derived
//! from it at once:
//!
//! | records | modules | derived state |
//! | --- | --- | --- |
//! | jobs, under keys of their own or in `buckets` | `jobs`, `open_job`, `ended` | undivided and complete jobs |
//! | dependencies of jobs | `dependencies`, `dependency_graph`, `urgency` | jobs that wait or are cancelled with a dependency, urgency |
//! | pages of the admission log | `admission_log`, `admission_compaction` | jobs that have no other record yet |
//! | pages of assignments | `assignments` | unassigned tasks, tasks on each machine |
//! | machine types, attributes | `catalog` | pools that the rules of jobs allow |
//! | leases, images, grants, submissions, formats | `lease_holder`, `images`, `format`, this module | |
//!
//! The same modules prepare the transactions that change these records. `Mirror::require` adds
//! the conditions that the records are still as the mirror holds them.

mod admission_compaction;
mod admission_log;
mod assignments;
mod bucket_division;
mod buckets;
mod catalog;
mod changes;
mod dependencies;
mod dependency_graph;
mod dependency_steps;
mod ended;
mod format;
mod images;
mod job_containers;
mod jobs;
mod lease_holder;
mod open_job;
mod record_error;
mod urgency;

use crate::Config;
use crate::admission::flows::Flows;
use crate::names::Names;
use crate::pages::Page;
use admission_log::AdmissionLog;
pub use admission_log::{AdmissionPage, MAX_JOBS_PER_PAGE};
pub use assignments::TaskTable;
use buckets::BucketIndex;
pub use catalog::MachineCatalog;
use changes::KeyTracking;
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::condor::{IdsRecord, SubmissionRecord, submission_key};
use cherryyard_wire::history::HistoryProgressRecord;
use cherryyard_wire::record;
use cherryyard_wire::record::{Grant, Key};
use cherryyard_wire::rules::Attributes;
use cherryyard_wire::state::{Commit, Json};
use dependency_graph::DependencyGraph;
pub use dependency_steps::DependencySteps;
pub use ended::EndedJob;
use ended::EndedJobs;
pub use format::RecordFormat;
pub use images::StoredImages;
pub use jobs::ended_job_view;
pub(crate) use jobs::status_of;
pub use lease_holder::LeaseHolder;
pub use open_job::OpenJob;
use record_error::read;
pub use record_error::{RecordError, RecordProblem};
use std::collections::{BTreeMap, BTreeSet};
pub use urgency::{Deadline, MAX_URGENCY_STEPS, Urgency};

/// Copy of the records in the state service, as far as this controller has read them.
#[derive(Clone, Debug)]
pub struct Mirror {
    /// Revision of the store up to which every change has been applied. Written by `changes`, as
    /// is `loaded`.
    pub store_revision: u64,
    /// Whether a first full read has been completed.
    pub loaded: bool,
    /// Keys deleted ahead of the watch, and keys that the full read in progress has returned.
    key_tracking: KeyTracking,
    /// Errors of records that could not be used, until `take_record_errors` takes them.
    record_errors: Vec<RecordError>,
    /// Names of machines, including machines that only heartbeats or the cloud have named.
    pub hosts: Names,
    teams: Names,
    /// Leases on shards. Written only by `put_record` and `remove_record`, as are the lease on
    /// leadership, images, grants, submissions, allocated ids, formats and the record of the
    /// history.
    pub shards: Vec<Option<LeaseHolder>>,
    /// Lease on leadership.
    pub leader_lease: Option<LeaseHolder>,
    /// Images that the machines of each shard hold, as last stored.
    pub images: Vec<StoredImages>,
    /// Part of each team's limit that each shard may use, and the revision of its record; by
    /// team, then shard.
    pub grants: Vec<Vec<(Grant, u64)>>,
    /// Bulk submissions and the revisions of their records, by number.
    pub submissions: BTreeMap<u64, (SubmissionRecord, u64)>,
    /// Job ids allocated to bulk submissions.
    pub ids: IdsRecord,
    ids_revision: u64,
    /// Formats of records in use.
    pub format: RecordFormat,
    /// Record of the progress of moving ended jobs to the history.
    pub history_progress: HistoryProgressRecord,
    /// Revision of `history_progress`.
    pub history_progress_revision: u64,
    /// Machine types and attributes of machines.
    pub catalog: MachineCatalog,
    /// Flows of jobs, one per class and team.
    pub flows: Flows,
    /// Open jobs (those that have not ended), by number. Written by `dependencies`, which inserts
    /// and removes jobs together with their edges in the dependency graph.
    pub open: BTreeMap<u64, OpenJob>,
    /// Open jobs that wait for no other job and that the leader has not divided yet. Written by
    /// `jobs`, and by `dependencies` for jobs that are cancelled with a dependency.
    pub undivided: BTreeSet<u64>,
    /// Open arrays of which every task is completed. Written by `jobs`.
    pub complete: BTreeSet<u64>,
    graph: DependencyGraph,
    /// Jobs that have ended.
    ended: EndedJobs,
    /// Index of the bucket that holds each job.
    buckets: BucketIndex,
    /// Pages of the admission log.
    pub admission_log: AdmissionLog,
    /// Assignments of tasks, and tasks that are still to be started.
    pub tasks: TaskTable,
}

impl Mirror {
    /// Returns an empty mirror.
    pub fn new(config: &Config) -> Self {
        let shards = config.shards();
        Self {
            store_revision: 0,
            loaded: false,
            key_tracking: KeyTracking::default(),
            record_errors: Vec::new(),
            hosts: Names::default(),
            teams: config.team_names.clone(),
            shards: vec![None; shards],
            leader_lease: None,
            images: vec![StoredImages::default(); shards],
            grants: vec![vec![(Grant::default(), 0); shards]; config.teams.len()],
            submissions: BTreeMap::new(),
            ids: IdsRecord::default(),
            ids_revision: 0,
            format: RecordFormat::default(),
            history_progress: HistoryProgressRecord::default(),
            history_progress_revision: 0,
            catalog: MachineCatalog::default(),
            flows: Flows::new(config.teams.len()),
            open: BTreeMap::new(),
            undivided: BTreeSet::new(),
            complete: BTreeSet::new(),
            graph: DependencyGraph::default(),
            ended: EndedJobs::new(config.recent_ends),
            buckets: BucketIndex::default(),
            admission_log: AdmissionLog::default(),
            tasks: TaskTable::new(shards),
        }
    }

    /// Returns the errors of records that could not be used since the last call.
    pub fn take_record_errors(&mut self) -> Vec<RecordError> {
        std::mem::take(&mut self.record_errors)
    }

    /// Returns the revision of `key` as the mirror holds it, 0 if the key is absent.
    pub fn revision(&self, key: Key) -> u64 {
        match key {
            Key::Leader => {
                let holder = self.leader_lease.as_ref();
                holder.map_or(0, |holder| holder.revision)
            }
            Key::MachineTypes => self.catalog.machine_types_revision,
            Key::Attributes => self.catalog.attributes_revision,
            Key::Ids => self.ids_revision,
            Key::Submission(number) => {
                let submission = self.submissions.get(&number);
                submission.map_or(0, |(_, revision)| *revision)
            }
            Key::Shard(shard_id) => {
                let holder = self.shards.get(shard_id).and_then(Option::as_ref);
                holder.map_or(0, |holder| holder.revision)
            }
            Key::Images(shard_id) => {
                let images = self.images.get(shard_id);
                images.map_or(0, |images| images.revision)
            }
            Key::Job(job) => self.own_record_revision(job),
            Key::Bucket(start) => self.buckets.revision(start),
            Key::AdmissionPage(page) => {
                let admission_page = self.admission_log.get(page);
                admission_page.map_or(0, |admission_page| admission_page.revision)
            }
            Key::Format => self.format.revision,
            Key::HistoryProgress => self.history_progress_revision,
            Key::Assignment { shard, page } => self.tasks.page_revision(shard, page),
            Key::Grant { team, shard } => {
                let grants = self.grants.get(team);
                let grant = grants.and_then(|grants| grants.get(shard));
                grant.map_or(0, |(_, revision)| *revision)
            }
        }
    }

    /// Returns the revision of the record under the job's own key, 0 if there is none.
    fn own_record_revision(&self, job: u64) -> u64 {
        if self.buckets.holds(job) {
            return 0;
        }
        if let Some(open) = self.open.get(&job) {
            return open.revision;
        }
        self.ended.get(job).map_or(0, |ended| ended.revision)
    }

    /// Sets the machine types, and re-evaluates the rules of open jobs if the types have changed.
    pub fn set_machine_types(&mut self, machine_types: Vec<MachineType>) {
        if self.catalog.set_machine_types(machine_types) {
            self.catalog.rematch(self.open.values_mut());
        }
    }

    fn set_attributes(&mut self, attributes: Attributes, revision: u64) {
        self.catalog.set_attributes(attributes, revision);
        self.catalog.rematch(self.open.values_mut());
    }

    /// Removes the record under `key`, with everything derived from it.
    fn remove_record(&mut self, key: Key) {
        match key {
            Key::Leader => self.leader_lease = None,
            Key::MachineTypes => self.catalog.machine_types_revision = 0,
            Key::Attributes => self.set_attributes(Attributes::default(), 0),
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
            Key::Submission(number) => {
                self.submissions.remove(&number);
            }
            Key::Job(job) => self.drop_job(job),
            Key::Bucket(start) => self.drop_bucket(start),
            Key::AdmissionPage(page) => self.drop_admission_page(page),
            Key::Format => self.format = RecordFormat::default(),
            Key::HistoryProgress => {
                (self.history_progress, self.history_progress_revision) =
                    (HistoryProgressRecord::default(), 0)
            }
            Key::Assignment { shard, page } => self.set_page(shard, page, None),
            Key::Grant { team, shard } => {
                let grants = self.grants.get_mut(team);
                if let Some(grant) = grants.and_then(|grants| grants.get_mut(shard)) {
                    *grant = (Grant::default(), 0);
                }
            }
        }
    }

    /// Stores the record under `key`, which must be newer than the one that the mirror holds.
    fn put_record(&mut self, key: Key, value: &Json, revision: u64) -> Result<(), RecordProblem> {
        match key {
            Key::Leader => {
                self.leader_lease = Some(LeaseHolder::of(read(value)?, revision));
            }
            Key::MachineTypes => {
                self.set_machine_types(read(value)?);
                self.catalog.machine_types_revision = revision;
            }
            Key::Attributes => self.set_attributes(read(value)?, revision),
            Key::Shard(shard_id) => {
                let holder = LeaseHolder::of(read(value)?, revision);
                let slot = self.shards.get_mut(shard_id);
                let slot = slot.ok_or(RecordProblem::UnknownShard)?;
                *slot = Some(holder.replacing(slot.as_ref()));
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
            Key::Format => self.format = RecordFormat::of(read(value)?, revision),
            Key::HistoryProgress => {
                self.history_progress = read(value)?;
                self.history_progress_revision = revision;
            }
            Key::Assignment { shard, page } => {
                if shard >= self.shards.len() {
                    return Err(RecordProblem::UnknownShard);
                }
                let new = Page::from_stored(read(value)?, revision, &mut self.hosts);
                self.set_page(shard, page, Some(new.ok_or(RecordProblem::BadAssignments)?));
            }
            Key::Grant { team, shard } => {
                let grant = read(value)?;
                let grants = self.grants.get_mut(team);
                let slot = grants.and_then(|grants| grants.get_mut(shard));
                *slot.ok_or(RecordProblem::UnknownGrant)? = (grant, revision);
            }
        }
        Ok(())
    }

    /// Adds the condition that `key` still has the revision that this mirror holds. For a job,
    /// the condition is on the record that contains it or would contain it: its own key or a
    /// bucket.
    pub fn require(&self, commit: &mut Commit, key: Key) {
        let key = match key {
            Key::Job(job) => self.record_key(job),
            key => key,
        };
        let text = match key {
            Key::Leader => record::LEADER_KEY.to_string(),
            Key::MachineTypes => record::MACHINE_TYPES_KEY.to_string(),
            Key::Attributes => record::ATTRIBUTES_KEY.to_string(),
            Key::Ids => record::IDS_KEY.to_string(),
            Key::Submission(number) => submission_key(number),
            Key::Format => record::FORMAT_KEY.to_string(),
            Key::HistoryProgress => record::HISTORY_PROGRESS_KEY.to_string(),
            Key::Shard(shard_id) => record::shard_key(shard_id),
            Key::Images(shard_id) => record::images_key(shard_id),
            Key::Job(job) => record::job_key(job),
            Key::Bucket(start) => record::bucket_key(start),
            Key::AdmissionPage(page) => record::admission_log_key(page),
            Key::Assignment { shard, page } => record::assignments_key(shard, page),
            Key::Grant { team, shard } => record::grant_key(team, shard),
        };
        commit.require(text, self.revision(key));
    }
}
