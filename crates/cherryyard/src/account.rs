//! The account of core-seconds, summed from controllers' logs.

use cherryyard_core::account::CoreSeconds;
use comfy_table::{CellAlignment, Table, presets};
use std::collections::BTreeMap;
use std::path::Path;

/// What stands before an account in a log line, and before its shard.
const FIELD: &str = "cores=";
const SHARD: &str = "part=";

/// Sums the accounts in the lines of a log by shard.
fn sum(text: &str, by_shard: &mut BTreeMap<usize, CoreSeconds>) -> Result<(), String> {
    for (i, line) in text.lines().enumerate() {
        let Some((head, json)) = line.split_once(FIELD) else {
            continue;
        };
        let shard = head.rsplit_once(SHARD).map(|h| h.1.trim());
        // Other lines may have such a field too.
        let Some(shard) = shard.and_then(|p| p.parse().ok()) else {
            continue;
        };
        let cores = CoreSeconds::from_json(json).map_err(|e| format!("line {}: {e}", i + 1))?;
        by_shard.entry(shard).or_default().add(&cores);
    }
    Ok(())
}

fn table(by_shard: &BTreeMap<usize, CoreSeconds>) -> Table {
    let mut all = CoreSeconds::default();
    by_shard.values().for_each(|shard| all.add(shard));
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    let shards = by_shard.keys().map(|p| format!("part {p}"));
    let head = ["core-seconds".to_string(), "all".into(), "share".into()];
    table.set_header(head.into_iter().chain(shards));
    for (i, (name, s)) in all.figures().enumerate() {
        if s.abs() < 0.5 {
            continue;
        }
        let share = format!("{:.3}", s / all.total());
        let shards = by_shard
            .values()
            .map(|shard| format!("{:.0}", shard.figures().nth(i).map_or(0.0, |f| f.1)));
        let row = [name.to_string(), format!("{s:.0}"), share];
        table.add_row(row.into_iter().chain(shards));
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// The table of all accounts in the controllers' logs.
pub fn of_logs<'a>(logs: impl Iterator<Item = &'a Path>) -> Result<String, String> {
    let mut by_shard = BTreeMap::new();
    for path in logs {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        sum(&String::from_utf8_lossy(&text), &mut by_shard)
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if by_shard.is_empty() {
        return Err("no accounts in these logs: `account = true` turns them on".into());
    }
    Ok(table(&by_shard).to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Accounts of several shards and times add up; a figure that is not known is
    /// named with its line.
    #[test]
    fn logs_are_summed() {
        let log = "  INFO account part=1 cores={\"arrays\":40,\"round\":10}\n other cores=3\n\
                   INFO account part=0 cores={\"arrays\":30}\n\
                   INFO account part=1 cores={\"lost\":20}\n";
        let mut by_shard = BTreeMap::new();
        sum(log, &mut by_shard).unwrap();
        let text = table(&by_shard).to_string();
        let row = |name: &str| {
            let line = text.lines().find(|l| l.contains(name)).unwrap();
            let words = line.split('|').map(str::trim).filter(|w| !w.is_empty());
            words.skip(1).map(str::to_string).collect::<Vec<_>>()
        };
        assert_eq!(row("arrays"), ["70", "0.700", "30", "40"]);
        assert_eq!(row("lost"), ["20", "0.200", "0", "20"]);
        let bad = sum("x\npart=0 cores={\"nonsense\":1}", &mut by_shard);
        assert_eq!(bad, Err("line 2: nonsense: no such figure".into()));
    }
}
