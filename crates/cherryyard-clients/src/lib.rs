//! Clients for the external services, the workers and the other controllers.
//!
//! Each HTTP call is bounded in time and in the size of its response. Errors distinguish whether a
//! failed request may have taken effect or may still do so.

pub mod cloud;
pub mod http;
pub mod peer;
pub mod state;
pub mod worker;
