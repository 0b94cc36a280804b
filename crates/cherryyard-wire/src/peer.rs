//! Messages between controllers: heartbeats, and forwarded submissions.
//!
//! A frame consists of its length (4 bytes, big endian), a version byte and a body encoded with
//! `bitcode`. A frame longer than [`MAX_FRAME`] is refused before its payload is read.
//!
//! A frame of version 8 contains a single message; builds that write version 8 cannot read any
//! other. A frame of version 9 contains *sections*, each with a kind. A reader skips sections of
//! unknown kinds, so later builds can add fields and messages as new sections.
//!
//! The version is negotiated per connection: the accepting controller sends a greeting, a frame
//! of version 9, and the connecting controller writes version 9 only after it has received that
//! greeting, else version 8. A connecting controller of an earlier build never reads from the
//! connection, so it ignores the greeting. Thus every controller receives only versions that it
//! can read, whichever build it is of.

use bitcode::{Decode, Encode};
use thiserror::Error;

/// Frame version of earlier builds, which cannot read any other.
pub const LEGACY_VERSION: u8 = 8;
/// Current frame version, with sections.
pub const VERSION: u8 = 9;
/// Maximum number of sections in a frame.
const MAX_SECTIONS: usize = 64;
/// Kind of the section that holds a [`Message`].
const MESSAGE_SECTION: u16 = 1;
/// Kind of the section that holds a [`Sender`].
const SENDER_SECTION: u16 = 2;

/// Body of a frame of version 9: sections, as pairs of kind and encoded content.
#[derive(Encode, Decode)]
struct Sections(Vec<(u16, Vec<u8>)>);

/// Description of the sending controller, in every frame of version 9.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Sender {
    /// Name of the controller.
    pub label: String,
    /// Newest format of stored records that the controller can work with.
    pub format: u32,
    /// Build of the controller, for logs and display.
    pub build: String,
}

/// Decoded frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Message; `None` in a greeting, or if a later build has sent the message in a section of an
    /// unknown kind.
    pub message: Option<Message>,
    /// Sending controller; `None` in frames of earlier builds.
    pub sender: Option<Sender>,
}

/// Maximum size of a frame in bytes. A heartbeat that reports the free capacity of 4,096 machines
/// in one shard, each with 24 of 400 images, takes 324 KiB.
pub const MAX_FRAME: usize = 512 * 1024;

/// Message between controllers.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// Heartbeat, which every controller sends to every other.
    Heartbeat(Box<Heartbeat>),
    /// Submission that the receiver is to write to the state service.
    ForwardedSubmission(ForwardedSubmission),
    /// Response to a forwarded submission.
    ForwardResponse(ForwardResponse),
}

/// Submission that the controller which received it forwards to another controller.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ForwardedSubmission {
    /// Name of the sender.
    pub label: String,
    /// Number with which the sender matches the response to this submission.
    pub ticket: u64,
    /// Time of the submission, in milliseconds since the Unix epoch. A submission that was
    /// delayed in transit is not carried out.
    pub at: u64,
    /// Body of the user's request.
    pub body: Vec<u8>,
}

/// Response that the forwarding controller is to send to the user.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ForwardResponse {
    /// `ticket` of the forwarded submission.
    pub ticket: u64,
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Retry-After` header in seconds; 0: no such header.
    pub retry_after: u32,
    /// Body of the response, in JSON.
    pub body: String,
}

/// Heartbeat that a controller sends to every other, regularly and after changes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Heartbeat {
    /// Name of the sender.
    pub label: String,
    /// Whether the sender is cut off from the state service.
    pub cut_off: bool,
    /// Time since the state service last answered the sender, in milliseconds; `u32::MAX` if it
    /// has not answered since the sender's start.
    pub silent_ms: u32,
    /// Numbers of jobs whose cancellation the sender has recently learnt of, for controllers
    /// that are cut off from the state service.
    pub cancelled: Vec<u64>,
    /// Age of the start of the period that `cancelled` covers without a gap, in milliseconds.
    pub cancellations_cover_ms: u32,
    /// Whether all controllers are cut off from the state service, and the sender has read the
    /// state and has received every cancellation that any controller can have accepted.
    pub all_cancellations_known: bool,
    /// State revision up to which the sender has read the state.
    pub store_revision: u64,
    /// Shard leases known to the sender, as (shard, revision of the lease, name of the
    /// owner).
    pub leases: Vec<(u32, u64, String)>,
    /// Capacity reports of the shards that the sender owns; empty in heartbeats in which none
    /// is due.
    pub shards: Vec<CapacityReport>,
    /// From the leader: names of teams of which some shard needs more of the team's limit than
    /// its grant. Owners return the parts of grants that their shards do not need.
    pub teams_short_of_grants: Vec<String>,
    /// Services that the sender offers to hand over to other shards because only these hold
    /// the services' images, as (present shard, job number).
    pub handover_candidates: Vec<(u32, u64)>,
    /// Workers of other controllers' shards that have recently sent their heartbeats to the
    /// sender and that the sender can reach, as (shard, estimated number of workers).
    pub misdirected_workers: Vec<(u32, u32)>,
    /// Sequence number of this heartbeat at the sender: ascending, from an arbitrary start.
    pub number: u64,
    /// Last sequence number received from each other controller, as (index of the controller
    /// in [`Settings::controllers`](crate::settings::Settings::controllers), sequence number).
    pub last_received_numbers: Vec<(u32, u64)>,
    /// From the leader: flows (the jobs of one class and team) that are scheduled ahead of
    /// rank, up to their fair-share guarantees.
    pub fair_share_grants: Vec<FlowGrant>,
    /// Longest time that a submission has been waiting at the sender to be written, in
    /// milliseconds; 0 if the state service does not answer the sender.
    pub longest_submission_wait_ms: u32,
    /// Counts of submissions at the sender since its start.
    pub demand: Vec<DemandReport>,
}

/// Flow (the jobs of one class and team) that is scheduled ahead of rank because it has long run
/// less than its fair-share guarantee.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct FlowGrant {
    /// Class of the flow.
    pub class: String,
    /// Team of the flow, by its index in the settings.
    pub team: u32,
    /// Fair-share guarantee of the flow, in cores.
    pub guarantee_cores: f32,
    /// Division of the guarantee among the shards.
    pub shard_grants: Vec<ShardGrant>,
}

/// Part of a flow's guarantee granted to a shard. The shard's owner may start tasks of the flow
/// ahead of rank until they use this much there, and preempt tasks of the flow for other jobs
/// only down to this much.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ShardGrant {
    /// Shard whose owner receives the grant.
    pub shard: u32,
    /// Revisions (fencing tokens) of the leader's lease and of the shard's lease at the time of
    /// the grant.
    pub lease_tokens: (u64, u64),
    /// Granted amount, in thousandths of a core.
    pub amount_millicores: u64,
}

/// Counts of a flow's submissions at one controller since its start.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DemandReport {
    /// Class of the flow.
    pub class: String,
    /// Team of the flow, by its index in the settings.
    pub team: u32,
    /// Number of jobs that were submitted; retries of the same job are not counted again.
    pub submitted: u64,
    /// Number of jobs that were accepted.
    pub accepted: u64,
    /// Number of responses that refused a submission.
    pub refused: u64,
}

/// Report of a shard's free capacity and waiting tasks, for the leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct CapacityReport {
    /// Reported shard.
    pub shard: u32,
    /// Revision of the shard's lease under which the report was made.
    pub revision: u64,
    /// Machine pools of the shard.
    pub pools: Vec<MachinePool>,
    /// Names of the images that the shard's machines hold.
    pub images: Vec<String>,
    /// Free capacity of each usable machine.
    pub machines: Vec<MachineCapacity>,
    /// Waiting tasks by job, as (job number, number of tasks, waiting time in
    /// seconds).
    pub waiting: Vec<(u64, u32, f32)>,
    /// Part of each team's limit that the shard uses and needs, as (team, cores, accelerators).
    pub team_demand: Vec<(String, f64, f64)>,
}

/// Pool of machines: a machine type in a zone, either spot or ordinary.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MachinePool {
    /// Machine type of the pool.
    pub machine_type: String,
    /// Zone of the pool.
    pub zone: String,
    /// Whether the machines are spot machines.
    pub spot: bool,
}

/// Free capacity of a machine.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineCapacity {
    /// Index of the machine's pool in [`CapacityReport::pools`].
    pub pool: u16,
    /// Free cores, accelerators and memory in GB.
    pub free: (f32, f32, f32),
    /// Same amounts if all arrays of standard priority or below were preempted.
    pub free_if_preempted: (f32, f32, f32),
    /// Indices in [`CapacityReport::images`] of the images that the machine holds completely.
    pub images: Vec<u16>,
}

impl CapacityReport {
    /// Returns whether all indices of pools and images in the machines' entries exist in the
    /// report.
    pub fn is_sound(&self) -> bool {
        self.machines.iter().all(|m| {
            usize::from(m.pool) < self.pools.len()
                && m.images.iter().all(|&i| usize::from(i) < self.images.len())
        })
    }
}

/// Reason why a frame from another controller is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The payload has no bytes.
    #[error("empty frame")]
    Empty,
    /// The frame's version is unknown.
    #[error("unsupported frame version {version}, expected {LEGACY_VERSION} or {VERSION}")]
    UnknownVersion {
        /// Version of the frame.
        version: u8,
    },
    /// The frame has more than `MAX_SECTIONS` sections.
    #[error("{count} sections, more than {MAX_SECTIONS}")]
    TooManySections {
        /// Number of sections.
        count: usize,
    },
    /// The payload cannot be decoded.
    #[error("payload cannot be decoded: {reason}")]
    Malformed {
        /// Message of the decoder.
        reason: String,
    },
}

impl From<bitcode::Error> for FrameError {
    fn from(error: bitcode::Error) -> Self {
        Self::Malformed {
            reason: error.to_string(),
        }
    }
}

/// Prefixes a body with its version byte.
fn with_version(version: u8, body: Vec<u8>) -> Vec<u8> {
    let mut out = vec![version];
    out.extend(body);
    out
}

/// Encodes a message as the payload of a frame of version 8, for controllers of earlier builds.
pub fn encode_legacy(message: &Message) -> Vec<u8> {
    with_version(LEGACY_VERSION, bitcode::encode(message))
}

/// Encodes a message and its sender as the payload of a frame of version 9.
pub fn encode(message: &Message, sender: &Sender) -> Vec<u8> {
    let sections = Sections(vec![
        (SENDER_SECTION, bitcode::encode(sender)),
        (MESSAGE_SECTION, bitcode::encode(message)),
    ]);
    with_version(VERSION, bitcode::encode(&sections))
}

/// Returns the payload of the greeting, the frame that a controller sends on a connection that it
/// has accepted.
pub fn greeting(sender: &Sender) -> Vec<u8> {
    let sections = Sections(vec![(SENDER_SECTION, bitcode::encode(sender))]);
    with_version(VERSION, bitcode::encode(&sections))
}

/// Decodes the payload of a frame of either version.
pub fn decode(payload: &[u8]) -> Result<Frame, FrameError> {
    match payload.split_first() {
        Some((&LEGACY_VERSION, rest)) => Ok(Frame {
            message: Some(bitcode::decode(rest)?),
            sender: None,
        }),
        Some((&VERSION, rest)) => decode_sections(rest),
        Some((&version, _)) => Err(FrameError::UnknownVersion { version }),
        None => Err(FrameError::Empty),
    }
}

fn decode_sections(payload: &[u8]) -> Result<Frame, FrameError> {
    let Sections(sections) = bitcode::decode(payload)?;
    if sections.len() > MAX_SECTIONS {
        let count = sections.len();
        return Err(FrameError::TooManySections { count });
    }
    let mut frame = Frame {
        message: None,
        sender: None,
    };
    for (kind, bytes) in sections {
        match kind {
            MESSAGE_SECTION => {
                frame.message = Some(bitcode::decode(&bytes)?);
            }
            SENDER_SECTION => {
                frame.sender = Some(bitcode::decode(&bytes)?);
            }
            // A section that a later build has added.
            _ => {}
        }
    }
    Ok(frame)
}

#[cfg(test)]
mod tests;
