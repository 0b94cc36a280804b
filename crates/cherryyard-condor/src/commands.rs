//! The table of submit commands.

use std::collections::HashMap;
use std::sync::LazyLock;

/// What is done with a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handling {
    /// It decides where and how the job runs.
    Honoured,
    /// It is handed on in the job's description, which its user uploads.
    Described,
    /// It is accepted, and has no effect, for this reason.
    NoEffect(&'static str),
    /// It is refused, for this reason.
    Refused(&'static str),
}

use Handling::{Described, Honoured, NoEffect, Refused};

const RETRIES: &str = "failing tasks are tried again by themselves, ever further apart";
const POLICY: &str = "jobs are neither held nor removed by expressions";
const HOME: &str = "the scheduler runs nothing at the submitting side";

/// Every command, by its names.
pub const COMMANDS: &[(&[&str], Handling)] = &[
    (&["universe"], Honoured),
    (&["executable", "cmd"], Honoured),
    (&["arguments", "args", "arguments2"], Described),
    (&["environment", "env", "environment2"], Described),
    (&["getenv"], Described),
    (&["input", "stdin"], Described),
    (&["output", "stdout"], Described),
    (&["error", "stderr"], Described),
    (&["initialdir", "initial_dir", "iwd"], Described),
    (&["transfer_input_files", "transferinputfiles"], Described),
    (&["transfer_output_files", "transferoutputfiles"], Described),
    (
        &["transfer_output_remaps", "transferoutputremaps"],
        Described,
    ),
    (&["transfer_executable", "transferexecutable"], Described),
    (&["should_transfer_files", "shouldtransferfiles"], Described),
    (
        &["when_to_transfer_output", "whentotransferoutput"],
        Described,
    ),
    (&["stream_input"], Described),
    (&["stream_output"], Described),
    (&["stream_error"], Described),
    (&["kill_sig", "killsig"], Described),
    (&["encrypt_input_files"], Described),
    (&["preserve_relative_paths"], Described),
    (&["request_cpus", "requestcpus", "request_cpu"], Honoured),
    (&["request_memory", "requestmemory"], Honoured),
    (&["request_disk", "requestdisk"], Honoured),
    (&["request_gpus", "requestgpus", "request_gpu"], Honoured),
    (&["requirements"], Honoured),
    (&["rank", "preferences"], Honoured),
    (&["priority", "prio"], Honoured),
    (&["nice_user", "niceuser"], Honoured),
    (&["accounting_group", "acctgroup"], Honoured),
    (&["accounting_group_user", "acctgroupuser"], Honoured),
    (&["container_image"], Honoured),
    (&["docker_image"], Honoured),
    (&["batch_name", "jobbatchname", "batchname"], Honoured),
    (
        &["log"],
        NoEffect("no event log is written; ask `cherryyard condor q`"),
    ),
    (&["log_xml"], NoEffect("no event log is written")),
    (&["notification"], NoEffect("no mail is sent")),
    (&["notify_user", "notifyuser"], NoEffect("no mail is sent")),
    (&["email_attributes"], NoEffect("no mail is sent")),
    (&["max_retries", "maxretries"], NoEffect(RETRIES)),
    (&["retry_until", "retryuntil"], NoEffect(RETRIES)),
    (&["success_exit_code", "successexitcode"], NoEffect(RETRIES)),
    (&["on_exit_remove", "onexitremove"], NoEffect(POLICY)),
    (&["on_exit_hold", "onexithold"], NoEffect(POLICY)),
    (&["on_exit_hold_reason"], NoEffect(POLICY)),
    (&["on_exit_hold_subcode"], NoEffect(POLICY)),
    (&["periodic_hold", "periodichold"], NoEffect(POLICY)),
    (&["periodic_hold_reason"], NoEffect(POLICY)),
    (&["periodic_hold_subcode"], NoEffect(POLICY)),
    (&["periodic_release", "periodicrelease"], NoEffect(POLICY)),
    (&["periodic_remove", "periodicremove"], NoEffect(POLICY)),
    (
        &["leave_in_queue", "leaveinqueue"],
        NoEffect("ends are kept anyway"),
    ),
    (
        &["job_lease_duration"],
        NoEffect("workers' leases are the platform's"),
    ),
    (
        &["job_max_vacate_time"],
        NoEffect("the image's time to save counts"),
    ),
    (
        &["keep_claim_idle"],
        NoEffect("machines are not claimed by users"),
    ),
    (&["image_size", "imagesize"], NoEffect("say request_memory")),
    (&["copy_to_spool"], NoEffect(HOME)),
    (&["dagman_log"], NoEffect(HOME)),
    (&["submit_event_notes"], NoEffect("no event log is written")),
    (&["description"], Described),
    (
        &["want_graceful_removal"],
        NoEffect("tasks that save are given time for it"),
    ),
    (&["hold"], Refused("a job cannot be queued on hold")),
    (
        &["concurrency_limits", "concurrencylimits"],
        Refused("there are limits of teams only"),
    ),
    (
        &["concurrency_limits_expr"],
        Refused("there are limits of teams only"),
    ),
    (
        &["deferral_time", "deferraltime"],
        Refused("a start cannot be put off to a time"),
    ),
    (
        &["deferral_window"],
        Refused("a start cannot be put off to a time"),
    ),
    (
        &["deferral_prep_time"],
        Refused("a start cannot be put off to a time"),
    ),
    (&["cron_minute"], Refused("there are no recurring jobs")),
    (&["cron_hour"], Refused("there are no recurring jobs")),
    (
        &["cron_day_of_month"],
        Refused("there are no recurring jobs"),
    ),
    (&["cron_month"], Refused("there are no recurring jobs")),
    (
        &["cron_day_of_week"],
        Refused("there are no recurring jobs"),
    ),
    (
        &["machine_count", "node_count"],
        Refused("there are no gangs"),
    ),
    (
        &["next_job_start_delay"],
        Refused("starts are not spaced out"),
    ),
    (
        &["max_materialize"],
        Refused("say how many with `queue`; limits are teams'"),
    ),
    (
        &["max_idle"],
        Refused("say how many with `queue`; limits are teams'"),
    ),
    (&["grid_resource"], Refused("there is no grid universe")),
    (&["vm_type"], Refused("there is no vm universe")),
    (&["x509userproxy"], Refused("no credentials are handed on")),
    (
        &["use_oauth_services"],
        Refused("no credentials are handed on"),
    ),
    (
        &["run_as_owner"],
        Refused("workers run tasks as their own user"),
    ),
    (
        &["allowed_execute_duration"],
        Refused("tasks have no limit of time"),
    ),
    (
        &["allowed_job_duration"],
        Refused("jobs have no limit of time"),
    ),
];

static BY_NAME: LazyLock<HashMap<&'static str, (&'static str, Handling)>> = LazyLock::new(|| {
    let all = COMMANDS.iter();
    all.flat_map(|(names, h)| names.iter().map(move |n| (*n, (names[0], *h))))
        .collect()
});

/// A command's first name and handling, by any of its names in lower case.
pub(crate) fn command(name: &str) -> Option<(&'static str, Handling)> {
    BY_NAME.get(name).copied()
}

/// A command whose name is much like this one.
pub(crate) fn alike(name: &str) -> Option<&'static str> {
    let near = BY_NAME.keys().map(|k| (strsim::jaro_winkler(k, name), *k));
    let near = near.filter(|n| n.0 > 0.92);
    near.max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(a.1)))
        .map(|n| n.1)
}
