//! Which heads of responses are accepted, and what delimits their bodies.

use dunespur_response_head::{validate, BodyLength, ResponseHeadError};
use http::header::{HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Response, StatusCode, Version};

fn length_of(
    status: StatusCode,
    headers: &[(HeaderName, &[u8])],
) -> Result<BodyLength, ResponseHeadError> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    for (name, value) in headers {
        let value = HeaderValue::from_bytes(value).unwrap();
        response.headers_mut().append(name, value);
    }
    validate(&response.into_parts().0)
}

/// Returns the length by these values of one header, each on a line of its own.
fn length_by(name: &HeaderName, values: &[&str]) -> Result<BodyLength, ResponseHeadError> {
    let headers: Vec<_> = values
        .iter()
        .map(|value| (name.clone(), value.as_bytes()))
        .collect();
    length_of(StatusCode::OK, &headers)
}

#[test]
fn a_content_length_is_a_decimal_number() {
    for (values, bytes) in [
        (&["0"][..], 0),
        (&["5"], 5),
        (&["005"], 5),
        (&[" 5\t"], 5),
        (&["18446744073709551615"], u64::MAX),
        (&["5", "5"], 5),
        (&["5, 5,05"], 5),
        (&["5,5", "5"], 5),
    ] {
        let length = length_by(&CONTENT_LENGTH, values);
        assert_eq!(length, Ok(BodyLength::Bytes(bytes)), "{values:?}");
    }
    for values in [
        &[""][..],
        &[" "],
        &["x"],
        &["5x"],
        &["x5"],
        &["+5"],
        &["-5"],
        &["0x5"],
        &["5.0"],
        &["5 5"],
        &["5;"],
        &["\"5\""],
        &["\u{665}"],
        &["18446744073709551616"],
        &["5,"],
        &[",5"],
        &["5,,5"],
        &["5,6"],
        &["5", "6"],
        &["5", ""],
        &["x", "5"],
    ] {
        let length = length_by(&CONTENT_LENGTH, values);
        let expected = Err(ResponseHeadError::InvalidContentLength);
        assert_eq!(length, expected, "{values:?}");
    }
}

#[test]
fn a_transfer_encoding_is_chunked_and_given_once() {
    for value in ["chunked", "Chunked", "CHUNKED", " chunked\t"] {
        let length = length_by(&TRANSFER_ENCODING, &[value]);
        assert_eq!(length, Ok(BodyLength::Chunked), "{value:?}");
    }
    for values in [
        &[""][..],
        &["chunkex"],
        &["xchunked"],
        &["chunked x"],
        &["chunked;q=1"],
        &["chunked,"],
        &[",chunked"],
        &["chunked\u{fe}"],
        &["identity"],
        &["gzip"],
        &["gzip, chunked"],
        &["chunked, gzip"],
        &["chunked, chunked"],
        &["chunked", "chunked"],
        &["chunked", "gzip"],
        &["gzip", "chunked"],
    ] {
        let length = length_by(&TRANSFER_ENCODING, values);
        let expected = Err(ResponseHeadError::UnknownTransferEncoding);
        assert_eq!(length, expected, "{values:?}");
    }
}

#[test]
fn a_transfer_encoding_before_http_1_1_is_rejected() {
    let mut response = Response::new(());
    *response.version_mut() = Version::HTTP_10;
    let chunked = HeaderValue::from_static("chunked");
    response.headers_mut().insert(TRANSFER_ENCODING, chunked);
    let expected = Err(ResponseHeadError::UnknownTransferEncoding);
    assert_eq!(validate(&response.into_parts().0), expected);
}

#[test]
fn a_length_beside_a_transfer_encoding_is_rejected() {
    for (length, coding) in [("5", "chunked"), ("x", "chunked"), ("5", "gzip")] {
        let headers = [
            (CONTENT_LENGTH, length.as_bytes()),
            (TRANSFER_ENCODING, coding.as_bytes()),
        ];
        let expected = Err(ResponseHeadError::TwoLengths);
        assert_eq!(length_of(StatusCode::OK, &headers), expected, "{headers:?}");
    }
}

#[test]
fn without_a_length_the_body_ends_with_the_connection() {
    assert_eq!(length_of(StatusCode::OK, &[]), Ok(BodyLength::UntilClose));
}

#[test]
fn responses_without_a_body_are_held_to_the_same_rules() {
    for status in [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED] {
        let broken = length_of(status, &[(CONTENT_LENGTH, b"5x")]);
        assert_eq!(broken, Err(ResponseHeadError::InvalidContentLength));
        let sound = length_of(status, &[(CONTENT_LENGTH, b"5")]);
        assert_eq!(sound, Ok(BodyLength::Bytes(5)));
    }
}

#[test]
fn a_status_is_below_600() {
    for status in [100, 200, 302, 404, 500, 599] {
        let status = StatusCode::from_u16(status).unwrap();
        assert_eq!(length_of(status, &[]), Ok(BodyLength::UntilClose));
    }
    for status in [600, 999] {
        let status = StatusCode::from_u16(status).unwrap();
        let expected = Err(ResponseHeadError::InvalidStatus(status));
        assert_eq!(length_of(status, &[(CONTENT_LENGTH, b"5")]), expected);
    }
}
