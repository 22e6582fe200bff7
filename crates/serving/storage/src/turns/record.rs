//! Stored records of a turn: the header in postcard, and the body as the input followed by the output.

use crate::error::{Result, StorageError};
use bytes::Bytes;
use dunespur_turn_replication::turn::{size_of_turn, Turn, TurnHeader};
use serde::{Deserialize, Serialize};

/// The stored header of a turn. The order of the fields determines the stored bytes.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeaderRecord<'a> {
    previous: Option<&'a str>,
    program: &'a str,
    input_bytes: u64,
    output_bytes: u64,
    ended_at_ms: u64,
    retention_ms: u64,
}

/// Encodes the header of a turn.
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

/// Decodes the header of a turn.
pub fn decode_header(bytes: &[u8]) -> Result<HeaderRecord<'_>> {
    postcard::from_bytes(bytes).map_err(|source| StorageError::Decode {
        record: "the header of a turn".to_owned(),
        source,
    })
}

/// Builds the header that the store's in-memory index keeps.
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

/// Builds a turn from its header and body records.
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
