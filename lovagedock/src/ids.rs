//! Identifiers and quantities shared by all modules.

use std::{sync::Arc, time::Duration};

/// Monotonic time since the process started; never wall-clock time.
///
/// Processes send each other remaining durations instead of points in time, so clocks of different
/// hosts are never compared.
pub type Timestamp = Duration;

/// Name of a host that runs a lovagedock process or an endpoint.
pub type HostId = Arc<str>;
/// Name of a failure domain.
pub type DomainId = Arc<str>;
/// Name of an organisation.
pub type OrganisationId = Arc<str>;
/// Name of an endpoint: an engine or a replica of a plain service.
pub type EndpointId = Arc<str>;
/// Name of a pool of endpoints.
pub type PoolId = Arc<str>;
/// Name of a service that callers address.
pub type ServiceId = Arc<str>;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Name of a gateway.
pub type GatewayId = Arc<str>;
/// Random 128-bit id of a caller's request.
pub type RequestId = u128;
/// Number of an attempt of one request, counted from 1.
pub type AttemptNumber = u32;
/// Random id of one incarnation of a process; a restarted process has another.
pub type Incarnation = u64;
/// Start time of an endpoint's process in Unix milliseconds, by the clock of its own host. It is
/// compared only with other start times of the same endpoint, since clocks of different hosts
/// differ.
pub type StartStamp = u64;
/// Number of an accepted configuration; increases by one with each acceptance.
pub type Generation = u64;
/// Fencing number of a lease; increases with each holder.
pub type Epoch = u64;
/// Number of writes and deletes that the platform's store has executed.
pub type Revision = u64;
/// Number of times the platform's store was restored from an older copy; 0 if the store does not
/// report it.
pub type StoreEra = u64;
/// Tokens of a prompt or an answer.
pub type TokenCount = u64;
/// Blocks of an engine's KV memory.
pub type BlockCount = u64;

const REQUEST_ID_DIGITS: usize = 32;

/// Formats a request id as 32 hexadecimal digits, the form used in responses and logs.
pub fn format_request_id(id: RequestId) -> String {
    format!("{id:032x}")
}

/// Parses the output of [`format_request_id`]; returns `None` for any other text.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    if text.len() != REQUEST_ID_DIGITS {
        return None;
    }
    RequestId::from_str_radix(text, 16).ok()
}
