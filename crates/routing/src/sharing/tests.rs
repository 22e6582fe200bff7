use super::*;

fn part(id: u64, tokens: u32) -> Part {
    Part { id, tokens }
}

#[test]
fn the_last_part_that_two_programs_have_is_the_subject() {
    let mut sharing = Sharing::default();
    assert_eq!(sharing.observe(&[part(1, 800), part(2, 400), part(10, 50)], 1), None);
    assert_eq!(sharing.observe(&[part(1, 800), part(2, 400), part(10, 90)], 1), None);
    let subject = sharing.observe(&[part(1, 800), part(2, 400), part(11, 50)], 2).unwrap();
    assert_eq!(subject.id, 2);
    assert_eq!(subject.tokens, 1_200);
    let other = sharing.observe(&[part(1, 800), part(3, 300), part(12, 50)], 3).unwrap();
    assert_eq!(other.id, 1);
}

#[test]
fn popularity_is_the_share_of_the_requests() {
    let mut sharing = Sharing::default();
    for program in 0..400 {
        sharing.observe(&[part(program % 4, 100), part(1_000 + program, 50)], program);
    }
    let subject = sharing.observe(&[part(3, 100), part(9_999, 50)], 9_999).unwrap();
    assert!((subject.popularity - 0.25).abs() < 0.02, "{subject:?}");
}

#[test]
fn memory_is_bounded_however_many_parts_are_named() {
    let mut sharing = Sharing::default();
    for id in 0..100_000 {
        sharing.observe(&[part(id, 1)], id);
        assert!(sharing.parts.len() <= MOST_PARTS);
    }
}
