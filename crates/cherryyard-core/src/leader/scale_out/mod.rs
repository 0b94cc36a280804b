//! Scale-out: provisions machines ahead of need.
//!
//! [`Fleet`] computes what is lacking, and which pool of machines to provision it from.
//! [`ScaleOut`] keeps the requests to the cloud and their results.

mod fleet;
mod requests;

pub(crate) use fleet::{Fleet, ready_s};
pub use requests::ProvisionError;
pub(crate) use requests::ScaleOut;
