//! Starting a stand-in engine and holding on to it.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::net::TcpListener;

use super::{
    batch::BlockAllocation, driver, fault::EngineFault, journal::EngineJournal,
    options::EngineOptions, serve, state::EngineState,
};

/// Entry point of the stand-in engine.
#[derive(Debug)]
pub struct EngineStandin;

impl EngineStandin {
    /// Starts an engine on a free loopback port; needs a `tokio` runtime.
    pub async fn start(options: EngineOptions) -> io::Result<RunningEngine> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), options).await
    }

    /// Starts an engine at the given address.
    pub async fn start_at(
        address: SocketAddr,
        options: EngineOptions,
    ) -> io::Result<RunningEngine> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(EngineState::new(address, options));
        tokio::spawn(driver::drive(state.clone()));
        tokio::spawn(serve::serve(state.clone(), listener));
        Ok(RunningEngine {
            address,
            journal: state.journal.clone(),
            handle: EngineHandle { state },
        })
    }
}

/// An engine that answers; it runs as long as its runtime.
#[derive(Clone, Debug)]
pub struct RunningEngine {
    /// Where it listens.
    pub address: SocketAddr,
    /// Control from within the process.
    pub handle: EngineHandle,
    /// What it saw of each request.
    pub journal: EngineJournal,
}

/// Control of a running engine from within its process.
#[derive(Clone, Debug)]
pub struct EngineHandle {
    state: Arc<EngineState>,
}

impl EngineHandle {
    /// Puts a fault in force, or ends it with [`EngineFault::None`].
    pub fn set_fault(&self, fault: EngineFault) {
        self.state.set_fault(fault);
    }

    /// What each request holds at this moment.
    pub fn allocations(&self) -> Vec<BlockAllocation> {
        self.state.core.lock().batch.allocations()
    }

    /// Blocks that requests hold at this moment.
    pub fn allocated_blocks(&self) -> u64 {
        self.state.core.lock().batch.memory().allocated()
    }

    /// Model time since the engine's start.
    pub fn model_time(&self) -> Duration {
        self.state.model_now()
    }
}
