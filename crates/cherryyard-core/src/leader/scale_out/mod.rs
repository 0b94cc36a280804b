//! Scale out: machines are provisioned ahead of need.
//!
//! [`Fleet`] works out what is lacking, and which pool of machines could give it;
//! [`ScaleOut`] holds the requests to the cloud and what has come of them.

mod fleet;
mod requests;

pub(crate) use fleet::{Fleet, ready_s};
pub use requests::ProvisionError;
pub(crate) use requests::ScaleOut;
