use super::*;

fn part(id: u64, tokens: u32) -> Part {
    Part { id, tokens }
}

#[test]
fn all_but_the_last_part_of_a_first_turn_is_shared() {
    let mut sharing = Sharing::default();
    let subject = sharing
        .observe(&[part(1, 800), part(2, 400), part(10, 50)], 1)
        .unwrap();
    assert_eq!((subject.id, subject.tokens), (2, 1_200));
}

#[test]
fn later_turns_with_parts_of_their_own_keep_the_subject() {
    let mut sharing = Sharing::default();
    sharing.observe(&[part(1, 800), part(2, 400), part(10, 50)], 1);
    for turn in 0..6 {
        let mut prefix = vec![part(1, 800), part(3, 400)];
        prefix.extend((0..=turn).map(|own| part(20 + own, 50)));
        assert_eq!(sharing.observe(&prefix, 2).unwrap().id, 3);
    }
}

#[test]
fn a_part_that_two_programs_have_is_the_subject_however_far_behind() {
    let mut sharing = Sharing::default();
    sharing.observe(&[part(1, 800), part(9, 50)], 1);
    sharing.observe(&[part(1, 800), part(2, 400), part(3, 100), part(10, 50)], 2);
    let subject = sharing
        .observe(&[part(1, 800), part(2, 400), part(3, 100), part(11, 50)], 3)
        .unwrap();
    assert_eq!((subject.id, subject.tokens), (3, 1_300));
}

#[test]
fn a_prompt_of_one_part_has_no_subject_until_others_have_it_too() {
    let mut sharing = Sharing::default();
    assert_eq!(sharing.observe(&[part(1, 800)], 1), None);
    assert_eq!(sharing.observe(&[part(1, 800)], 1), None);
    assert_eq!(sharing.observe(&[part(1, 800)], 2).unwrap().id, 1);
    assert_eq!(sharing.observe(&[], 2), None);
}

#[test]
fn popularity_is_the_share_of_the_requests() {
    let mut sharing = Sharing::default();
    for program in 0..400 {
        sharing.observe(
            &[part(program % 4, 100), part(1_000 + program, 50)],
            program,
        );
    }
    let subject = sharing
        .observe(&[part(3, 100), part(9_999, 50)], 9_999)
        .unwrap();
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
