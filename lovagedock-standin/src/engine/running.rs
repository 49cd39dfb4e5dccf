//! Starts a stand-in engine and provides handles to it.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::net::TcpListener;

use super::{
    batch::BlockAllocation, driver, fault::EngineFault, journal::EngineJournal,
    options::EngineOptions, serve, state::EngineState,
};

/// Starts stand-in engines.
#[derive(Debug)]
pub struct EngineStandin;

impl EngineStandin {
    /// Starts an engine on a free loopback port; needs a `tokio` runtime.
    pub async fn start(options: EngineOptions) -> io::Result<RunningEngine> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), options).await
    }

    /// Starts an engine that listens on the given address; needs a `tokio` runtime.
    pub async fn start_at(
        address: SocketAddr,
        options: EngineOptions,
    ) -> io::Result<RunningEngine> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(EngineState::new(address, options));
        tokio::spawn(driver::run_steps(state.clone()));
        tokio::spawn(serve::serve(state.clone(), listener));
        Ok(RunningEngine {
            address,
            journal: state.journal.clone(),
            handle: EngineHandle { state },
        })
    }
}

/// Running engine. It stops with its runtime.
#[derive(Clone, Debug)]
pub struct RunningEngine {
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Handle to control the engine within this process.
    pub handle: EngineHandle,
    /// Journal of the requests that the engine processed.
    pub journal: EngineJournal,
}

/// Controls a running engine within the same process.
#[derive(Clone, Debug)]
pub struct EngineHandle {
    state: Arc<EngineState>,
}

impl EngineHandle {
    /// Activates a fault, or ends it with [`EngineFault::None`].
    pub fn set_fault(&self, fault: EngineFault) {
        self.state.set_fault(fault);
    }

    /// Memory allocated to each request now.
    pub fn allocations(&self) -> Vec<BlockAllocation> {
        self.state.core.lock().batch.allocations()
    }

    /// Total number of blocks allocated to requests now.
    pub fn allocated_blocks(&self) -> u64 {
        self.state.core.lock().batch.memory().allocated()
    }

    /// Model time since the engine's start.
    pub fn model_time(&self) -> Duration {
        self.state.model_now()
    }
}
