//! A server of a service: registers itself and answers requests as the pages say.

use crate::http::{self, Head, Reader};
use crate::record::Record;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Handles a request and writes the answer; returns whether the connection stays open.
pub type Handler = dyn Fn(&Server, &Request, &mut TcpStream) -> bool + Send + Sync;

pub struct Request {
    pub id: String,
    pub head: Head,
    pub body: Vec<u8>,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub record: Record,
    pub draining: AtomicBool,
    pub ended: AtomicBool,
    /// When a heartbeat that said `draining` was acknowledged.
    pub drain_acknowledged: Mutex<Option<Instant>>,
    sequence: AtomicU64,
    stamps: AtomicU64,
}

impl Server {
    /// Starts a server at a free port of `ip` that sends its heartbeats to `controls`.
    pub fn start(
        id: &str,
        service: &str,
        ip: IpAddr,
        controls: Vec<SocketAddr>,
        record: &Record,
        handler: Arc<Handler>,
    ) -> Arc<Server> {
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
        let server = Arc::new(Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            drain_acknowledged: Mutex::new(None),
            sequence: AtomicU64::new(0),
            stamps: AtomicU64::new(0),
        });
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::SeqCst) {
                    return;
                }
                let (server, handler) = (accepting.clone(), handler.clone());
                std::thread::spawn(move || server.serve(stream, &handler));
            }
        });
        let beating = server.clone();
        std::thread::spawn(move || {
            let mut turn = 0;
            while !beating.ended.load(Ordering::SeqCst) {
                let acknowledged = beating.beat(controls[turn % controls.len()]);
                if !acknowledged {
                    turn += 1;
                }
                let pause = if acknowledged { 1_200 } else { 100 };
                // A change of the state is reported at once.
                let was_draining = beating.draining.load(Ordering::SeqCst);
                for _ in 0..pause / 20 {
                    if beating.draining.load(Ordering::SeqCst) != was_draining {
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
            }
        });
        server
    }

    /// Sends one heartbeat; returns whether it was acknowledged.
    fn beat(&self, control: SocketAddr) -> bool {
        let draining = self.draining.load(Ordering::SeqCst);
        let body = format!(
            r#"{{"backend":"{}","address":"{}","zone":"a","generation":"v1","slots":8,"state":"{}","cold_left_ms":0,"seq":{}}}"#,
            self.service,
            self.address,
            if draining { "draining" } else { "ready" },
            self.sequence.fetch_add(1, Ordering::SeqCst) + 1
        );
        let path = format!("/api/instances/{}/heartbeat", self.id);
        let headers = [("Content-Type", "application/json".to_owned())];
        let answer = http::call(
            control,
            "POST",
            &path,
            "control",
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        let acknowledged = answer.is_ok_and(|answer| answer.head.status() / 100 == 2);
        let mut drain_acknowledged = self.drain_acknowledged.lock().unwrap();
        if acknowledged && draining && drain_acknowledged.is_none() {
            *drain_acknowledged = Some(Instant::now());
            self.record
                .line(&format!("server {}: draining is acknowledged", self.id));
        }
        acknowledged
    }

    /// Says that the server has left.
    pub fn leave(&self, control: SocketAddr) {
        let path = format!("/api/instances/{}/leave", self.id);
        let _ = http::call(
            control,
            "POST",
            &path,
            "control",
            &[],
            b"{}",
            Duration::from_secs(1),
        );
    }

    pub fn stamp(&self) -> String {
        let number = self.stamps.fetch_add(1, Ordering::SeqCst);
        format!("{}.{number}", self.id)
    }

    fn serve(&self, stream: TcpStream, handler: &Arc<Handler>) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let Ok(body) = reader.body(&head, false) else {
                return;
            };
            let id = head
                .header("x-dunespur-request-id")
                .unwrap_or_default()
                .to_owned();
            let expected = head.header("x-dunespur-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Dunespur-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                if output.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let request = Request { id, head, body };
            if !handler(self, &request, &mut output) {
                return;
            }
        }
    }

    /// Writes a whole answer with a length.
    pub fn answer(&self, request: &Request, output: &mut TcpStream, body: &[u8]) -> bool {
        let mut bytes = format!(
            "HTTP/1.1 200 OK\r\nX-Dunespur-Request-Id: {}\r\nX-Dunespur-Response-Stamp: {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n",
            request.id,
            self.stamp(),
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        output.write_all(&bytes).is_ok()
    }
}
