//! Decision logic of a gateway that sends requests to endpoints directly, without a sidecar.
//!
//! [`TrafficConfig`] is the configuration that operators declare. [`EndpointTable`] holds the known
//! endpoints, and [`WorkLedger`] the work that all gateways have placed on them. [`DirectPlacer`]
//! chooses endpoints by the [`EngineProfile`]. [`WaitingQueue`] decides which requests may wait,
//! and [`DirectMachine`] what follows each attempt. [`LengthShares`] tells which sizes of long prompts
//! are started too seldom, and [`TeamBookings`] how many endpoints are kept for them.
//! [`SuspectLedger`] finds requests that crash the engines that run them, and [`PartLedger`] parts of
//! prompts that do. [`ConnectionAdmission`] limits what a gateway reads, [`ConnectionTable`]
//! how many connections it holds, and [`BodyBudget`] the memory for request bodies. [`EndpointListing`] decides
//! which endpoint list is valid while the store is unreachable or restored from an older copy,
//! [`DomainDrains`] to which failure domains nothing is sent, and [`ColdEndpoints`] which endpoints
//! tolerate only a low rate. [`HelperSpeeds`] finds engines that are slow as helpers. [`PoolFlow`]
//! adds up arrivals and starts of all gateways, [`ReturnSchedule`] tells refused callers when to
//! return, [`OrganisationShares`] which organisations exceed their share of an overloaded service,
//! and [`SlotClaim`] when a slot is claimed before it is used. [`DomainRelays`] decides how messages
//! reach the other gateways of a large fleet. None of these types reads a clock or performs input
//! or output.

mod admission;
mod backoff;
mod body_budget;
mod capacity_window;
mod choice;
mod cold_endpoints;
mod config;
mod connection_table;
mod decimal;
mod domain_drains;
mod domain_relays;
mod drain_preview;
mod endpoints;
mod engine;
mod events;
mod helper_speeds;
mod lane_slots;
mod leaving_queue;
mod ledger;
mod ledger_peers;
mod length_shares;
mod listing;
mod listing_log;
mod load;
mod load_updates;
mod machine;
mod member;
mod organisation_shares;
mod output_budget;
mod part_ledger;
mod part_record;
mod part_update;
mod pause;
mod peer_liveness;
mod peer_sequences;
mod placer;
mod pool_flow;
mod process;
mod quarantine_release;
mod rate;
mod rate_limit;
mod recent;
mod record;
mod refusals;
mod release_log;
mod resend_queue;
mod retries;
mod return_schedule;
mod share_lane;
mod short_lane;
mod slot_claims;
mod slowdown;
mod stopping;
mod suspect_queue;
mod suspect_update;
mod suspects;
mod team_baseline;
mod team_bookings;
mod team_evidence;
mod team_reports;
mod waiting_queue;
mod watcher_selection;

pub use admission::ConnectionAdmission;
pub use backoff::{BackoffEvent, EndpointBackoffs, RetryAfter};
pub use body_budget::{BodyBudget, BodyGrowth, BodyId, SMALL_BODY_BYTES};
pub use choice::{DirectChoice, DirectRequest, HelperPart, PlacerCandidate};
pub use cold_endpoints::{ColdAllowance, ColdEndpoints, ColdProfile};
pub use config::{
    CallerBounds, RouteMatch, RouteMode, RouteRule, RouteTarget, ServiceProfile, TrafficConfig,
};
pub use connection_table::{ConnectionId, ConnectionPhase, ConnectionTable, ConnectionVerdict};
pub use domain_drains::{DomainDrains, DrainChange, DrainSnapshot};
pub use domain_relays::{
    DomainRelays, HostCapacity, MAX_DIRECT_GATEWAYS, RelayCandidate, SendPlan,
};
pub use drain_preview::{
    DomainState, DrainPreview, DrainVerdict, EndpointCount, PreviewDemand, PreviewEndpoint,
    ServicePreview,
};
pub use endpoints::{DirectEndpoint, EndpointState, EndpointTable, EntryChange};
pub use engine::EngineProfile;
pub use events::{EventSplitter, StreamEvent};
pub use helper_speeds::{HelperChange, HelperSpeed, HelperSpeeds};
pub use leaving_queue::LeavingQueue;
pub use ledger::{RELAXED_GAP, WorkLedger};
pub use length_shares::{LengthBand, LengthOutcome, LengthShares, RouteTag, route_tag};
pub use listing::{EndpointListing, ListingVersion, StorePosition};
pub use listing_log::{EndpointChange, ListingDelta, ListingLog};
pub use load::{CombinedLoad, PeerLoad, PlacedWork, WorkKey, WriterGroup, WriterTable};
pub use load_updates::LoadUpdates;
pub use machine::{AttemptEnd, DirectMachine, DirectStep};
pub use organisation_shares::{
    LaneShares, OrganisationDemand, OrganisationShares, OrganisationTag, ShareDecision,
    ShareRequest, ShareUpdate, organisation_tag,
};
pub use output_budget::{MAX_READ_BYTES, OutputBudget, OutputId, OutputPhase, SlowCaller};
pub use part_ledger::{PartLedger, PartVerdict};
pub use part_update::{PartEnd, PartReport, PartUpdate, PromptPart, PromptParts, format_part};
pub use pause::PauseDetector;
pub use peer_liveness::PeerLiveness;
pub use peer_sequences::{MessageOrder, PeerSequences};
pub use placer::{DirectPlacer, PoolSlots, isolate_suspects};
pub use pool_flow::{FlowKey, FlowLane, FlowTotals, FlowUpdate, PoolFlow, ServiceTag, service_tag};
pub use process::EndpointProcess;
pub use quarantine_release::{QuarantineRelease, format_release, parse_release};
pub use rate_limit::{
    AdvertisedLimit, GatewayCount, RateLimitEvent, RateLimits, RateUpdate, RateVerdict, RequestRate,
};
pub use refusals::{RefusalLog, RequestFingerprint, format_fingerprint};
pub use release_log::ReleaseNotices;
pub use retries::{RetryShare, RetryShareSettings};
pub use return_schedule::{
    RefusedRequest, ReturnDecision, ReturnOutcome, ReturnSchedule, ReturnUpdate,
};
pub use short_lane::short_lane_size;
pub use slot_claims::{ClaimVerdict, SlotClaim, SlotContention};
pub use slowdown::SlowdownTracker;
pub use stopping::{RequestOutlook, StopPlan};
pub use suspect_queue::SuspectQueue;
pub use suspect_update::{EndEvidence, ProcessEnd, ProcessTag, SuspectReport, SuspectUpdate};
pub use suspects::SuspectLedger;
pub use team_baseline::TeamPrediction;
pub use team_bookings::{
    BookedTeam, BookingKey, TeamBooking, TeamBookings, max_kept_endpoints, may_book_team,
};
pub use waiting_queue::{QueueDecision, QueueKind, QueueSettings, WaitingQueue};
pub use watcher_selection::{PeerContact, WatchRole, WatcherSelection};
