//! Identifiers and quantities that every module shares.

use std::{sync::Arc, time::Duration};

/// Monotonic time since the process started; never wall-clock time.
///
/// A process tells another process how long is left, not when something ends, so that no two
/// clocks are ever compared.
pub type Timestamp = Duration;

/// Name of a host that runs one of our processes or an endpoint.
pub type HostId = Arc<str>;
/// Name of a failure domain.
pub type DomainId = Arc<str>;
/// Name of an organisation.
pub type OrganisationId = Arc<str>;
/// Name of an endpoint, that is, an engine or a plain service's replica.
pub type EndpointId = Arc<str>;
/// Name of a pool of endpoints.
pub type PoolId = Arc<str>;
/// Name of a service that callers address.
pub type ServiceId = Arc<str>;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Name of a gateway.
pub type GatewayId = Arc<str>;
/// Random id of one caller's request, 128 bits.
pub type RequestId = u128;
/// Counts the attempts of one request from 1.
pub type AttemptNumber = u32;
/// Random id of one life of a process; a restarted process has another.
pub type Incarnation = u64;
/// Start of an endpoint's process in Unix milliseconds, by its own host's clock. It is compared only
/// with other starts of the same endpoint: clocks of different hosts differ.
pub type StartStamp = u64;
/// Number of an accepted configuration; grows by one with each acceptance.
pub type Generation = u64;
/// Fencing number of a lease; grows with each holder.
pub type Epoch = u64;
/// Counts the writes and deletes that the platform's store has carried out.
pub type Revision = u64;
/// Counts how often the platform's store came back from an older copy; 0 if it does not tell.
pub type StoreEra = u64;
/// Tokens of a prompt or an answer.
pub type TokenCount = u64;
/// Blocks of an engine's KV memory.
pub type BlockCount = u64;

const REQUEST_ID_DIGITS: usize = 32;

/// Writes a request id as 32 hexadecimal digits, as callers and logs see it.
pub fn format_request_id(id: RequestId) -> String {
    format!("{id:032x}")
}

/// Reads what [`format_request_id`] wrote; `None` for anything else.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() != REQUEST_ID_DIGITS {
        return None;
    }
    RequestId::from_str_radix(text, 16).ok()
}
