//! Core of lovagedock, a serving layer for fleets of language-model engines.
//!
//! This crate makes all decisions of lovagedock and performs no I/O. Each decision is made by a
//! state machine that takes the time and an event and returns actions. It uses no sockets, reads no
//! clock and draws no ambient randomness, so every failure can be tested without waiting for it to
//! occur. The daemons in the other crates execute the actions and turn network traffic into events.
//!
//! # Example
//!
//! ```
//! use lovagedock::prelude::*;
//!
//! let code = ResultCode::NoCapacity;
//! assert_eq!(code.number(), 2001);
//! assert_eq!(code.ran(), RanState::No);
//! ```

mod adoption;
mod claim;
mod codes;
mod config;
mod cost;
mod direct;
mod endpoint;
mod fence;
mod ids;
mod lease;
mod length;
mod limits;
mod orders;
mod outcome;
mod outlier;
mod placement;
pub mod prelude;
mod registry;
mod request;
mod retry;
mod safeguards;
mod span;
mod store_call;
mod subset;
mod wake;

pub use adoption::{
    AdoptionAction, AdoptionCount, AdoptionCounter, AdoptionEvent, AdoptionLimits, AdoptionSource,
    AdoptionState, AdoptionStatus, BundleError, ChunkHash, ConfigBundle, ConfigManifest,
    ManifestDigest, ProcessId, PullAnswer, RelayKind, RelayLimits, RelayMember, RelayPlan,
    RelayRole, RootOutcome, chunk_hash,
};
pub use claim::{
    BodyDigest, ClaimAction, ClaimEvent, ClaimKey, ClaimLimits, ClaimPartition, ClaimRequest,
    ClaimStatus, KeyHash, PartitionIndex, PartitionMap, PartitionPlan,
};
pub use codes::{RanState, ResultCode};
pub use config::{
    AdapterSpec, CONFIG_VERSION, CallRule, ChangeKind, ConfigChange, ConfigDocument, ConfigProblem,
    DomainSpec, EndpointSpec, FleetConfig, GatewaySpec, LengthRule, ModelSpec, OrderCheck,
    OrganisationLimits, OrganisationSpec, PlacementSpec, PoolKind, PoolSpec, PriorityTier,
    ServiceKind, ServiceSpec, SourceFile, SourceMap, SourcePosition, check_config,
    config_reference, config_schema, diff_config, parse_config, parse_files, split_model_name,
};
pub use cost::{CostModel, CostParameters, PredictionError, PrefillObservation};
pub use direct::{
    AdvertisedLimit, AttemptEnd, BackoffEvent, BodyBudget, BodyGrowth, BodyId, BookedTeam,
    BookingKey, CallerBounds, ClaimVerdict, ColdAllowance, ColdEndpoints, ColdProfile,
    CombinedLoad, ConnectionAdmission, ConnectionId, ConnectionPhase, ConnectionTable,
    ConnectionVerdict, DirectChoice, DirectEndpoint, DirectMachine, DirectPlacer, DirectRequest,
    DirectStep, DomainDrains, DomainRelays, DomainState, DrainChange, DrainPreview, DrainSnapshot,
    DrainVerdict, EndEvidence, EndpointBackoffs, EndpointChange, EndpointCount, EndpointListing,
    EndpointProcess, EndpointState, EndpointTable, EngineProfile, EntryChange, EventSplitter,
    FlowKey, FlowLane, FlowTotals, FlowUpdate, GatewayCount, HelperChange, HelperPart, HelperSpeed,
    HelperSpeeds, HostCapacity, LaneShares, LeavingQueue, LengthBand, LengthOutcome, LengthShares,
    ListingDelta, ListingLog, ListingVersion, LoadUpdates, MAX_DIRECT_GATEWAYS, MAX_READ_BYTES,
    MessageOrder, OrganisationDemand, OrganisationShares, OrganisationTag, OutputBudget, OutputId,
    OutputPhase, PartEnd, PartLedger, PartReport, PartUpdate, PartVerdict, PauseDetector,
    PeerContact, PeerLiveness, PeerLoad, PeerSequences, PlacedWork, PlacerCandidate, PoolFlow,
    PoolSlots, PreviewDemand, PreviewEndpoint, ProcessEnd, ProcessTag, PromptPart, PromptParts,
    QuarantineRelease, QueueDecision, QueueKind, QueueSettings, RELAXED_GAP, RateLimitEvent,
    RateLimits, RateUpdate, RateVerdict, RefusalLog, RefusedRequest, RelayCandidate,
    ReleaseNotices, RequestFingerprint, RequestOutlook, RequestRate, RetryAfter, RetryShare,
    RetryShareSettings, ReturnDecision, ReturnOutcome, ReturnSchedule, ReturnUpdate, RouteMatch,
    RouteMode, RouteRule, RouteTag, RouteTarget, SMALL_BODY_BYTES, SendPlan, ServicePreview,
    ServiceProfile, ServiceTag, ShareDecision, ShareRequest, ShareUpdate, SlotClaim,
    SlotContention, SlowCaller, SlowdownTracker, StopPlan, StorePosition, StreamEvent,
    SuspectLedger, SuspectQueue, SuspectReport, SuspectUpdate, TeamBooking, TeamBookings,
    TeamPrediction, TrafficConfig, WaitingQueue, WatchRole, WatcherSelection, WorkKey, WorkLedger,
    WriterGroup, WriterTable, format_fingerprint, format_part, format_release, isolate_suspects,
    max_kept_endpoints, may_book_team, organisation_tag, parse_release, route_tag, service_tag,
    short_lane_size,
};
pub use endpoint::{
    EndpointAction, EndpointCore, EndpointEvent, EndpointLimits, EndpointLoad, EndpointSafeguards,
    EndpointSnapshot, EngineAllocation, EngineAnswer, EngineReport, EngineResult, LeaseState,
    MemoryLease, MemoryLedger, OrganisationShare, RequestSnapshot, WorkOrder,
};
pub use fence::{FenceAction, FenceEvent, FenceGate, FencedOrder};
pub use ids::{
    AttemptNumber, BlockCount, DomainId, EndpointId, Epoch, GatewayId, Generation, HostId,
    Incarnation, ModelId, OrganisationId, PoolId, RequestId, Revision, ServiceId, StartStamp,
    StoreEra, Timestamp, TokenCount, format_request_id, parse_request_id,
};
pub use lease::{FenceMark, LeaseAction, LeaseEvent, LeaseHolder, LeaseLimits, LeaseStatus};
pub use length::LengthBucket;
pub use limits::{
    LimitAction, LimitDecision, LimitEvent, LimitKind, LimitTiming, ShareStage, UsageAck,
    UsageEntry, UsageLimiter, UsageReport,
};
pub use orders::{
    Artifact, ArtifactSet, LoadOrder, LoadedArtifacts, LoadedReport, OrderAction, OrderAnswer,
    OrderEvent, OrderLimits, OrderPlanner, OrderStatus, pool_contenders,
};
pub use outcome::{AnswerEnd, AttemptKey, RevokeVerdict};
pub use outlier::{OutlierAction, OutlierCause, OutlierDetector, OutlierEvent, OutlierSettings};
pub use placement::{
    EndpointBacklog, EndpointReport, EndpointView, LengthClass, PREFIX_PIECE_TOKENS,
    PlacementChoice, PlacementPolicy, PlacementReason, PlacementRequest, PoolState, PoolView,
    SentWork, SpanMember, predict_first_token, predict_queue, prefix_hashes, prompt_parts,
};
pub use registry::{PolicyPlugin, UnknownPolicy, build_policy, policies, policy_names};
pub use request::{
    PlacementOutcome, RequestAction, RequestEvent, RequestMachine, RequestOutcome,
    RequestSafeguards, RequestSpec, RequestTiming, SpanPart,
};
pub use retry::{BackoffCurve, RetryAllowance, RetryBudget};
pub use safeguards::DurableSafeguards;
pub use span::{
    ReserveBackoff, SPAN_SHARE_PERCENT, SpanAction, SpanCoordinator, SpanEvent, SpanPlan,
    SpanSegment, SpanTiming,
};
pub use store_call::{
    ObjectName, ObjectVersion, ReadOutcome, WriteCondition, WriteNonce, WriteOutcome,
};
pub use subset::{SubsetMember, SubsetPlan, SubsetPlanner, SubsetSettings};
pub use wake::WakeTimer;
