//! Messages between controllers: heartbeats, and forwarded submissions.
//!
//! A frame is a length (4 bytes, big endian), a version byte, and what follows in
//! `bitcode`. Frames over [`MAX_FRAME`] are refused before they are read.
//!
//! Frames of version 8 hold a message and nothing else; builds that write them read no
//! other. Those of version 9 hold *sections*, each with a kind; a reader passes over
//! kinds that it does not know, so a later build adds fields and messages as sections of
//! their own. Who accepts a connection greets with a frame of version 9, which the other
//! end of an earlier build never reads; only who has been greeted writes version 9 on
//! that connection. So what a controller receives always is of a version that the process
//! at the other end can read, whichever build that is.

use bitcode::{Decode, Encode};
use thiserror::Error;

/// The version of frames of earlier builds, which read no other.
pub const LEGACY_VERSION: u8 = 8;
/// The version of frames with sections.
pub const VERSION: u8 = 9;
/// Most sections of a frame.
const MAX_SECTIONS: usize = 64;
/// Kind of the section that holds a [`Message`].
const MESSAGE_SECTION: u16 = 1;
/// Kind of the section that holds a [`Sender`].
const SENDER_SECTION: u16 = 2;

/// The payload of a frame of version 9: sections by kind.
#[derive(Encode, Decode)]
struct Sections(Vec<(u16, Vec<u8>)>);

/// What a controller says of itself in every frame of version 9.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Sender {
    /// Its name.
    pub label: String,
    /// The newest format of stored records that it can work with.
    pub format: u32,
    /// Its build, for people.
    pub build: String,
}

/// A frame as it is read.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The message; none in a greeting, or where its kind is not known.
    pub message: Option<Message>,
    /// Who sent it; none in frames of earlier builds.
    pub sender: Option<Sender>,
}

/// Largest frame in bytes: a heartbeat with the free capacity of 4,096 machines in one shard, each
/// with 24 of 400 images, takes 324 KiB.
pub const MAX_FRAME: usize = 512 * 1024;

/// One frame's payload.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// What every controller sends to every other.
    Heartbeat(Box<Heartbeat>),
    /// A submission for the receiver to write.
    ForwardedSubmission(ForwardedSubmission),
    /// The answer to one.
    ForwardResponse(ForwardResponse),
}

/// A submission that the controller which received it forwards to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ForwardedSubmission {
    /// The sender's name.
    pub label: String,
    /// The sender's number for it.
    pub ticket: u64,
    /// Time of day at the submission, in milliseconds: one that was delayed on its way
    /// is not carried out any more.
    pub at: u64,
    /// The user's request.
    pub body: Vec<u8>,
}

/// What the user is to be answered.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ForwardResponse {
    /// The number in the forwarded submission.
    pub ticket: u64,
    /// The status.
    pub status: u16,
    /// `Retry-After` in seconds; 0 for none.
    pub retry_after: u32,
    /// The body, in JSON.
    pub body: String,
}

/// What a controller sends to every other, regularly and when it changes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Heartbeat {
    /// The sender's name.
    pub label: String,
    /// Whether the sender is cut off from the state service.
    pub cut_off: bool,
    /// Milliseconds since the state service last answered the sender; the largest
    /// number if it never has since the sender's start.
    pub silent_ms: u32,
    /// Jobs that the sender has lately learnt are cancelled, for controllers that are cut
    /// off from the state service.
    pub cancelled: Vec<u64>,
    /// How far back that list reaches without a gap, in milliseconds.
    pub reach_ms: u32,
    /// Whether the sender has read the state and knows of every cancellation that any
    /// controller can have taken, while all are cut off.
    pub complete: bool,
    /// The state revision that the sender has seen.
    pub store_revision: u64,
    /// Leases that the sender knows: shard, revision, and the owner's name.
    pub leases: Vec<(u32, u64, String)>,
    /// The shards that the sender owns.
    pub shards: Vec<CapacityReport>,
    /// From the leader: teams that are short of their grants.
    pub short: Vec<String>,
    /// Services that the sender offers to other shards, which alone hold their images:
    /// shard and job's number.
    pub handing: Vec<(u32, u64)>,
    /// Shards of other controllers whose workers have lately reported here, and how many.
    pub misdirected: Vec<(u32, u32)>,
    /// The sender's number for this heartbeat; they grow, from anywhere.
    pub number: u64,
    /// The last number received from each other controller, by its index among all.
    pub heard: Vec<(u32, u64)>,
    /// From the leader: flows that go ahead up to their floors.
    pub shares: Vec<FlowShare>,
    /// How long submissions wait at the sender, in milliseconds.
    pub intake_ms: u32,
    /// What has become of submissions at the sender since its start.
    pub demand: Vec<DemandReport>,
}

/// A flow that has long had less than its floor.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct FlowShare {
    /// Its class.
    pub class: String,
    /// Its team, by its place in the settings.
    pub team: u32,
    /// Its floor in cores.
    pub floor: f32,
    /// How it is divided among shards.
    pub levels: Vec<LevelGrant>,
}

/// A shard's level of a flow: up to it its owner may start tasks ahead of rank, and down
/// to it stop them for others.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LevelGrant {
    /// The shard.
    pub shard: u32,
    /// Revisions of the leader's lease and of the shard's.
    pub under: (u64, u64),
    /// The level, in thousandths of a core.
    pub level: u64,
}

/// What has become of a flow's submissions at one controller since its start.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DemandReport {
    /// The flow's class.
    pub class: String,
    /// Its team, by its place in the settings.
    pub team: u32,
    /// Jobs that were submitted, each counted once.
    pub offered: u64,
    /// Of them, taken.
    pub taken: u64,
    /// Answers that sent a user away.
    pub refused: u64,
}

/// Free capacity and waiting tasks of a shard.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct CapacityReport {
    /// The shard.
    pub shard: u32,
    /// Revision of the lease that the report was made under.
    pub revision: u64,
    /// Machine pools that the shard has.
    pub pools: Vec<MachinePool>,
    /// Images that its machines hold.
    pub images: Vec<String>,
    /// Usable machines.
    pub machines: Vec<MachineCapacity>,
    /// Waiting tasks by job: the job's number, how many, and for how long.
    pub waiting: Vec<(u64, u32, f32)>,
    /// What the shard uses and wants of each team's limit: team, cores and accelerators.
    pub wants: Vec<(String, f64, f64)>,
}

/// A pool of machines.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MachinePool {
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

/// Free capacity of a machine.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineCapacity {
    /// Its place among the report's pools.
    pub pool: u16,
    /// Free cores, accelerators and memory.
    pub free: (f32, f32, f32),
    /// The same if arrays of ordinary rank or below made way.
    pub yielding: (f32, f32, f32),
    /// Images that it holds whole, by their places in the report.
    pub images: Vec<u16>,
}

impl CapacityReport {
    /// Whether the machines name only what the report lists.
    pub fn is_sound(&self) -> bool {
        self.machines.iter().all(|m| {
            usize::from(m.pool) < self.pools.len()
                && m.images.iter().all(|&i| usize::from(i) < self.images.len())
        })
    }
}

/// Why a frame of another controller is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// It has no bytes.
    #[error("empty frame")]
    Empty,
    /// Its version is not known.
    #[error("version {version} instead of {LEGACY_VERSION} or {VERSION}")]
    UnknownVersion {
        /// The version.
        version: u8,
    },
    /// It has too many sections.
    #[error("{count} sections")]
    TooManySections {
        /// How many.
        count: usize,
    },
    /// Its payload cannot be decoded.
    #[error("{reason}")]
    Malformed {
        /// What the decoder says.
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

fn versioned(version: u8, body: Vec<u8>) -> Vec<u8> {
    let mut out = vec![version];
    out.extend(body);
    out
}

/// Puts a message into a frame's payload as earlier builds read it.
pub fn encode_legacy(message: &Message) -> Vec<u8> {
    versioned(LEGACY_VERSION, bitcode::encode(message))
}

/// Puts a message and its sender into a frame's payload.
pub fn encode(message: &Message, sender: &Sender) -> Vec<u8> {
    let sections = Sections(vec![
        (SENDER_SECTION, bitcode::encode(sender)),
        (MESSAGE_SECTION, bitcode::encode(message)),
    ]);
    versioned(VERSION, bitcode::encode(&sections))
}

/// The payload of the frame with which a connection is accepted.
pub fn greeting(sender: &Sender) -> Vec<u8> {
    let sections = Sections(vec![(SENDER_SECTION, bitcode::encode(sender))]);
    versioned(VERSION, bitcode::encode(&sections))
}

/// Reads a frame's payload, of either version.
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
            // Of a later build.
            _ => {}
        }
    }
    Ok(frame)
}

#[cfg(test)]
mod tests;
