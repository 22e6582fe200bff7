use super::decode_counter_reply;
use bytes::BytesMut;
use dunespur_decisions::types::CounterReply;

fn decode(bytes: &str) -> Result<Option<CounterReply>, ()> {
    decode_counter_reply(&mut BytesMut::from(bytes)).map_err(|_| ())
}

/// A spoilt length would otherwise cut the total short, and have its rest taken for the next reply.
#[test]
fn a_reply_of_the_counter_ends_where_its_length_says() {
    for spoilt in [
        "$3\r\n12.5\r\n",
        "$1\r\n12.5\r\n",
        "$3\r\n12.5\r\n$1\r\n7\r\n",
        "$5\r\n12.5\r\n$1\r\n7\r\n",
        "$4\r\n12.5\n\r",
        "$4\r\n12.5xx",
        "$+4\r\n12.5\r\n",
        "$ 4\r\n12.5\r\n",
        "$4 \r\n12.5\r\n",
        "$4x\r\n12.5\r\n",
        "$\r\n12.5\r\n",
        "$-1\r\n",
    ] {
        assert_eq!(decode(spoilt), Err(()), "{spoilt:?}");
    }
}

#[test]
fn sound_replies_of_the_counter_are_decoded() {
    for (reply, total) in [
        ("$4\r\n12.5\r\n", 12.5),
        ("$04\r\n-2.5\r\n", -2.5),
        ("$1\r\n0\r\n$1\r\n7\r\n", 0.0),
    ] {
        let decoded = decode(reply);
        assert_eq!(decoded, Ok(Some(CounterReply::Total(total))), "{reply:?}");
    }
    assert_eq!(decode("-BUSY crowded\r\n"), Ok(Some(CounterReply::Refused)));
}

#[test]
fn an_incomplete_reply_of_the_counter_waits_for_its_rest() {
    let reply = "$4\r\n12.5\r\n";
    for end in 0..reply.len() {
        assert_eq!(decode(&reply[..end]), Ok(None), "{end} bytes");
    }
}
