//! Engines that prefill long prompts in teams, one of them slowly.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use lovagedock::DirectEndpoint;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{ENGINE, any_port, endpoint::read_request, endpoint_scripts as script, entry};

/// Passes from the end of the prefill to the first event.
const PASS_TIME: Duration = Duration::from_millis(70);

/// Engines of one service. The last one prefills four times slower than the others.
#[derive(Clone, Default)]
pub(crate) struct PrefillingEngines {
    addresses: Vec<SocketAddr>,
    teams: Arc<Mutex<Vec<Vec<SocketAddr>>>>,
}

impl PrefillingEngines {
    /// Starts this many engines.
    pub(crate) async fn start(count: usize) -> Self {
        let mut engines = Self::default();
        let mut listeners = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind(any_port()).await;
            let listener = listener.expect("a free port is available");
            let address = listener.local_addr();
            let address = address.expect("the listener has a local address");
            engines.addresses.push(address);
            listeners.push(listener);
        }
        for (listener, address) in listeners.into_iter().zip(engines.addresses.clone()) {
            let engines = engines.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let engines = engines.clone();
                    tokio::spawn(async move { engines.serve(stream, address).await });
                }
            });
        }
        engines
    }

    /// Returns the entries of the engines, the slow one last. The first engines by name form the short
    /// lane and get no long prompts.
    pub(crate) fn entries(&self) -> Vec<DirectEndpoint> {
        let engines = self.addresses.iter().enumerate();
        let entries = engines.map(|(index, address)| entry(&format!("i-{index:02}"), *address));
        entries.collect()
    }

    /// Returns the number of requests so far, and of those with a part on the slow engine.
    pub(crate) fn slow_share(&self) -> (usize, usize) {
        let teams = self.teams.lock().expect("the mutex is not poisoned");
        let slow = teams.iter().filter(|team| self.is_slow(team)).count();
        (teams.len(), slow)
    }

    fn is_slow(&self, team: &[SocketAddr]) -> bool {
        let slow = self.addresses.last().expect("there are engines");
        team.contains(slow)
    }

    async fn serve(&self, mut stream: TcpStream, lead: SocketAddr) -> Option<()> {
        let request = read_request(&mut stream).await?;
        let field = |name: &str| request.lines().find_map(|line| line.strip_prefix(name));
        let helpers = field("x-helpers: ").unwrap_or_default().split(',');
        let helpers = helpers.filter_map(|address| address.parse().ok());
        let team: Vec<SocketAddr> = std::iter::once(lead).chain(helpers).collect();
        let prompt = field("x-prompt: ")?.parse().ok()?;
        let slowdown = if self.is_slow(&team) { 4 } else { 1 };
        let prefill_time = ENGINE.prefill_time(prompt) / team.len() as u32 * slowdown;
        self.teams
            .lock()
            .expect("the mutex is not poisoned")
            .push(team);
        sleep(prefill_time + PASS_TIME).await;
        let text = script::events(1..3, true).replace("REQUEST", field("x-request: ")?);
        stream.write_all(text.as_bytes()).await.ok()
    }
}
