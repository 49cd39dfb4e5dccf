//! Where vendors differ: how an engine reports its load and its account.

use async_trait::async_trait;

use super::{
    client::EngineClient,
    error::EngineError,
    message::{EngineAllocation, EngineLoad},
};

/// One vendor's way of reporting.
#[async_trait]
pub(crate) trait VendorDialect: Send + Sync + 'static {
    async fn allocations(
        &self,
        client: &EngineClient,
    ) -> Result<Vec<EngineAllocation>, EngineError>;

    async fn load(&self, client: &EngineClient) -> Result<EngineLoad, EngineError>;
}
