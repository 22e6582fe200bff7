//! Detection of shared prefixes, and the bound on memory.

use super::*;

fn segment(id: u64, tokens: u32) -> PromptSegment {
    PromptSegment { id, tokens }
}

#[test]
fn all_but_the_last_segment_of_a_first_turn_is_shared() {
    let mut statistics = PrefixStatistics::default();
    let shared_prefix = statistics
        .observe(&[segment(1, 800), segment(2, 400), segment(10, 50)], 1)
        .unwrap();
    assert_eq!((shared_prefix.id, shared_prefix.tokens), (2, 1_200));
}

#[test]
fn later_turns_with_more_unshared_segments_keep_the_shared_prefix() {
    let mut statistics = PrefixStatistics::default();
    statistics.observe(&[segment(1, 800), segment(2, 400), segment(10, 50)], 1);
    for turn in 0..6 {
        let mut prefix = vec![segment(1, 800), segment(3, 400)];
        prefix.extend((0..=turn).map(|suffix| segment(20 + suffix, 50)));
        assert_eq!(statistics.observe(&prefix, 2).unwrap().id, 3);
    }
}

#[test]
fn the_shared_prefix_ends_with_the_last_segment_that_two_programs_use() {
    let mut statistics = PrefixStatistics::default();
    statistics.observe(&[segment(1, 800), segment(9, 50)], 1);
    statistics.observe(
        &[
            segment(1, 800),
            segment(2, 400),
            segment(3, 100),
            segment(10, 50),
        ],
        2,
    );
    let shared_prefix = statistics
        .observe(
            &[
                segment(1, 800),
                segment(2, 400),
                segment(3, 100),
                segment(11, 50),
            ],
            3,
        )
        .unwrap();
    assert_eq!((shared_prefix.id, shared_prefix.tokens), (3, 1_300));
}

#[test]
fn a_prompt_of_one_segment_has_no_shared_prefix_until_another_program_uses_it() {
    let mut statistics = PrefixStatistics::default();
    assert_eq!(statistics.observe(&[segment(1, 800)], 1), None);
    assert_eq!(statistics.observe(&[segment(1, 800)], 1), None);
    assert_eq!(statistics.observe(&[segment(1, 800)], 2).unwrap().id, 1);
    assert_eq!(statistics.observe(&[], 2), None);
}

#[test]
fn popularity_is_the_ratio_of_the_requests() {
    let mut statistics = PrefixStatistics::default();
    for program in 0..400 {
        statistics.observe(
            &[segment(program % 4, 100), segment(1_000 + program, 50)],
            program,
        );
    }
    let shared_prefix = statistics
        .observe(&[segment(3, 100), segment(9_999, 50)], 9_999)
        .unwrap();
    assert!(
        (shared_prefix.popularity - 0.25).abs() < 0.02,
        "{shared_prefix:?}"
    );
}

#[test]
fn memory_is_bounded_however_many_segments_are_named() {
    let mut statistics = PrefixStatistics::default();
    for id in 0..100_000 {
        statistics.observe(&[segment(id, 1)], id);
        assert!(statistics.segments.len() <= MAX_SEGMENTS);
    }
}
