//! The trace block of the operators' file, which is read again while the controller runs.

use super::App;
use crate::operator;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Time between two looks at the modification time of the operators' file.
const FOLLOW_INTERVAL: Duration = Duration::from_secs(5);

/// Returns the time of a file's last modification, if it can be read.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).ok()?.modified().ok()
}

impl App {
    /// Applies the trace block of the operators' file each time the file has changed. All other
    /// settings in the file take effect with the next start only.
    pub(crate) async fn follow_command_trace(self: Arc<Self>, path: PathBuf) {
        let mut applied = modified_at(&path);
        loop {
            tokio::time::sleep(FOLLOW_INTERVAL).await;
            let modified = modified_at(&path);
            if modified.is_some() && modified != applied {
                applied = modified;
                self.apply_command_trace(&path);
            }
        }
    }

    fn apply_command_trace(self: &Arc<Self>, path: &Path) {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) => {
                tracing::warn!(path = %path.display(), "operators' file not read: {e}");
                return;
            }
        };
        match operator::parse(&text) {
            Ok(tuning) => {
                let trace = tuning.command_trace;
                let (machines, jobs) = (trace.machines.len(), trace.jobs.len());
                tracing::info!(machines, jobs, "trace of commands changed");
                self.with(|controller, _| controller.set_command_trace(trace));
            }
            Err(e) => tracing::warn!(path = %path.display(), "trace of commands unchanged: {e}"),
        }
    }
}
