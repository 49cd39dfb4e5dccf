//! The pool of workers that own sessions.
//!
//! Sessions are not `Send`, so each lives on one worker: a thread with a single-threaded runtime.
//! An endpoint belongs to the worker that its name hashes to.

use std::{net::SocketAddr, rc::Rc, thread};

use lovagedock::prelude::*;
use slog::{Logger, warn};
use tokio::{
    runtime,
    sync::mpsc,
    task::{self, LocalSet},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    connect::ConnectorFactory,
    context::GatewayContext,
    link::{EndpointLink, LinkCommand, LinkTimes},
};

/// An endpoint for a worker to keep a session to.
pub(crate) struct LinkSeed {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Address of its sidecar.
    pub(crate) address: SocketAddr,
    /// Commands; when all senders are gone the link ends.
    pub(crate) commands: mpsc::UnboundedReceiver<LinkCommand>,
}

/// Threads that run links; they end when the pool is dropped.
pub(crate) struct WorkerPool {
    seeds: Vec<mpsc::UnboundedSender<LinkSeed>>,
}

impl WorkerPool {
    /// Starts the threads.
    pub(crate) fn new(
        workers: usize,
        context: &GatewayContext,
        connectors: &ConnectorFactory,
        times: LinkTimes,
        log: &Logger,
    ) -> std::io::Result<Self> {
        let mut seeds = Vec::with_capacity(workers);
        for number in 0..workers.max(1) {
            let (sender, receiver) = mpsc::unbounded_channel();
            let worker = LinkWorker {
                context: context.clone(),
                connectors: connectors.clone(),
                times,
                log: log.clone(),
            };
            thread::Builder::new()
                .name(format!("links-{number}"))
                .spawn(move || worker.run(receiver))?;
            seeds.push(sender);
        }
        Ok(Self { seeds })
    }

    /// Gives an endpoint to its worker.
    pub(crate) fn start_link(&self, seed: LinkSeed) {
        let hash = xxh3_64(seed.endpoint.as_bytes());
        let worker = (hash % self.seeds.len() as u64) as usize;
        // A worker ends only with the pool.
        let _ended = self.seeds[worker].send(seed);
    }
}

struct LinkWorker {
    context: GatewayContext,
    connectors: ConnectorFactory,
    times: LinkTimes,
    log: Logger,
}

impl LinkWorker {
    fn run(self, seeds: mpsc::UnboundedReceiver<LinkSeed>) {
        let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                warn!(self.log, "a worker has no runtime"; "error" => %error);
                return;
            }
        };
        LocalSet::new().block_on(&runtime, self.accept(seeds));
    }

    async fn accept(self, mut seeds: mpsc::UnboundedReceiver<LinkSeed>) {
        let context = Rc::new(self.context);
        while let Some(seed) = seeds.recv().await {
            let link = EndpointLink {
                endpoint: seed.endpoint,
                address: seed.address,
                context: Rc::clone(&context),
                connector: self.connectors.connector(),
                commands: seed.commands,
                times: self.times,
                log: self.log.clone(),
            };
            task::spawn_local(link.run());
        }
    }
}
