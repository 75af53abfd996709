//! The table of result codes is consistent.

use chivebend::code;

#[test]
fn every_code_finds_its_own_row() {
    for (code, row) in code::TABLE {
        assert_eq!(code.number(), row.number);
        assert_eq!(code::Code::from_number(u32::from(row.number)), Some(*code));
    }
}

#[test]
fn numbers_ascend_and_names_differ() {
    for pair in code::TABLE.windows(2) {
        assert!(pair[0].1.number < pair[1].1.number);
    }
    let mut names: Vec<_> = code::TABLE.iter().map(|(_, row)| row.name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), code::TABLE.len());
}
