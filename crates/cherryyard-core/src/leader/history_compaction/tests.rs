use super::*;

/// Guards against a compaction that reads leaves without a pause. A compaction that is repeated
/// after its leader failed finds its leaves already written, so a limit on writes alone does not
/// slow down its reads.
#[test]
fn reads_of_leaves_are_paced() {
    let text = include_bytes!("../../../../../examples/controller.json");
    let settings = cherryyard_wire::settings::Settings::parse(text).unwrap();
    let config = crate::Config::new(&settings, crate::Tuning::default());
    let mut history_compaction = HistoryCompaction::new(&config, 0.0);
    let mut reads = 0;
    for now in 0..60_000 {
        if history_compaction.may_step(f64::from(now)) {
            history_compaction.begin_read();
            reads += 1;
        }
    }
    let max_reads = config.history_reads_per_s * 62.0;
    assert!(
        reads > 30 && f64::from(reads) <= max_reads,
        "{reads}, {max_reads}"
    );
}
