//! Presumed cache content, eviction, and the bound on memory.

use super::*;

const AMPLE_CAPACITY: u64 = 1_000_000;

fn segment(id: u64, tokens: u32) -> PromptSegment {
    PromptSegment { id, tokens }
}

#[test]
fn a_segment_counts_only_behind_cached_segments() {
    let mut cache = PrefixCache::new();
    cache.record_dispatch(&[segment(1, 100), segment(2, 50)], AMPLE_CAPACITY);
    assert_eq!(cache.cached_tokens(&[segment(1, 100), segment(2, 50)]), 150);
    assert_eq!(
        cache.cached_tokens(&[segment(1, 100), segment(3, 70), segment(2, 50)]),
        100
    );
    assert_eq!(cache.cached_tokens(&[segment(3, 70), segment(1, 100)]), 0);
}

#[test]
fn a_segment_that_grew_counts_as_far_as_it_was_dispatched() {
    let mut cache = PrefixCache::new();
    cache.record_dispatch(&[segment(1, 100), segment(2, 50)], AMPLE_CAPACITY);
    assert_eq!(cache.cached_tokens(&[segment(1, 100), segment(2, 80)]), 150);
    cache.record_dispatch(&[segment(1, 100), segment(2, 80)], AMPLE_CAPACITY);
    assert_eq!(cache.cached_tokens(&[segment(1, 100), segment(2, 80)]), 180);
    assert_eq!(cache.tokens(), 180);
}

#[test]
fn the_least_recently_used_segment_is_evicted_and_later_ones_before_earlier_ones() {
    let mut cache = PrefixCache::new();
    cache.record_dispatch(&[segment(1, 100), segment(2, 50)], 250);
    cache.record_dispatch(&[segment(1, 100), segment(3, 60)], 250);
    assert_eq!(cache.tokens(), 210);
    cache.record_dispatch(&[segment(1, 100), segment(4, 60)], 250);
    assert!(!cache.contains(2));
    assert_eq!(cache.cached_tokens(&[segment(1, 100), segment(3, 60)]), 160);
    assert_eq!(cache.tokens(), 220);
}

#[test]
fn memory_is_bounded_however_many_segments_are_named() {
    let mut cache = PrefixCache::new();
    for id in 0..10_000 {
        cache.record_dispatch(&[segment(id, 1)], AMPLE_CAPACITY);
    }
    assert_eq!(cache.index_of.len(), MAX_SEGMENTS);
    assert!(cache.nodes.len() <= MAX_SEGMENTS + 1);
    assert!(cache.contains(9_999));
}

#[test]
fn a_removed_segment_releases_its_tokens() {
    let mut cache = PrefixCache::new();
    cache.record_dispatch(&[segment(1, 100), segment(2, 50)], AMPLE_CAPACITY);
    cache.remove(2);
    cache.remove(7);
    assert_eq!(cache.tokens(), 100);
    assert_eq!(cache.cached_tokens(&[segment(1, 100), segment(2, 50)]), 100);
}

#[test]
fn token_counts_stay_consistent_under_random_use() {
    let mut random = fastrand::Rng::with_seed(11);
    let mut cache = PrefixCache::new();
    for _ in 0..20_000 {
        let id = random.u64(..800);
        if random.u8(..10) == 0 {
            cache.remove(id);
        } else {
            cache.record_dispatch(
                &[segment(id % 7, 40), segment(id, random.u32(1..90))],
                9_000,
            );
        }
        let sum: u64 = cache
            .index_of
            .values()
            .map(|index| u64::from(cache.nodes[*index as usize].tokens))
            .sum();
        assert_eq!(sum, cache.tokens());
        assert!(cache.tokens() <= 9_000);
    }
}
