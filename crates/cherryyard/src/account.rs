//! The `account` command: sums the accounts of core-seconds in controllers' logs.

use cherryyard_core::account::CoreSeconds;
use comfy_table::{CellAlignment, Table, presets};
use std::collections::BTreeMap;
use std::path::Path;
use thiserror::Error;

/// What stands before the account in a log line.
const CORES_FIELD: &str = "cores=";
/// What stands before the shard's number, which comes before the account.
const SHARD_FIELD: &str = "shard=";
/// The same in logs of earlier builds.
const LEGACY_SHARD_FIELD: &str = "part=";

/// Why logs cannot be summed.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum AccountError {
    /// A log cannot be read.
    #[error("{path}: {reason}")]
    Unreadable {
        /// The log.
        path: String,
        /// What the system says.
        reason: String,
    },
    /// An account in a log cannot be read.
    #[error("{path}: {source}")]
    BadLog {
        /// The log.
        path: String,
        /// Which line, and what is wrong with it.
        source: BadLine,
    },
    /// The logs hold no account.
    #[error("no accounts in these logs: `account = true` turns them on")]
    NoAccounts,
}

/// A log line whose account cannot be read.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("line {number}: {reason}")]
pub struct BadLine {
    /// Its number, from 1.
    number: usize,
    /// What is wrong with it.
    reason: String,
}

/// The shard that the part of a log line before the account names.
fn shard_of(head: &str) -> Option<usize> {
    let number = |field: &str| head.rsplit_once(field)?.1.trim().parse().ok();
    number(SHARD_FIELD).or_else(|| number(LEGACY_SHARD_FIELD))
}

/// Sums the accounts in the lines of a log by shard.
fn sum(text: &str, by_shard: &mut BTreeMap<usize, CoreSeconds>) -> Result<(), BadLine> {
    for (i, line) in text.lines().enumerate() {
        let Some((head, json)) = line.split_once(CORES_FIELD) else {
            continue;
        };
        // Other lines may have such a field too.
        let Some(shard) = shard_of(head) else {
            continue;
        };
        let cores = CoreSeconds::from_json(json).map_err(|e| BadLine {
            number: i + 1,
            reason: e.to_string(),
        })?;
        by_shard.entry(shard).or_default().add(&cores);
    }
    Ok(())
}

fn table(by_shard: &BTreeMap<usize, CoreSeconds>) -> Table {
    let mut total = CoreSeconds::default();
    by_shard.values().for_each(|shard| total.add(shard));
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    let shards = by_shard.keys().map(|shard| format!("part {shard}"));
    let head = ["core-seconds".to_string(), "all".into(), "share".into()];
    table.set_header(head.into_iter().chain(shards));
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

/// The table of all accounts in the controllers' logs.
pub fn of_logs<'a>(logs: impl Iterator<Item = &'a Path>) -> Result<String, AccountError> {
    let mut by_shard = BTreeMap::new();
    for path in logs {
        let name = || path.display().to_string();
        let text = std::fs::read(path).map_err(|e| AccountError::Unreadable {
            path: name(),
            reason: e.to_string(),
        })?;
        sum(&String::from_utf8_lossy(&text), &mut by_shard).map_err(|source| {
            AccountError::BadLog {
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
