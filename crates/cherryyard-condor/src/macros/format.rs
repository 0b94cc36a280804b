//! Formats numbers and file names for the functions of macros.

use super::error::MacroError;

/// Letters that may follow `$F`.
const FILE_NAME_OPTIONS: &[u8] = b"pdnxbqafuw";
/// Number of fraction digits if the format states none.
const DEFAULT_PRECISION: usize = 6;
/// Largest number of fraction digits.
const MAX_PRECISION: usize = 30;
/// Largest width of a formatted number, in characters.
const MAX_WIDTH: usize = 100;

/// Returns whether these letters are all options of `$F`.
pub(super) fn is_file_name_options(letters: &str) -> bool {
    letters
        .bytes()
        .all(|letter| FILE_NAME_OPTIONS.contains(&letter))
}

/// Returns the parts of a file's name that the options of `$F` select.
pub(super) fn file_name(text: &str, options: &str) -> String {
    let text = text.trim().trim_matches('"');
    let (directory, base) = match text.rfind('/') {
        Some(slash) => text.split_at(slash + 1),
        None => ("", text),
    };
    let (stem, extension) = match base.rfind('.') {
        Some(dot) if dot > 0 => base.split_at(dot),
        _ => (base, ""),
    };
    let has = |option| options.contains(option);
    let mut out = String::new();
    if has('p') {
        out.push_str(directory);
    }
    if has('d') {
        let parent = directory.trim_end_matches('/');
        out.push_str(parent.rsplit('/').next().unwrap_or(""));
        if !has('b') && !parent.is_empty() {
            out.push('/');
        }
    }
    if has('n') {
        out.push_str(stem);
    }
    if has('x') {
        let bare = extension.trim_start_matches('.');
        out.push_str(if has('b') { bare } else { extension });
    }
    if !"pdnx".chars().any(has) {
        out.push_str(text);
    }
    if has('q') {
        return format!("\"{out}\"");
    }
    out
}

/// Formats a number with a format such as `%05d` or `%.2f`; without a format the number is
/// unchanged.
pub(super) fn formatted_number(format: Option<&str>, text: &str) -> Result<String, MacroError> {
    let Some(format) = format else {
        return Ok(text.to_string());
    };
    formatted(format, text).ok_or_else(|| MacroError::UnknownFormat(format.to_string()))
}

fn formatted(format: &str, text: &str) -> Option<String> {
    let (before, rest) = format.split_once('%')?;
    let end = rest.find(|c: char| c.is_ascii_alphabetic())?;
    let (spec, conversion, after) = (&rest[..end], &rest[end..=end], &rest[end + 1..]);
    let (width, precision) = spec.split_once('.').unwrap_or((spec, ""));
    let width = number_or(width, 0)?;
    let precision = number_or(precision, DEFAULT_PRECISION)?;
    let value: f64 = text.parse().ok()?;
    let digits = match conversion {
        "d" | "i" => format!("{}", value as i64),
        "x" => format!("{:x}", value as i64),
        "f" | "g" | "e" if precision <= MAX_PRECISION => format!("{value:.precision$}"),
        _ => return None,
    };
    if width > MAX_WIDTH {
        return None;
    }
    let padded = if spec.starts_with('0') {
        format!("{digits:0>width$}")
    } else {
        format!("{digits:>width$}")
    };
    Some(format!("{before}{padded}{after}"))
}

fn number_or(text: &str, default: usize) -> Option<usize> {
    if text.is_empty() {
        Some(default)
    } else {
        text.parse().ok()
    }
}
