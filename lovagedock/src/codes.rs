//! Numbered result codes.
//!
//! The thousands digit states who has to act: 1 the caller, 2 nobody (retry later), 3 the operator
//! of an endpoint, 4 the operator of the configuration. `docs/CODES.md` lists all codes; a test
//! compares it with this table.

use serde::{Deserialize, Serialize};

/// Whether the work of a request was ever started on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// The work did not run and never will under this request id.
    No,
    /// The work ran, completely or partly.
    Yes,
    /// The work may have run; no remaining process has a record of the outcome.
    Unknown,
}

impl RanState {
    /// The value that callers see in a problem document.
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
        /// Result of a request or of an operator's command.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
        }

        impl ResultCode {
            /// All codes, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The stable number that callers and operators see.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The HTTP status of the code.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Whether a request that ends with this code has run.
            pub fn ran(self) -> RanState {
                match self { $(Self::$name => RanState::$ran,)* }
            }

            /// One-line description for users.
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
    /// The API key is missing or belongs to no organisation.
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
    /// The idempotency key was already used with another body.
    KeyReused = 1008, 422, No, "the idempotency key was used with a different request";
    /// The caller closed its connection before the end.
    CallerGone = 1009, 499, Unknown, "the caller went away";
    /// The organisation exceeds its own limit.
    OverLimit = 1011, 429, No, "the organisation is over its limit";
    /// The body did not arrive before the request's deadline or its route's timeout.
    BodyTimeout = 1012, 408, No, "the body did not arrive in time";

    /// No endpoint is predicted to finish the request before its deadline.
    NoCapacity = 2001, 503, No, "no endpoint can finish the request in time";
    /// The deadline of the request passed before it started.
    ExpiredWaiting = 2002, 504, No, "the deadline passed before the request started";
    /// The deadline of the request passed while it ran.
    ExpiredRunning = 2003, 504, Yes, "the deadline passed while the request ran";
    /// The endpoint is draining and accepts no new work.
    Draining = 2004, 503, No, "the endpoint is leaving";
    /// Shed under overload to protect higher tiers.
    Shed = 2005, 503, No, "refused to protect requests of higher priority";
    /// The store could not record the claim of a request with an idempotency key.
    ClaimUnavailable = 2006, 503, No, "the claim of the idempotency key could not be recorded";
    /// Another request with the same idempotency key is still running.
    KeyInProgress = 2007, 409, No, "a request with this idempotency key is running";
    /// The gateway is shutting down.
    GatewayStopping = 2008, 503, No, "the gateway is shutting down";
    /// Too many connections or streams.
    TooManyStreams = 2009, 503, No, "too many connections or streams";
    /// No usable configuration has reached the gateway yet.
    NotConfigured = 2010, 503, No, "no configuration is in force yet";
    /// The retry budget is exhausted and the attempt did not run.
    RetriesExhausted = 2011, 503, No, "no attempt was accepted and the retry budget is spent";
    /// The deadline of the request passed and it is not known whether it had started.
    ExpiredUnknown = 2012, 504, Unknown, "the deadline passed and it is not known whether the request ran";
    /// The gateway revoked the attempt before it started; it will never start.
    Revoked = 2013, 409, No, "the attempt was given up before it started";
    /// Engine processes ended while they ran requests with the same content. The request is not
    /// sent to further engines for now.
    Quarantined = 2014, 503, No, "engines end under this request, so it is not tried for now";
    /// The gateway stopped while an endpoint had the request.
    GatewayStopped = 2015, 502, Unknown, "the gateway stopped and it is not known whether the request ran";
    /// The gateway has no memory for the body of the request.
    BodyMemoryFull = 2016, 503, No, "the gateway has no memory for the body";

    /// The endpoint was lost while the request may have been running.
    EndpointLost = 3001, 502, Unknown, "the endpoint was lost while the request may have run";
    /// The engine failed the request after it started.
    EngineFailed = 3002, 502, Yes, "the engine failed while the request ran";
    /// The answer did not match its digest or length.
    AnswerDamaged = 3003, 502, Yes, "the answer was damaged on its way";
    /// A request with the same idempotency key ran before, but its answer was not recorded.
    AnswerLost = 3004, 502, Unknown, "the request may have run before and its answer was not recorded";
    /// No endpoint could be reached.
    EndpointUnreachable = 3005, 503, No, "no endpoint could be reached";
    /// A submit named another incarnation of the sidecar.
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
    /// An order carried an outdated fencing number.
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

    /// Whether the same request may be retried on another endpoint at once.
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
