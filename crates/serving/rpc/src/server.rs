//! The side that is called: accepts connections and hands each frame to a [`Service`].

use crate::frame::{encode, FrameReader};
use crate::{prepare, MOST_QUEUED};
use bytes::{Bytes, BytesMut};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, Duration};

/// Calls of one connection that may be under way; further ones wait unread.
const MOST_CALLS: usize = 1024;
/// A pause after a failed accept (no descriptor left), against a loop that takes all processor time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers calls.
pub trait Service: 'static {
    /// The answer to one call; `None` ends the connection (a payload that can't be understood). For messages
    /// without an answer the result only tells whether the connection goes on.
    fn call(self: Rc<Self>, payload: Bytes) -> impl Future<Output = Option<Bytes>>;
}

/// Serves connections for as long as the task lives.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                spawn_local(connection(stream, peer, service.clone()));
            }
            Err(error) => {
                log::warn!("accept failed: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection<S: Service>(stream: TcpStream, peer: SocketAddr, service: Rc<S>) {
    if prepare(&stream).is_err() {
        return;
    }
    let (input, output) = stream.into_split();
    let (answers, queue) = mpsc::channel(MOST_QUEUED);
    let writer = spawn_local(write_answers(output, queue));
    let mut reader = FrameReader::new(input);
    let places = Arc::new(Semaphore::new(MOST_CALLS));
    let ended = Rc::new(tokio::sync::Notify::new());
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            break;
        };
        let frame = tokio::select! {
            frame = reader.next() => frame,
            () = ended.notified() => break,
        };
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                log::debug!("connection from {peer} ended: {error:?}");
                break;
            }
        };
        let answers = answers.clone();
        let service = service.clone();
        let ended = ended.clone();
        spawn_local(async move {
            let answer = service.call(frame.payload).await;
            drop(place);
            match answer {
                None => ended.notify_one(),
                Some(bytes) if frame.number != 0 => {
                    let _ = answers.send((frame.number, bytes)).await;
                }
                Some(_) => {}
            }
        });
    }
    drop(answers);
    writer.abort();
}

async fn write_answers(mut output: OwnedWriteHalf, mut queue: mpsc::Receiver<(u64, Bytes)>) {
    let mut buffer = BytesMut::new();
    while let Some((number, payload)) = queue.recv().await {
        encode(number, &payload, &mut buffer);
        while let Ok((number, payload)) = queue.try_recv() {
            encode(number, &payload, &mut buffer);
        }
        if output.write_all(&buffer).await.is_err() {
            return;
        }
        buffer = BytesMut::new();
    }
}
