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
    let bad = sum("x\npart=0 cores={\"nonsense\":1}", &mut by_shard).map_err(|e| e.to_string());
    assert_eq!(bad, Err("line 2: nonsense: no such figure".into()));
}
/// The shard stands in `shard=`, in logs of earlier builds in `part=`; both add up.
#[test]
fn both_names_of_the_shard_are_read() {
    let log = "INFO account shard=1 cores={\"arrays\":40}\n\
                   INFO account part=1 cores={\"arrays\":2}\n\
                   INFO account shard=0 cores={\"arrays\":5}\n\
                   INFO other field=1 cores={\"arrays\":7}\n";
    let mut by_shard = BTreeMap::new();
    sum(log, &mut by_shard).unwrap();
    let arrays = |shard: usize| {
        let mut figures = by_shard[&shard].figures();
        figures.find(|f| f.0 == "arrays").map(|f| f.1)
    };
    assert_eq!(by_shard.len(), 2);
    assert_eq!((arrays(0), arrays(1)), (Some(5.0), Some(42.0)));
    let bad = sum("shard=0 cores={\"nonsense\":1}", &mut by_shard).unwrap_err();
    assert_eq!(bad.to_string(), "line 1: nonsense: no such figure");
}
