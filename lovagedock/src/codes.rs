//! Numbered result codes.
//!
//! The thousands digit tells who has to act: 1 the caller, 2 nobody (try again later), 3 the
//! operator of an endpoint, 4 the operator of the configuration. `docs/CODES.md` lists all codes
//! and is checked against this table.

use serde::{Deserialize, Serialize};

/// Whether the work of a request was ever started on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// It did not run and never will under this request id.
    No,
    /// It ran, wholly or in part.
    Yes,
    /// It may have run; nobody who could tell is left.
    Unknown,
}

impl RanState {
    /// The word that callers see in a problem document.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $ran:ident, $title:literal;)*) => {
        /// What became of a request or an operator's command.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// Every code, in the order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The stable number that callers and operators see.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The HTTP status that goes with the code.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Whether a request that ends with this code has run.
            pub fn ran(self) -> RanState {
                match self { $(Self::$name => RanState::$ran,)* }
            }

            /// One line for people.
            pub fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)* }
            }
        }
    };
}

result_codes! {
    /// The whole answer was delivered.
    Complete = 1000, 200, Yes, "complete";
    /// The request is not well formed.
    MalformedRequest = 1001, 400, No, "the request is malformed";
    /// No API key, or one that no organisation has.
    Unauthenticated = 1002, 401, No, "the API key is missing or unknown";
    /// The organisation may not use this service.
    Unauthorised = 1003, 403, No, "the organisation may not use this service";
    /// No service has this path or model.
    UnknownService = 1004, 404, No, "no such service or model";
    /// The body is larger than the limit.
    BodyTooLarge = 1005, 413, No, "the body is too large";
    /// The prompt is longer than the model or the organisation's limit allows.
    PromptTooLong = 1006, 400, No, "the prompt is too long";
    /// The headers are larger than the limit.
    HeadersTooLarge = 1007, 431, No, "the headers are too large";
    /// The idempotency key was used before with another body.
    KeyReused = 1008, 422, No, "the idempotency key was used with a different request";
    /// The caller closed its connection before the end.
    CallerGone = 1009, 499, Unknown, "the caller went away";
    /// The organisation is over its own limit.
    OverLimit = 1011, 429, No, "the organisation is over its limit";

    /// No endpoint is predicted to finish the request within its time.
    NoCapacity = 2001, 503, No, "no endpoint can finish the request in time";
    /// The time of the request passed before it started.
    ExpiredWaiting = 2002, 504, No, "the deadline passed before the request started";
    /// The time of the request passed while it ran.
    ExpiredRunning = 2003, 504, Yes, "the deadline passed while the request ran";
    /// The endpoint is leaving and takes no new work.
    Draining = 2004, 503, No, "the endpoint is leaving";
    /// Shed under overload to protect higher tiers.
    Shed = 2005, 503, No, "refused to protect requests of higher priority";
    /// The store could not record the claim of a keyed request.
    ClaimUnavailable = 2006, 503, No, "the claim of the idempotency key could not be recorded";
    /// Another run of the same key has not ended yet.
    KeyInProgress = 2007, 409, No, "a request with this idempotency key is running";
    /// The gateway is shutting down.
    GatewayStopping = 2008, 503, No, "the gateway is shutting down";
    /// Too many connections or streams.
    TooManyStreams = 2009, 503, No, "too many connections or streams";
    /// No usable configuration has reached the gateway yet.
    NotConfigured = 2010, 503, No, "no configuration is in force yet";
    /// The retry budget is spent; the attempt did not run.
    RetriesExhausted = 2011, 503, No, "no attempt was accepted and the retry budget is spent";
    /// The time of the request passed and nobody told whether it had started.
    ExpiredUnknown = 2012, 504, Unknown, "the deadline passed and it is not known whether the request ran";
    /// The gateway gave the attempt up before it started; it never will.
    Revoked = 2013, 409, No, "the attempt was given up before it started";
    /// Engines ended under requests that ask the same; it is not sent to more of them for now.
    Quarantined = 2014, 503, No, "engines end under this request, so it is not tried for now";
    /// The gateway stopped while the request was at an endpoint.
    GatewayStopped = 2015, 502, Unknown, "the gateway stopped and it is not known whether the request ran";

    /// The endpoint was lost while the request may have been running.
    EndpointLost = 3001, 502, Unknown, "the endpoint was lost while the request may have run";
    /// The engine failed the request after it started.
    EngineFailed = 3002, 502, Yes, "the engine failed while the request ran";
    /// The answer did not match its digest or length.
    AnswerDamaged = 3003, 502, Yes, "the answer was damaged on its way";
    /// The keyed request ran before, but its answer was not recorded.
    AnswerLost = 3004, 502, Unknown, "the request may have run before and its answer was not recorded";
    /// No endpoint could be reached.
    EndpointUnreachable = 3005, 503, No, "no endpoint could be reached";
    /// A submit named another life of the sidecar.
    StaleIncarnation = 3006, 503, No, "the sidecar has restarted";
    /// The engine refused the request before starting it.
    EngineRefused = 3007, 503, No, "the engine refused the request";

    /// The configuration file has errors.
    ConfigInvalid = 4001, 422, No, "the configuration has errors";
    /// Another operator's file was accepted first.
    ConfigConflict = 4002, 409, No, "another configuration was accepted first";
    /// It is not known whether the file was accepted.
    ConfigUnknown = 4003, 504, Unknown, "it is not known whether the configuration was accepted";
    /// The platform's store could not be reached.
    StoreUnavailable = 4004, 503, No, "the platform's store is unavailable";
    /// An order carried an old fencing number.
    FenceStale = 4005, 409, No, "the order carries an old fencing number";
    /// The settings file has errors.
    SettingsInvalid = 4006, 400, No, "the settings have errors";
}

impl ResultCode {
    /// Finds a code by its number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }

    /// Whether the same request may be tried on another endpoint at once.
    pub fn is_retryable_elsewhere(self) -> bool {
        matches!(
            self,
            Self::NoCapacity
                | Self::Draining
                | Self::StaleIncarnation
                | Self::EngineRefused
                | Self::EndpointUnreachable
                | Self::TooManyStreams
        )
    }
}
