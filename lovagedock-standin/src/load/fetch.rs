//! Fetches the journals of stand-ins that run as separate processes.

use std::{io, net::SocketAddr, str::FromStr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use lovagedock::EndpointId;
use serde::{Deserialize, de::DeserializeOwned};

use super::{
    collect::ClockOrigin,
    journal::{ExecutionJournal, ExecutionRecord, LeakRecord},
};
use crate::{engine::JournalEntry, service::ServiceRun};

/// Address of a stand-in with the name of its endpoint, written as `NAME=ADDRESS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandinTarget {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Address on which the stand-in listens.
    pub address: SocketAddr,
}

impl FromStr for StandinTarget {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, address) = text
            .split_once('=')
            .ok_or_else(|| "expected NAME=ADDRESS".to_owned())?;
        let address = address.parse().map_err(|error| format!("{error}"))?;
        Ok(Self {
            endpoint: name.into(),
            address,
        })
    }
}

/// Adds the journal of an engine and the blocks that it still has allocated.
///
/// The clock of another process cannot be related to the run's clock. Only violations that do not
/// depend on times can be counted from this journal.
pub async fn fetch_engine(
    journal: &mut ExecutionJournal,
    target: &StandinTarget,
) -> io::Result<()> {
    let entries: Vec<JournalEntry> = fetch_json(target.address, "/journal").await?;
    let origin = ClockOrigin {
        started_at: Duration::ZERO,
        time_scale: 1.0,
    };
    journal.add_engine_entries(&target.endpoint, &entries, origin);
    let allocations: EngineAllocations = fetch_json(target.address, "/v1/requests").await?;
    let blocks = allocations.blocks();
    if blocks > 0 {
        journal.leaks.push(LeakRecord {
            endpoint: target.endpoint.clone(),
            blocks,
        });
    }
    Ok(())
}

/// Adds the journal of a plain service.
pub async fn fetch_service(
    journal: &mut ExecutionJournal,
    target: &StandinTarget,
) -> io::Result<()> {
    let runs: Vec<ServiceRun> = fetch_json(target.address, "/journal").await?;
    let starts = runs.iter().map(|run| ExecutionRecord {
        request: lovagedock::parse_request_id(&run.request_id).unwrap_or_default(),
        key: None,
        endpoint: target.endpoint.clone(),
        started_at: Duration::ZERO,
        ended_at: None,
    });
    journal.starts.extend(starts);
    Ok(())
}

/// List of allocations of an engine, in the format of either vendor.
#[derive(Deserialize)]
#[serde(untagged)]
enum EngineAllocations {
    Blocks { requests: Vec<BlockEntry> },
    Tokens { sequences: Vec<TokenEntry> },
}

#[derive(Deserialize)]
struct BlockEntry {
    blocks: u64,
}

#[derive(Deserialize)]
struct TokenEntry {
    kv_tokens: u64,
}

impl EngineAllocations {
    fn blocks(&self) -> u64 {
        match self {
            Self::Blocks { requests } => requests.iter().map(|entry| entry.blocks).sum(),
            Self::Tokens { sequences } => sequences
                .iter()
                .map(|entry| entry.kv_tokens.div_ceil(crate::engine::BLOCK_TOKENS))
                .sum(),
        }
    }
}

async fn fetch_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> io::Result<T> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{address}{path}")
        .parse()
        .map_err(io::Error::other)?;
    let response = client.get(uri).await.map_err(io::Error::other)?;
    let body = response.into_body().collect().await;
    let bytes = body.map_err(io::Error::other)?.to_bytes();
    serde_json::from_slice(&bytes).map_err(io::Error::other)
}
