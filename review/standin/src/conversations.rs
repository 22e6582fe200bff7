//! Clients whose turns go on from earlier ones, and the servers' record of the prompts that they got.

use crate::http::{self, Reader};
use crate::record::Record;
use crate::server::{Handler, Server};
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Events of an answer.
const EVENTS: u64 = 8;

/// The body of each request that a server ran, by its id.
pub type Prompts = Arc<Mutex<HashMap<String, Vec<u8>>>>;

/// A line of turns of one program.
pub struct Conversation {
    pub program: String,
    /// The id of the last turn that was answered whole.
    pub previous: Option<String>,
    /// What a server has to get before the next input.
    chain: Vec<u8>,
    turns: u32,
}

/// What became of a conversation that was to go on by one turn.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Tries that were answered 404.
    pub unknown: u32,
    /// Tries that were answered 503.
    pub unavailable: u32,
    /// Whether a try was answered whole.
    pub answered: bool,
    /// Whether the server got another prompt than the chain and the new input.
    pub wrong_prompt: bool,
}

/// Answers each request with a stream of events, and keeps its prompt.
pub fn handler(prompts: &Prompts) -> Arc<Handler> {
    let prompts = prompts.clone();
    Arc::new(move |server: &Server, request, output| {
        let mut known = prompts.lock().unwrap();
        known.insert(request.id.clone(), request.body.clone());
        drop(known);
        let events: String = (0..EVENTS)
            .map(|event| format!("id: {event}\ndata: {}-{event}\n\n", request.id))
            .collect();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: {}\r\nX-Dunespur-Response-Stamp: {}\r\nContent-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{events}",
            request.id,
            server.stamp(),
            events.len()
        );
        output.write_all(answer.as_bytes()).is_ok()
    })
}

impl Conversation {
    pub fn new(number: usize) -> Conversation {
        Conversation {
            program: format!("program-{number}"),
            previous: None,
            chain: Vec::new(),
            turns: 0,
        }
    }

    /// Sends the next turn, with tries at one machine after another until it is answered whole or the limit has passed.
    pub fn go_on(
        &mut self,
        fronts: &[SocketAddr],
        prompts: &Prompts,
        limit: Duration,
        record: &Record,
    ) -> Outcome {
        let started = Instant::now();
        let mut outcome = Outcome::default();
        let mut tries = 0;
        while started.elapsed() < limit {
            tries += 1;
            let id = format!("{}-turn-{}-try-{tries}", self.program, self.turns + 1);
            let mut input = format!("input of {id} ").repeat(40).into_bytes();
            input.push(b'\n');
            let front = fronts[(tries + self.turns as usize) % fronts.len()];
            let (status, body) = self.send(&id, &input, front).unwrap_or_default();
            if status == 200 {
                self.chain.extend_from_slice(&input);
                let prompt = prompts.lock().unwrap().remove(&id).unwrap_or_default();
                outcome.wrong_prompt = prompt != self.chain;
                outcome.answered = true;
                for line in String::from_utf8_lossy(&body).lines() {
                    if let Some(data) = line.strip_prefix("data: ") {
                        self.chain.extend_from_slice(data.as_bytes());
                        self.chain.push(b'\n');
                    }
                }
                self.previous = Some(id);
                self.turns += 1;
                return outcome;
            }
            outcome.unknown += u32::from(status == 404);
            outcome.unavailable += u32::from(status == 503);
            if tries <= 2 || (status == 404 && outcome.unknown <= 2) {
                let previous = self.previous.as_deref().unwrap_or("none");
                record.line(&format!("client: {id} after {previous}: {status}"));
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        outcome
    }

    fn send(&self, id: &str, input: &[u8], front: SocketAddr) -> std::io::Result<(u16, Vec<u8>)> {
        let mut headers = vec![
            ("X-Dunespur-Request-Id", id.to_owned()),
            ("X-Dunespur-Deadline-Ms", "5000".to_owned()),
            ("X-Dunespur-Token-Count", "100,24".to_owned()),
            ("Program", self.program.clone()),
            ("Session", self.program.clone()),
            ("Budget", "1080".to_owned()),
        ];
        let previous = self.previous.clone();
        headers.extend(previous.map(|previous| ("Previous", previous)));
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(6)))?;
        let host = "ficu95.example";
        http::write_request(&mut stream, "POST", "/words/x", host, &headers, input)?;
        let mut reader = Reader::new(stream);
        let head = reader.head()?.unwrap_or_default();
        let body = reader.body(&head, true)?;
        Ok((head.status(), body))
    }
}

/// Continues all conversations by one turn, all at the same time; the outcomes are in their order.
pub fn go_on_all(
    conversations: &mut [Conversation],
    fronts: &[SocketAddr],
    prompts: &Prompts,
    limit: Duration,
    record: &Record,
) -> Vec<Outcome> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = conversations
            .iter_mut()
            .map(|one| scope.spawn(move || one.go_on(fronts, prompts, limit, record)))
            .collect();
        let outcomes = threads.into_iter().map(|thread| thread.join().unwrap());
        outcomes.collect()
    })
}
