//! A small HTTP/1.1 client and the reading of messages, over blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message: its first line and its headers, names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a socket.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> Result<()> {
        let mut bytes = [0; 65536];
        match self.stream.read(&mut bytes)? {
            0 => Err(Error::new(ErrorKind::UnexpectedEof, "closed")),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Reads a head; `None` if the connection was closed before its first byte.
    pub fn head(&mut self) -> Result<Option<Head>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if let Err(error) = self.fill() {
                if self.buffer.is_empty() && error.kind() == ErrorKind::UnexpectedEof {
                    return Ok(None);
                }
                return Err(error);
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Head {
            first_line,
            headers,
        }))
    }

    fn take(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// The next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| Error::new(ErrorKind::InvalidData, "no chunk size"))?;
        if size == 0 {
            while !self.line()?.is_empty() {}
            return Ok(Vec::new());
        }
        let chunk = self.take(size)?;
        self.take(2)?;
        Ok(chunk)
    }

    /// Reads the body of a message with this head.
    pub fn body(&mut self, head: &Head, is_answer: bool) -> Result<Vec<u8>> {
        if is_chunked(head) {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        match head.header("content-length").map(str::parse) {
            Some(Ok(length)) => self.take(length),
            _ if is_answer => {
                while self.fill().is_ok() {}
                Ok(std::mem::take(&mut self.buffer))
            }
            _ => Ok(Vec::new()),
        }
    }
}

pub fn is_chunked(head: &Head) -> bool {
    head.header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Writes a request.
pub fn write_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// An answer that came whole.
#[derive(Debug, Clone)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Sends one request over a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = timeout
        .saturating_sub(started.elapsed())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    write_request(&mut stream, method, path, host, headers, body)?;
    let mut reader = Reader::new(stream);
    let head = reader
        .head()?
        .ok_or_else(|| Error::new(ErrorKind::UnexpectedEof, "closed"))?;
    let body = reader.body(&head, true)?;
    Ok(Answer { head, body })
}
