//! Types that are used in nearly every module.

pub use crate::{
    codes::{RanState, ResultCode},
    config::{FleetConfig, PriorityTier},
    ids::{
        AttemptNumber, BlockCount, DomainId, EndpointId, Epoch, GatewayId, Generation, HostId,
        Incarnation, ModelId, OrganisationId, PoolId, RequestId, Revision, ServiceId, StartStamp,
        StoreEra, Timestamp, TokenCount, format_request_id, parse_request_id,
    },
    length::LengthBucket,
    outcome::{AnswerEnd, AttemptKey, RevokeVerdict},
    placement::{PlacementChoice, PlacementPolicy, PlacementRequest, PoolState, PoolView},
};
