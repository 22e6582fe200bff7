use super::check_health;
use dunespur_singleton_roles::health_check::Observation;
use dunespur_test_fixtures::response_heads::{
    ResponseHead, BROKEN_LENGTHS, BROKEN_LINES, BROKEN_STATUS_LINES, SOUND_SUCCESSES,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Returns what a health check observes of a server that sends a response with this head.
async fn observation_of(head: &ResponseHead) -> Observation {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let read = stream.read(&mut request).await.unwrap();
        assert!(request[..read].ends_with(b"\r\n\r\n"));
        stream.write_all(&head.with_body("", "body")).await.unwrap();
        stream
    };
    let (observation, _stream) = tokio::join!(check_health(address), serve);
    observation
}

#[test]
fn only_a_sound_response_shows_that_a_server_answers() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        for head in BROKEN_LENGTHS
            .iter()
            .chain(BROKEN_LINES)
            .chain(BROKEN_STATUS_LINES)
        {
            assert_eq!(observation_of(head).await, Observation::Silent, "{head:?}");
        }
        let mut silent = Vec::new();
        for head in SOUND_SUCCESSES {
            if observation_of(head).await != Observation::Answered {
                silent.push(head);
            }
        }
        assert!(silent.is_empty(), "{silent:#?}");
    });
}
