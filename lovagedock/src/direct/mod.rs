//! Decisions of a gateway that sends requests to endpoints itself, with no sidecar between.
//!
//! [`TrafficConfig`] is what operators want, [`EndpointTable`] what is known of endpoints,
//! [`WorkLedger`] what all gateways have placed on them. [`DirectPlacer`] chooses endpoints by the
//! [`EngineProfile`], [`WaitingLine`] says who may wait, and [`DirectMachine`] what follows each
//! attempt; [`SuspectLedger`] finds requests that end the engines that run them. [`EndpointListing`] says
//! which list of endpoints holds while the store loses and regains its history. None of them reads a
//! clock or does input or output.

mod backoff;
mod choice;
mod config;
mod decimal;
mod duty;
mod endpoints;
mod engine;
mod events;
mod hearing;
mod lane;
mod leaving_news;
mod ledger;
mod ledger_peers;
mod life;
mod listing;
mod load;
mod machine;
mod member;
mod pace;
mod placer;
mod rate;
mod rate_limit;
mod recent;
mod record;
mod retries;
mod returns;
mod sight;
mod stoppage;
mod stopping;
mod suspect_news;
mod suspect_telling;
mod suspects;
mod telling;
mod waiting;

pub use backoff::{BackoffEvent, EndpointBackoffs, RetryAfter};
pub use choice::{DirectChoice, DirectRequest, HelperPart, PlacerCandidate};
pub use config::{
    CallerBounds, RouteMatch, RouteMode, RouteRule, RouteTarget, ServiceProfile, TrafficConfig,
};
pub use duty::{PeerContact, WatchDuty, WatchRole};
pub use endpoints::{DirectEndpoint, EndpointState, EndpointTable, EntryNews};
pub use engine::EngineProfile;
pub use events::{EventSplitter, StreamEvent};
pub use hearing::{MessageNews, PeerHearing};
pub use lane::short_lane_size;
pub use leaving_news::LeavingNews;
pub use ledger::{MISSED_GAP, WorkLedger};
pub use life::EndpointLife;
pub use listing::{EndpointListing, ListingVersion, StorePosition};
pub use load::{CombinedLoad, PeerLoad, PlacedWork, WorkKey, WriterGroup, WriterTable};
pub use machine::{AttemptEnd, DirectMachine, DirectStep};
pub use pace::PaceTracker;
pub use placer::{DirectPlacer, keep_suspects_apart};
pub use rate_limit::{
    AdvertisedLimit, GatewayCount, RateLimitEvent, RateLimits, RateNews, RateVerdict, RequestRate,
};
pub use retries::{RetryShare, RetryShareSettings};
pub use returns::{RefusalLog, RequestFingerprint, format_fingerprint};
pub use sight::PeerSight;
pub use stoppage::StoppageWatch;
pub use stopping::{RequestOutlook, StopPlan};
pub use suspect_news::{EndEvidence, ProcessEnd, ProcessTag, SuspectNews, SuspectReport};
pub use suspect_telling::SuspectTelling;
pub use suspects::SuspectLedger;
pub use telling::LoadNews;
pub use waiting::{LineDecision, LineKind, LineSettings, WaitingLine};
