//! New connections of a gateway that is behind, over real sockets.

mod direct_support;

use std::{net::SocketAddr, thread, time::Duration};

use direct_support::{CrashingFleet, TestGateway, call};
use tokio::{task::yield_now, time::sleep};

/// Delay of each turn of the event loop.
const LOOP_DELAY: Duration = Duration::from_millis(60);

/// Time after which a gateway that refused connections may have no limit.
const CATCH_UP_TIME: Duration = Duration::from_millis(3200);

/// Number of requests, each on a new connection.
const REQUESTS: usize = 30;

/// Sends requests one after the other and returns how many of the last half got no response at all.
async fn count_unread(gateway: SocketAddr, first_id: usize) -> usize {
    let mut unread = 0;
    for number in 0..REQUESTS {
        let response = call(gateway, "/safe/x", &format!("{}", first_id + number)).await;
        let is_unread = response.text.is_empty();
        assert!(is_unread || response.status() == 200, "{}", response.text);
        unread += usize::from(is_unread && number >= REQUESTS / 2);
    }
    unread
}

/// Guards against a gateway that reads requests while it is behind, and against one that goes on to
/// close connections when it has caught up.
#[tokio::test]
async fn a_gateway_that_is_behind_closes_connections_unread() {
    let fleet = CrashingFleet::start(2).await;
    let gateway = TestGateway::start("gateway", &fleet.feed)
        .await
        .ready()
        .await;
    assert_eq!(count_unread(gateway.address(), 100).await, 0);
    let busy = tokio::spawn(async {
        loop {
            thread::sleep(LOOP_DELAY);
            yield_now().await;
        }
    });
    let unread = count_unread(gateway.address(), 200).await;
    assert!(unread > REQUESTS / 4, "{unread} closed unread");
    busy.abort();
    sleep(CATCH_UP_TIME).await;
    // It measures with the next connections that it has caught up.
    count_unread(gateway.address(), 300).await;
    sleep(CATCH_UP_TIME).await;
    count_unread(gateway.address(), 400).await;
    assert_eq!(count_unread(gateway.address(), 500).await, 0);
}
