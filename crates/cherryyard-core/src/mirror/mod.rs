//! The mirror: what the state service holds under our prefix.
//!
//! `changes` is where records come in: from one watch, from barriers and from our own
//! answered transactions, in any order between these; each key keeps the change with the
//! highest revision. `Mirror::put_record` and `Mirror::forget` hand each record to the
//! type that owns what it says, and what follows from it for jobs is worked out at once:
//!
//! | records | read by | what follows |
//! | --- | --- | --- |
//! | jobs, of their own or in `buckets` | `jobs`, `open_job`, `ended` | which are undivided or complete |
//! | what jobs need (`dependencies`) | `dependencies` | which wait, are cancelled with others, their urgency |
//! | pages of new jobs | `admission_log`, `admission_compaction` | jobs that nothing else is stored of |
//! | pages of assignments | `assignments` | what is left to be started, what each machine runs |
//! | machine types, attributes | `catalog` | the pools of jobs' rules |
//! | leases, images, grants, submissions, formats | `lease_holder`, `images`, `format`, here | |
//!
//! The same modules plan the transactions that change these records, each with the
//! conditions under which what the mirror knows still holds (`Mirror::require`).

mod admission_compaction;
mod admission_log;
mod assignments;
mod bucket_division;
mod buckets;
mod catalog;
mod changes;
mod dependencies;
mod ended;
mod format;
mod images;
mod job_containers;
mod jobs;
mod lease_holder;
mod open_job;
mod record_error;

use crate::Config;
use crate::admission::flows::Flows;
use crate::names::Names;
use crate::pages::Page;
use admission_log::AdmissionLog;
pub use admission_log::{AdmissionPage, MOST_ROWS};
pub use assignments::TaskTable;
use buckets::BucketIndex;
pub use catalog::MachineCatalog;
use changes::SeenKeys;
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::condor::{IdsRecord, SubmissionRecord, submission_key};
use cherryyard_wire::history::PackedRecord;
use cherryyard_wire::record;
use cherryyard_wire::record::{Grant, Key};
use cherryyard_wire::rules::Attributes;
use cherryyard_wire::state::{Commit, Json};
use dependencies::DependencyGraph;
pub use dependencies::{Deadline, Urgency};
pub use ended::EndedJob;
use ended::EndedJobs;
pub use format::RecordFormat;
pub use images::StoredImages;
pub use jobs::over;
pub use lease_holder::LeaseHolder;
pub use open_job::OpenJob;
use record_error::read;
pub use record_error::{RecordError, RecordProblem};
use std::collections::{BTreeMap, BTreeSet};

/// What the state service holds, as far as this controller has read it.
#[derive(Clone, Debug)]
pub struct Mirror {
    /// Everything up to this revision has been seen. Written by `changes`, as is `loaded`.
    pub store_revision: u64,
    /// Whether a first full read has been made.
    pub loaded: bool,
    /// Deleted keys, and those that a full read under way has shown.
    seen: SeenKeys,
    /// Records that could not be used, until they are taken to be logged.
    record_errors: Vec<RecordError>,
    /// Machine names: also of machines that only heartbeats or the cloud have named.
    pub hosts: Names,
    teams: Names,
    /// Leases on shards. Written by `put_record` and `forget` alone, as are the lead's lease,
    /// images, grants, submissions and their ids, formats and the history's record.
    pub shards: Vec<Option<LeaseHolder>>,
    /// The lease on the lead.
    pub leader_lease: Option<LeaseHolder>,
    /// Images held in each shard, as last stored.
    pub images: Vec<StoredImages>,
    /// What each shard may use of each team's limit, with the record's revision: by team,
    /// then shard.
    pub grants: Vec<Vec<(Grant, u64)>>,
    /// Submissions of many jobs, by number, with their revisions.
    pub submissions: BTreeMap<u64, (SubmissionRecord, u64)>,
    /// Ids handed out to them.
    pub ids: IdsRecord,
    ids_revision: u64,
    /// Formats of records.
    pub format: RecordFormat,
    /// How far the history of jobs that are over goes.
    pub packed: PackedRecord,
    /// Revision of that record.
    pub packed_revision: u64,
    /// Machine types and attributes.
    pub catalog: MachineCatalog,
    /// Classes and teams of jobs.
    pub flows: Flows,
    /// Jobs that are not over, by number. Written by `dependencies`, which puts jobs in and
    /// takes them out with what they need.
    pub open: BTreeMap<u64, OpenJob>,
    /// Open jobs that wait for no other and that the leader has not divided yet. Written by
    /// `jobs`, and by `dependencies` for jobs that are cancelled with others.
    pub undivided: BTreeSet<u64>,
    /// Open arrays of which every task is done. Written by `jobs`.
    pub complete: BTreeSet<u64>,
    graph: DependencyGraph,
    /// Jobs that are over.
    ended: EndedJobs,
    /// Which job stands in which bucket.
    buckets: BucketIndex,
    /// Pages of new jobs.
    pub admission_log: AdmissionLog,
    /// Assignments of tasks, and what is left to be started.
    pub tasks: TaskTable,
}

impl Mirror {
    /// An empty mirror.
    pub fn new(config: &Config) -> Self {
        let shards = config.shards();
        Self {
            store_revision: 0,
            loaded: false,
            seen: SeenKeys::default(),
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
            packed: PackedRecord::default(),
            packed_revision: 0,
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

    /// Records that could not be used since the last call.
    pub fn take_record_errors(&mut self) -> Vec<RecordError> {
        std::mem::take(&mut self.record_errors)
    }

    /// The revision under which `key` is known, 0 if it is absent.
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
            Key::Job(job) => self.own_revision(job),
            Key::Bucket(start) => self.buckets.revision(start),
            Key::AdmissionPage(page) => {
                let known = self.admission_log.get(page);
                known.map_or(0, |known| known.revision)
            }
            Key::Format => self.format.revision,
            Key::Packed => self.packed_revision,
            Key::Assignment { shard, page } => self.tasks.page_revision(shard, page),
            Key::Grant { team, shard } => {
                let grants = self.grants.get(team);
                let grant = grants.and_then(|grants| grants.get(shard));
                grant.map_or(0, |(_, revision)| *revision)
            }
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
        if self.catalog.set_machine_types(machine_types) {
            self.catalog.rematch(self.open.values_mut());
        }
    }

    fn set_attributes(&mut self, attributes: Attributes, revision: u64) {
        self.catalog.set_attributes(attributes, revision);
        self.catalog.rematch(self.open.values_mut());
    }

    /// Takes a key as absent.
    fn forget(&mut self, key: Key) {
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
            Key::Packed => (self.packed, self.packed_revision) = (PackedRecord::default(), 0),
            Key::Assignment { shard, page } => self.set_page(shard, page, None),
            Key::Grant { team, shard } => {
                let grants = self.grants.get_mut(team);
                if let Some(grant) = grants.and_then(|grants| grants.get_mut(shard)) {
                    *grant = (Grant::default(), 0);
                }
            }
        }
    }

    /// Takes a record under a key of which nothing newer is known.
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
            Key::Format => self.format = RecordFormat::of(read(value)?, revision),
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
                let grants = self.grants.get_mut(team);
                let slot = grants.and_then(|grants| grants.get_mut(shard));
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
            Key::Submission(number) => submission_key(number),
            Key::Format => record::FORMAT.to_string(),
            Key::Packed => record::PACKED.to_string(),
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
