//! Worker threads that own the sessions to sidecars.
//!
//! Sessions are not `Send`, so each session stays on one worker, a thread with a single-threaded
//! runtime. An endpoint is assigned to a worker by the hash of its name.

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

/// An endpoint to which a worker keeps a session.
pub(crate) struct LinkSpec {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Address of the endpoint's sidecar.
    pub(crate) address: SocketAddr,
    /// Commands; the link ends when all senders are dropped.
    pub(crate) commands: mpsc::UnboundedReceiver<LinkCommand>,
}

/// Threads that run links; they end when the pool is dropped.
pub(crate) struct WorkerPool {
    link_specs: Vec<mpsc::UnboundedSender<LinkSpec>>,
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
        let mut link_specs = Vec::with_capacity(workers);
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
            link_specs.push(sender);
        }
        Ok(Self { link_specs })
    }

    /// Assigns an endpoint to its worker.
    pub(crate) fn start_link(&self, spec: LinkSpec) {
        let hash = xxh3_64(spec.endpoint.as_bytes());
        let worker = (hash % self.link_specs.len() as u64) as usize;
        // The send fails only if the pool is being dropped.
        let _ended = self.link_specs[worker].send(spec);
    }
}

struct LinkWorker {
    context: GatewayContext,
    connectors: ConnectorFactory,
    times: LinkTimes,
    log: Logger,
}

impl LinkWorker {
    fn run(self, link_specs: mpsc::UnboundedReceiver<LinkSpec>) {
        let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                warn!(self.log, "cannot create the runtime of a worker"; "error" => %error);
                return;
            }
        };
        LocalSet::new().block_on(&runtime, self.run_links(link_specs));
    }

    async fn run_links(self, mut link_specs: mpsc::UnboundedReceiver<LinkSpec>) {
        let context = Rc::new(self.context);
        while let Some(spec) = link_specs.recv().await {
            let link = EndpointLink {
                endpoint: spec.endpoint,
                address: spec.address,
                context: Rc::clone(&context),
                connector: self.connectors.connector(),
                commands: spec.commands,
                times: self.times,
                log: self.log.clone(),
            };
            task::spawn_local(link.run());
        }
    }
}
