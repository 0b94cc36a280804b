//! Reads the resources that a job requests.

use super::commands::JobCommands;
use crate::error::{CommandError, SubmitResult, Warning};

/// Bytes per kilobyte, the unit of `request_disk`.
pub(super) const KB: f64 = 1024.0;
/// Bytes per megabyte, the unit of `request_memory`.
pub(super) const MB: f64 = 1024.0 * 1024.0;
const GB: f64 = 1024.0 * 1024.0 * 1024.0;
const TB: f64 = 1024.0 * 1024.0 * 1024.0 * 1024.0;
/// Memory in bytes of a job that requests none, which is the published default of HTCondor.
const DEFAULT_MEMORY: f64 = 128.0 * MB;

/// The resources that a job requests.
pub(super) struct Resources {
    pub(super) cores: f64,
    pub(super) gpus: f64,
    /// Memory in bytes.
    pub(super) memory: f64,
    /// Disk space in bytes, if the file requests any.
    pub(super) disk: Option<f64>,
}

impl Resources {
    pub(super) fn new(
        commands: &mut JobCommands<'_>,
        warnings: &mut Vec<Warning>,
    ) -> SubmitResult<Self> {
        let cores = commands.number("request_cpus")?.unwrap_or(1.0);
        if cores <= 0.0 {
            return Err(commands.error("request_cpus", CommandError::NotPositive));
        }
        let gpus = commands.number("request_gpus")?.unwrap_or(0.0);
        let memory = bytes(commands, "request_memory", MB)?.unwrap_or(DEFAULT_MEMORY);
        let disk = bytes(commands, "request_disk", KB)?;
        if disk.is_some() {
            let message = "request_disk counts only where requirements compare RequestDisk with an attribute of machines";
            warnings.push(commands.location_of("request_disk").warning(message));
        }
        Ok(Self {
            cores,
            gpus,
            memory,
            disk,
        })
    }

    pub(super) fn memory_gb(&self) -> f64 {
        self.memory / GB
    }
}

/// Returns a command's value in bytes. The value is a number of units, a number with a
/// suffix such as `G` or `GiB`, or an expression that yields a number of units.
fn bytes(commands: &mut JobCommands<'_>, name: &str, unit: f64) -> SubmitResult<Option<f64>> {
    let Some(text) = commands.text(name) else {
        return Ok(None);
    };
    let bytes = match number_with_suffix(text, unit) {
        Some(bytes) => bytes,
        None => commands.evaluate_number(name, text)? * unit,
    };
    if !(bytes.is_finite() && bytes >= 0.0) {
        return Err(commands.error(name, CommandError::Negative));
    }
    Ok(Some(bytes))
}

/// Returns a number in bytes if the text is a number, with or without a suffix.
fn number_with_suffix(text: &str, unit: f64) -> Option<f64> {
    let lower = text.to_ascii_lowercase();
    let bare = lower.trim_end_matches('b').trim_end_matches('i').trim_end();
    let digits = bare.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let factor = match &bare[digits.len()..] {
        "" if lower.ends_with('b') => 1.0,
        "" => unit,
        "k" => KB,
        "m" => MB,
        "g" => GB,
        "t" => TB,
        _ => return None,
    };
    let number: f64 = digits.trim().parse().ok()?;
    Some(number * factor)
}
