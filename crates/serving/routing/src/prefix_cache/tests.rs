use super::*;

const ROOMY: u64 = 1_000_000;

fn part(id: u64, tokens: u32) -> Part {
    Part { id, tokens }
}

#[test]
fn a_part_counts_only_behind_parts_that_are_held() {
    let mut cache = PrefixCache::new();
    cache.sent(&[part(1, 100), part(2, 50)], ROOMY);
    assert_eq!(cache.held(&[part(1, 100), part(2, 50)]), 150);
    assert_eq!(cache.held(&[part(1, 100), part(3, 70), part(2, 50)]), 100);
    assert_eq!(cache.held(&[part(3, 70), part(1, 100)]), 0);
}

#[test]
fn a_part_that_grew_counts_as_far_as_it_was_sent() {
    let mut cache = PrefixCache::new();
    cache.sent(&[part(1, 100), part(2, 50)], ROOMY);
    assert_eq!(cache.held(&[part(1, 100), part(2, 80)]), 150);
    cache.sent(&[part(1, 100), part(2, 80)], ROOMY);
    assert_eq!(cache.held(&[part(1, 100), part(2, 80)]), 180);
    assert_eq!(cache.tokens(), 180);
}

#[test]
fn the_part_unused_longest_gives_way_and_later_parts_before_earlier_ones() {
    let mut cache = PrefixCache::new();
    cache.sent(&[part(1, 100), part(2, 50)], 250);
    cache.sent(&[part(1, 100), part(3, 60)], 250);
    assert_eq!(cache.tokens(), 210);
    cache.sent(&[part(1, 100), part(4, 60)], 250);
    assert!(!cache.holds(2));
    assert_eq!(cache.held(&[part(1, 100), part(3, 60)]), 160);
    assert_eq!(cache.tokens(), 220);
}

#[test]
fn memory_is_bounded_however_many_parts_are_named() {
    let mut cache = PrefixCache::new();
    for id in 0..10_000 {
        cache.sent(&[part(id, 1)], ROOMY);
    }
    assert_eq!(cache.places.len(), MOST_PARTS);
    assert!(cache.entries.len() <= MOST_PARTS + 1);
    assert!(cache.holds(9_999));
}

#[test]
fn a_forgotten_part_gives_its_tokens_back() {
    let mut cache = PrefixCache::new();
    cache.sent(&[part(1, 100), part(2, 50)], ROOMY);
    cache.forget(2);
    cache.forget(7);
    assert_eq!(cache.tokens(), 100);
    assert_eq!(cache.held(&[part(1, 100), part(2, 50)]), 100);
}

#[test]
fn random_sends_keep_the_books_straight() {
    let mut random = fastrand::Rng::with_seed(11);
    let mut cache = PrefixCache::new();
    for _ in 0..20_000 {
        let id = random.u64(..800);
        if random.u8(..10) == 0 {
            cache.forget(id);
        } else {
            cache.sent(&[part(id % 7, 40), part(id, random.u32(1..90))], 9_000);
        }
        let sum: u64 = cache
            .places
            .values()
            .map(|place| u64::from(cache.entries[*place as usize].tokens))
            .sum();
        assert_eq!(sum, cache.tokens());
        assert!(cache.tokens() <= 9_000);
    }
}
