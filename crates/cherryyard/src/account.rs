//! The `account` command: sums up the core-seconds accounts in controllers' logs.

use cherryyard_core::account::CoreSeconds;
use comfy_table::{CellAlignment, Table, presets};
use std::collections::BTreeMap;
use std::path::Path;
use thiserror::Error;

/// Text before the account in a log line.
const CORES_FIELD: &str = "cores=";
/// Text before the shard's number, which precedes the account in the line.
const SHARD_FIELD: &str = "shard=";
/// Text before the shard's number in logs of earlier builds.
const LEGACY_SHARD_FIELD: &str = "part=";

/// Error that prevents logs from being summed up.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum AccountError {
    /// A log cannot be read.
    #[error("{path}: {reason}")]
    Unreadable {
        /// Path of the log.
        path: String,
        /// Error of the operating system.
        reason: String,
    },
    /// An account in a log cannot be parsed.
    #[error("{path}: {source}")]
    InvalidLog {
        /// Path of the log.
        path: String,
        /// Line that cannot be parsed.
        source: InvalidLine,
    },
    /// The logs contain no account.
    #[error("no accounts in these logs: `account = true` turns them on")]
    NoAccounts,
}

/// A log line whose account cannot be parsed.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("line {number}: {reason}")]
pub struct InvalidLine {
    /// Number of the line, from 1.
    number: usize,
    /// Error in the line.
    reason: String,
}

/// Returns the shard's number from the part of a log line before the account.
fn shard_of(prefix: &str) -> Option<usize> {
    let number = |field: &str| prefix.rsplit_once(field)?.1.trim().parse().ok();
    number(SHARD_FIELD).or_else(|| number(LEGACY_SHARD_FIELD))
}

/// Adds the accounts in a log to the sums by shard.
fn add_log(text: &str, by_shard: &mut BTreeMap<usize, CoreSeconds>) -> Result<(), InvalidLine> {
    for (i, line) in text.lines().enumerate() {
        let Some((prefix, json)) = line.split_once(CORES_FIELD) else {
            continue;
        };
        // Not an account line: other log lines may have a field `cores` too.
        let Some(shard) = shard_of(prefix) else {
            continue;
        };
        let cores = CoreSeconds::from_json(json).map_err(|e| InvalidLine {
            number: i + 1,
            reason: e.to_string(),
        })?;
        by_shard.entry(shard).or_default().add(&cores);
    }
    Ok(())
}

/// Returns a table with one row per kind of core use: its total, its share, and its core-seconds
/// in each shard.
fn table(by_shard: &BTreeMap<usize, CoreSeconds>) -> Table {
    let mut total = CoreSeconds::default();
    by_shard.values().for_each(|shard| total.add(shard));
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    let shards = by_shard.keys().map(|shard| format!("part {shard}"));
    let header = ["core-seconds".to_string(), "all".into(), "share".into()];
    table.set_header(header.into_iter().chain(shards));
    for (i, (name, seconds)) in total.figures().enumerate() {
        if seconds.abs() < 0.5 {
            continue;
        }
        let share = format!("{:.3}", seconds / total.total());
        let shards = by_shard
            .values()
            .map(|shard| format!("{:.0}", shard.figures().nth(i).map_or(0.0, |f| f.1)));
        let row = [name.to_string(), format!("{seconds:.0}"), share];
        table.add_row(row.into_iter().chain(shards));
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Returns the table of all accounts in the controllers' logs.
pub fn summarize_logs<'a>(logs: impl Iterator<Item = &'a Path>) -> Result<String, AccountError> {
    let mut by_shard = BTreeMap::new();
    for path in logs {
        let name = || path.display().to_string();
        let text = std::fs::read(path).map_err(|e| AccountError::Unreadable {
            path: name(),
            reason: e.to_string(),
        })?;
        add_log(&String::from_utf8_lossy(&text), &mut by_shard).map_err(|source| {
            AccountError::InvalidLog {
                path: name(),
                source,
            }
        })?;
    }
    if by_shard.is_empty() {
        return Err(AccountError::NoAccounts);
    }
    Ok(table(&by_shard).to_string())
}

#[cfg(test)]
mod tests;
