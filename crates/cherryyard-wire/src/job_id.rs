//! Job ids: `j-` followed by the job's number.

/// Returns the number in a job id: `j-` and 6 to 18 digits, zero-padded to six and without
/// further leading zeros; `None` for any other text.
pub fn job_number(id: &str) -> Option<u64> {
    let digits = id.strip_prefix("j-")?;
    let is_numeric = digits.bytes().all(|b| b.is_ascii_digit());
    let is_normalized = digits.len() == 6 || (digits.len() > 6 && !digits.starts_with('0'));
    if !is_numeric || !is_normalized || digits.len() > 18 {
        return None;
    }
    digits.parse().ok()
}

/// Returns the id of job `number`.
pub fn job_id(number: u64) -> String {
    format!("j-{number:06}")
}
