//! Ids of jobs: `j-` and the job's number.

/// The number in a job id: `j-` and six or more digits, without needless zeros.
pub fn job_number(id: &str) -> Option<u64> {
    let digits = id.strip_prefix("j-")?;
    let plain = digits.bytes().all(|b| b.is_ascii_digit());
    let padded = digits.len() == 6 || (digits.len() > 6 && !digits.starts_with('0'));
    if !plain || !padded || digits.len() > 18 {
        return None;
    }
    digits.parse().ok()
}

/// The id of job `number`.
pub fn job_id(number: u64) -> String {
    format!("j-{number:06}")
}
