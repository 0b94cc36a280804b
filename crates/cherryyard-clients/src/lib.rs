//! Clients of everything outside one controller.
//!
//! Each call is bounded in time and size. Errors distinguish what matters after a failure:
//! whether the request can still take effect.

pub mod cloud;
pub mod http;
pub mod peer;
pub mod state;
pub mod worker;
