//! Tests of the listener on a runtime that the test advances one turn at a time.

use super::*;
use crate::counter_client::CounterClient;
use crate::discovery_watch::DiscoveryWatch;
use crate::event_loop::UnixClock;
use crate::protocol::ConfiguredNames;
use crate::server_connections::ServerConnections;
use crate::state_machine::tests::settings;
use crate::state_machine::StateMachine;
use tokio::task::{spawn_local, yield_now, LocalSet};

/// An event loop whose servers, counter and discovery are unreachable.
fn event_loop() -> Rc<EventLoop> {
    let clock = UnixClock::start();
    let names = ConfiguredNames {
        plans: vec!["p".into()],
        operations: vec!["read".into()],
        zones: vec!["a".into()],
        fleet_size: 1,
        max_units: 1.0,
    };
    let state_machine = StateMachine::new(&settings(), clock.now());
    let (connect_timeout, unreachable) = (Duration::from_secs(1), "127.0.0.1:9".parse().unwrap());
    let client_listener = ClientListener::new(16, 1024 * 1024);
    let server_connections = ServerConnections::new(connect_timeout, 1.0, 4);
    let counter_client = CounterClient::new(None, connect_timeout, 1);
    EventLoop::new(
        clock,
        names,
        state_machine,
        client_listener,
        server_connections,
        counter_client,
        DiscoveryWatch::new(unreachable, false, 0),
    )
}

#[test]
fn a_client_accepted_in_the_same_turn_as_the_close_starts_closing() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let event_loop = event_loop();
        event_loop.client_listener.open();
        let accept_task = spawn_local(ClientListener::serve(event_loop.clone(), listener));
        for _ in 0..10 {
            yield_now().await;
        }
        // The listener waits in accept. The next turn of the runtime delivers both this connection and the close.
        let _client = std::net::TcpStream::connect(address).unwrap();
        yield_now().await;
        assert_eq!(
            event_loop.client_listener.connection_count(),
            0,
            "closed before the listener had its turn"
        );
        event_loop.client_listener.close(event_loop.clock.now());
        while event_loop.client_listener.connection_count() == 0 && !accept_task.is_finished() {
            yield_now().await;
        }
        let clients = event_loop.client_listener.clients.borrow();
        assert!(clients.len() == 1 && clients.values().all(|client| client.is_closing()));
    });
}
