//! What controllers tell each other: beats, and submissions passed on.
//!
//! A frame is a length (4 bytes, big endian), the version byte, and a message
//! in `bitcode`. Frames over [`MAX_FRAME`] are refused before they are read.

use bitcode::{Decode, Encode};

/// The version of the frames.
pub const VERSION: u8 = 8;
/// Largest frame in bytes.
pub const MAX_FRAME: usize = 256 * 1024;

/// One frame's payload.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// What every controller tells every other.
    Beat(Box<Beat>),
    /// A submission for the receiver to write.
    Ask(Ask),
    /// The answer to one.
    Told(Told),
}

/// A submission that its receiver passes on.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Ask {
    /// The sender's name.
    pub label: String,
    /// The sender's number for it.
    pub ticket: u64,
    /// Time of day at the submission, in milliseconds: one that was held back
    /// on its way is not carried out any more.
    pub at: u64,
    /// The user's request.
    pub body: Vec<u8>,
}

/// What the user is to be answered.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Told {
    /// The number in the question.
    pub ticket: u64,
    /// The status.
    pub status: u16,
    /// `Retry-After` in seconds; 0 for none.
    pub retry_after: u32,
    /// The body, in JSON.
    pub body: String,
}

/// What a controller tells every other, regularly and when it changes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Beat {
    /// The sender's name.
    pub label: String,
    /// Whether the sender is cut off from the state service.
    pub cut_off: bool,
    /// Milliseconds since the state service last answered the sender; the largest
    /// number if it never has since the sender's start.
    pub silent_ms: u32,
    /// Jobs of which the sender has lately learnt that they are cancelled, for those
    /// whom the state service did not tell.
    pub cancelled: Vec<u64>,
    /// How far back that list reaches without a gap, in milliseconds.
    pub reach_ms: u32,
    /// Whether the sender has read the state and knows of every cancellation that any
    /// controller can have taken, while all are cut off.
    pub complete: bool,
    /// The state revision that the sender has seen.
    pub epoch: u64,
    /// Claims that the sender knows: part, stamp, and the owner's name.
    pub claims: Vec<(u32, u64, String)>,
    /// The parts that the sender owns.
    pub parts: Vec<PartReport>,
    /// Teams that are short of their grants, told by the leader.
    pub short: Vec<String>,
    /// Services that the sender would rather not start, as only other parts
    /// hold their images: part and job's number.
    pub handing: Vec<(u32, u64)>,
    /// Parts of others whose workers have lately reported here: part, how many.
    pub strays: Vec<(u32, u32)>,
    /// The sender's number for this beat; they grow, from anywhere.
    pub number: u64,
    /// The last number heard of each other controller, by its place among all.
    pub heard: Vec<(u32, u64)>,
    /// From the leader: flows that go ahead up to their floors.
    pub shares: Vec<FlowShare>,
    /// How long submissions wait at the sender, in milliseconds.
    pub intake_ms: u32,
    /// What has become of submissions at the sender since its start.
    pub demand: Vec<DemandTold>,
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
    /// How it is divided among parts.
    pub levels: Vec<LevelTold>,
}

/// A part's level of a flow: up to it its owner may start tasks ahead of rank, and down
/// to it stop them for others.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LevelTold {
    /// The part.
    pub part: u32,
    /// Stamps of the leader's claim and the part's.
    pub under: (u64, u64),
    /// The level, in thousandths of a core.
    pub level: u64,
}

/// What has become of a flow's submissions at one controller since its start.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DemandTold {
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

/// Free room and waiting tasks of a part.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PartReport {
    /// The part.
    pub part: u32,
    /// Stamp of the claim that the report was made under.
    pub stamp: u64,
    /// Sorts of machine that the part has.
    pub sorts: Vec<MachineSort>,
    /// Images that its machines hold.
    pub images: Vec<String>,
    /// Usable machines.
    pub machines: Vec<MachineRoom>,
    /// Waiting tasks by job: the job's number, how many, and for how long.
    pub waiting: Vec<(u64, u32, f32)>,
    /// What the part uses and wants of each team's limit: team, cores and accelerators.
    pub wants: Vec<(String, f64, f64)>,
}

/// A sort of machine.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct MachineSort {
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

/// Free room of a machine.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineRoom {
    /// Its place among the report's sorts.
    pub sort: u16,
    /// Free cores, accelerators and memory.
    pub free: (f32, f32, f32),
    /// The same if arrays of ordinary rank or below made way.
    pub yielding: (f32, f32, f32),
    /// Images that it holds whole, by their places in the report.
    pub images: Vec<u16>,
}

impl PartReport {
    /// Whether the machines name only what the report lists.
    pub fn is_sound(&self) -> bool {
        self.machines.iter().all(|m| {
            usize::from(m.sort) < self.sorts.len()
                && m.images.iter().all(|&i| usize::from(i) < self.images.len())
        })
    }
}

/// Puts a message into a frame's payload.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut out = vec![VERSION];
    out.extend(bitcode::encode(message));
    out
}

/// Reads a frame's payload.
pub fn decode(payload: &[u8]) -> Result<Message, String> {
    match payload.split_first() {
        Some((&VERSION, rest)) => bitcode::decode(rest).map_err(|e| e.to_string()),
        Some((v, _)) => Err(format!("version {v} instead of {VERSION}")),
        None => Err("empty frame".into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A truncated, foreign or random frame is an error, never a panic.
    #[test]
    fn bad_frames_are_refused() {
        let beat = Message::Beat(Box::new(Beat {
            label: "a".into(),
            cut_off: false,
            silent_ms: 400,
            cancelled: vec![412],
            reach_ms: 60_000,
            complete: false,
            epoch: 7,
            claims: vec![(0, 3, "a".into())],
            parts: vec![],
            short: vec![],
            handing: vec![],
            strays: vec![],
            number: 3,
            heard: vec![(1, 7)],
            shares: vec![],
            intake_ms: 0,
            demand: vec![],
        }));
        let whole = encode(&beat);
        assert_eq!(decode(&whole).as_ref(), Ok(&beat));
        for n in 0..whole.len() {
            assert!(decode(&whole[..n]).is_err(), "{n} bytes");
        }
        let mut foreign = whole.clone();
        foreign[0] = 9;
        assert_eq!(decode(&foreign), Err("version 9 instead of 8".into()));
    }
}
