//! UTC times as text.

use super::Utc;

#[test]
fn times_are_formatted_as_in_rfc_3339() {
    let expected_texts = [
        (0, "1970-01-01T00:00:00.000Z"),
        (951_782_400_000, "2000-02-29T00:00:00.000Z"),
        (951_868_799_999, "2000-02-29T23:59:59.999Z"),
        (951_868_800_000, "2000-03-01T00:00:00.000Z"),
        (1_709_164_800_000, "2024-02-29T00:00:00.000Z"),
        (1_735_689_599_001, "2024-12-31T23:59:59.001Z"),
        (1_735_689_600_000, "2025-01-01T00:00:00.000Z"),
        (4_107_542_400_000, "2100-03-01T00:00:00.000Z"),
    ];
    for (ms, text) in expected_texts {
        assert_eq!(Utc(ms).to_string(), text);
    }
}

#[test]
fn texts_sort_in_the_order_of_their_times() {
    let step_ms = 86_400_000 + 12_345;
    let texts: Vec<String> = (0..60_000u64)
        .map(|step| Utc(step * step_ms).to_string())
        .collect();
    assert!(texts.windows(2).all(|pair| pair[0] < pair[1]));
}
