use super::*;

/// Guards against machines or images lost between packing and reading, records larger than
/// their limit (the last machines are left out instead), and records of earlier builds that are
/// no longer read. Names that cannot be packed are left out, and a record with an index beyond
/// its images is not sound.
#[test]
fn images_are_packed() {
    let images = vec![("img-01".to_string(), 2.5), ("img-02".to_string(), 4.0)];
    let names: Vec<String> = (0..186).map(|n| format!("host-{n:06}")).collect();
    let held: Vec<(&str, Vec<usize>)> = names.iter().map(|n| (n.as_str(), vec![1, 0])).collect();
    let record = ImagesRecord::pack(images.clone(), &held, 4096);
    let read: Vec<_> = record.held().collect();
    assert_eq!(read.len(), 186);
    assert_eq!(read[185], ("host-000185".to_string(), vec![1, 0]));
    let size = |r: &ImagesRecord| serde_json::to_vec(r).unwrap().len();
    assert!(size(&record) < 1600, "{}", size(&record));
    let small = ImagesRecord::pack(images.clone(), &held, 300);
    assert!(size(&small) <= 300 && small.held().count() > 15);
    let old = r#"{"i":[["a",1.0]],"h":[["host-1",[0]]]}"#;
    let old: ImagesRecord = serde_json::from_str(old).unwrap();
    assert_eq!(old.held().next(), Some(("host-1".into(), vec![0])));
    assert!(
        ImagesRecord::pack(images, &[("a b", vec![0])], 4096)
            .machines
            .is_empty()
    );
    assert!(old.is_sound());
    let bad = r#"{"i":[["a",1.0]],"p":"h","m":"1:01"}"#;
    assert!(
        !serde_json::from_str::<ImagesRecord>(bad)
            .unwrap()
            .is_sound()
    );
}
