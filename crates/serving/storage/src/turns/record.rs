//! Encoding of a turn: its header in postcard, its body as input and output, one behind the other.

use crate::error::{Result, StorageError};
use bytes::Bytes;
use dunespur_turn_replication::turn::{size_of_turn, Turn, TurnHeader};
use serde::{Deserialize, Serialize};

/// A header as it is stored. The order of the fields is that of the stored bytes.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeaderRecord<'a> {
    previous: Option<&'a str>,
    program: &'a str,
    input_bytes: u64,
    output_bytes: u64,
    ended_at_ms: u64,
    retention_ms: u64,
}

/// The header's record of a turn.
pub fn encode_header(turn: &Turn) -> Result<Vec<u8>> {
    let header = HeaderRecord {
        previous: turn.previous.as_deref(),
        program: &turn.program,
        input_bytes: turn.input.len() as u64,
        output_bytes: turn.output.len() as u64,
        ended_at_ms: turn.ended_at_ms,
        retention_ms: turn.retention_ms,
    };
    postcard::to_stdvec(&header).map_err(|source| StorageError::Encode {
        record: format!("the header of turn {}", turn.id),
        source,
    })
}

/// Reads a header's record.
pub fn decode_header(bytes: &[u8]) -> Result<HeaderRecord<'_>> {
    postcard::from_bytes(bytes).map_err(|source| StorageError::Decode {
        record: "the header of a turn".to_owned(),
        source,
    })
}

/// What the store's index keeps of a turn.
pub fn turn_header(id: &str, header: &HeaderRecord<'_>) -> TurnHeader {
    let body_bytes = header.input_bytes + header.output_bytes;
    TurnHeader {
        id: id.to_owned(),
        previous: header.previous.map(str::to_owned),
        program: header.program.to_owned(),
        ended_at_ms: header.ended_at_ms,
        retention_ms: header.retention_ms,
        size: size_of_turn(id, header.previous, header.program, body_bytes),
    }
}

/// A turn from its two records.
pub fn turn(id: &str, header: &HeaderRecord<'_>, body: &[u8]) -> Result<Turn> {
    if body.len() as u64 != header.input_bytes + header.output_bytes {
        return Err(StorageError::BodyLength {
            id: id.to_owned(),
            bytes: body.len(),
        });
    }
    let mut input = Bytes::copy_from_slice(body);
    let output = input.split_off(header.input_bytes as usize);
    Ok(Turn {
        id: id.to_owned(),
        previous: header.previous.map(str::to_owned),
        program: header.program.to_owned(),
        input,
        output,
        ended_at_ms: header.ended_at_ms,
        retention_ms: header.retention_ms,
    })
}
