//! The listener on a runtime whose turns the test takes one by one.

use super::*;
use crate::counter::Counter;
use crate::discovery::Discovery;
use crate::hub::Clock;
use crate::message::Names;
use crate::reducer::tests::settings;
use crate::reducer::Reducer;
use crate::upstream::Upstream;
use tokio::task::{spawn_local, yield_now, LocalSet};

/// A hub whose servers, counter and discovery are never reached.
fn hub() -> Rc<Hub> {
    let clock = Clock::start();
    let names = Names {
        plans: vec!["p".into()],
        operations: vec!["read".into()],
        zones: vec!["a".into()],
        fleet: 1,
        most_units: 1.0,
    };
    let reducer = Reducer::new(&settings(), clock.now());
    let (dial, nowhere) = (Duration::from_secs(1), "127.0.0.1:9".parse().unwrap());
    let front = Front::new(16, 1024 * 1024);
    let upstream = Upstream::new(dial, 1.0, 4);
    let counter = Counter::new(None, dial, 1);
    Hub::new(
        clock,
        names,
        reducer,
        front,
        upstream,
        counter,
        Discovery::new(nowhere, false, 0),
    )
}

#[test]
fn a_client_accepted_in_the_turn_of_the_close_is_told_to_leave() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let hub = hub();
        hub.front.open();
        let serving = spawn_local(Front::serve(hub.clone(), listener));
        for _ in 0..10 {
            yield_now().await;
        }
        // It waits for clients. The next turn of the runtime tells it of this one, and this task of the close.
        let _client = std::net::TcpStream::connect(address).unwrap();
        yield_now().await;
        assert_eq!(
            hub.front.clients(),
            0,
            "closed before the listener had its turn"
        );
        hub.front.close(hub.clock.now());
        while hub.front.clients() == 0 && !serving.is_finished() {
            yield_now().await;
        }
        let clients = hub.front.clients.borrow();
        assert!(clients.len() == 1 && clients.values().all(|client| client.leaving()));
    });
}
