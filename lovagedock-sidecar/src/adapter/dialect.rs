//! Vendor-specific part of the model adapter: how an engine reports its load and its allocations.

use async_trait::async_trait;

use super::{
    client::EngineClient,
    error::EngineError,
    message::{EngineAllocation, EngineLoad},
};

/// Reads the reports of one vendor's engines.
#[async_trait]
pub(crate) trait VendorDialect: Send + Sync + 'static {
    async fn allocations(
        &self,
        client: &EngineClient,
    ) -> Result<Vec<EngineAllocation>, EngineError>;

    async fn load(&self, client: &EngineClient) -> Result<EngineLoad, EngineError>;
}
