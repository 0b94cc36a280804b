use super::*;

/// Reads keep within a share of the request budget of their own. They were paced
/// by the writes between them only, and a fold that is done again after its
/// leader's end finds its leaves written: it read all of them without a pause.
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
    let most = config.history_reads_per_s * 62.0;
    assert!(reads > 30 && f64::from(reads) <= most, "{reads}, {most}");
}
