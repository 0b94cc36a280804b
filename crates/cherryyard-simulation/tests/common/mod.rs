//! Helpers that several test files share, one module for each family of scenarios.

#![allow(
    dead_code,
    reason = "each test file is a crate of its own and uses some of these helpers"
)]

pub mod combinations;
pub mod gap;
pub mod pipelines;
pub mod settled;
