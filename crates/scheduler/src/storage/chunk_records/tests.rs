use super::*;

fn records(stored: &[(PartKey, Range<u32>, u64)]) -> ChunkRecords {
    let mut records = ChunkRecords::default();
    for (key, tasks, revision) in stored {
        let record = StoredRecord { tasks: tasks.clone(), revision: Revision(*revision) };
        records.insert(*key, record);
    }
    records
}

fn lost(records: &ChunkRecords, key: PartKey, tasks: Range<u32>) -> Option<u32> {
    records.task_lost_by(key, &tasks, |_| false)
}

#[test]
fn a_new_or_longer_record_loses_no_task() {
    let records = records(&[(Some(0), 0..14, 5), (Some(14), 14..28, 5)]);
    assert_eq!(lost(&records, Some(28), 28..30), None);
    assert_eq!(lost(&records, Some(0), 0..14), None);
    assert_eq!(lost(&records, Some(0), 0..30), None);
    assert_eq!(lost(&records, None, 0..168), None);
}

#[test]
fn a_shorter_record_loses_the_tasks_beyond_its_end() {
    let records = records(&[(Some(0), 0..30, 5)]);
    assert_eq!(lost(&records, Some(0), 0..14), Some(14));
    assert_eq!(records.task_lost_by(Some(0), &(0..14), |task| task < 28), Some(28));
    assert_eq!(records.task_lost_by(Some(0), &(0..14), |task| task < 30), None);
}

#[test]
fn a_task_is_kept_only_by_a_newer_record() {
    let older = records(&[(None, 0..40, 4), (Some(14), 14..28, 4), (Some(0), 0..30, 5)]);
    assert_eq!(lost(&older, Some(0), 0..14), Some(14));
    let same_age = records(&[(Some(14), 14..30, 5), (Some(0), 0..30, 5)]);
    assert_eq!(lost(&same_age, Some(0), 0..14), Some(14));
    let newer_part = records(&[(None, 0..40, 4), (Some(14), 14..28, 6), (Some(0), 0..30, 5)]);
    assert_eq!(lost(&newer_part, Some(0), 0..14), Some(28));
    let newer_chunk = records(&[(None, 0..40, 6), (Some(0), 0..30, 5)]);
    assert_eq!(lost(&newer_chunk, Some(0), 0..14), None);
}
