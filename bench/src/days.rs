//! What ordinary and bad days cause at the size to design for, worked out from the slopes.

use crate::{
    budget::{BEATS, MeasuredSlopes, REQUEST_SECONDS, SESSIONS_PER_ENDPOINT},
    scale::DESIGN_SCALE,
    slope::short,
};

/// Hosts that fail, and hosts that are restarted or replaced, a day.
const FAILURES: f64 = 150.0;
const RESTARTS: f64 = 870.0;
/// Hosts of a rack; the plan does not say.
const RACK_HOSTS: f64 = 40.0;
const DOMAINS: f64 = 16.0;
/// Time until a silent session is given up, as gateways' settings have it by default, in seconds.
const SILENCE_SECONDS: f64 = 2.0;
/// First-token time of the plan, in seconds: a request that has sent nothing yet runs elsewhere.
const FIRST_TOKEN_SECONDS: f64 = 0.52;
/// Reads of a gateway that starts: root and host list; chunks come from peers.
const START_READS: f64 = 2.0;
/// Connection attempts a second to a sidecar that is gone, as gateways' settings have it.
const RECONNECTS: f64 = 4.0;

/// What one kind of failure takes away.
struct HostLoss {
    engines: f64,
    gateways: f64,
}

impl HostLoss {
    /// Hosts as they are mixed in the fleet.
    fn mixed(hosts: f64) -> Self {
        let scale = DESIGN_SCALE;
        let all = scale.endpoints + scale.gateways;
        Self {
            engines: hosts * scale.endpoints / all,
            gateways: hosts * scale.gateways / all,
        }
    }

    fn domain() -> Self {
        Self {
            engines: DESIGN_SCALE.endpoints / DOMAINS,
            gateways: DESIGN_SCALE.gateways / DOMAINS,
        }
    }

    /// Requests in flight on the engines.
    fn on_engines(&self) -> f64 {
        self.engines * DESIGN_SCALE.requests / DESIGN_SCALE.endpoints * REQUEST_SECONDS
    }

    /// Requests in flight through the gateways.
    fn through_gateways(&self) -> f64 {
        self.gateways * DESIGN_SCALE.requests / DESIGN_SCALE.gateways * REQUEST_SECONDS
    }

    /// Sessions that break.
    fn sessions(&self) -> f64 {
        let per_gateway = SESSIONS_PER_ENDPOINT * DESIGN_SCALE.endpoints / DESIGN_SCALE.gateways;
        self.engines * SESSIONS_PER_ENDPOINT + self.gateways * per_gateway
    }
}

/// The table, as Markdown.
pub(crate) fn table(slopes: &MeasuredSlopes) -> String {
    let rows = [
        loss_row(
            slopes,
            "one engine's host fails",
            &HostLoss {
                engines: 1.0,
                gateways: 0.0,
            },
        ),
        loss_row(
            slopes,
            "one gateway's host fails",
            &HostLoss {
                engines: 0.0,
                gateways: 1.0,
            },
        ),
        loss_row(
            slopes,
            "150 host failures of a day",
            &HostLoss::mixed(FAILURES),
        ),
        restart_row(slopes),
        loss_row(slopes, "a rack of 40 hosts", &HostLoss::mixed(RACK_HOSTS)),
        loss_row(slopes, "a failure domain", &HostLoss::domain()),
    ];
    format!(
        "| event | sessions that break | bytes to open them again | connection attempts until \
         the configuration names others | calls to the store when they return | answers that end as \
         failed | requests that run elsewhere | callers that lose their connection | found after \
         |\n|---|---|---|---|---|---|---|---|---|\n{}",
        rows.concat()
    )
}

fn loss_row(slopes: &MeasuredSlopes, name: &str, loss: &HostLoss) -> String {
    let sessions = loss.sessions();
    let retried = loss.on_engines() * FIRST_TOKEN_SECONDS / REQUEST_SECONDS;
    format!(
        "| {name} | {} | {} kB | {}/s | {} | {} | {} | {} | {SILENCE_SECONDS} s |\n",
        short(sessions),
        short(sessions * slopes.wire.open_bytes.fit().slope / 1e3),
        short(loss.engines * SESSIONS_PER_ENDPOINT * RECONNECTS),
        short(loss.gateways * START_READS),
        short(loss.on_engines() - retried),
        short(retried),
        short(loss.through_gateways()),
    )
}

/// A restart drains first: what runs ends, and nothing new comes.
fn restart_row(slopes: &MeasuredSlopes) -> String {
    let loss = HostLoss::mixed(RESTARTS);
    let sessions = loss.sessions();
    format!(
        "| 870 restarts of a day | {} | {} kB | none, the session is closed and comes back | {} | 0 \
         | 0 | 0 | next heartbeat, {} s |\n",
        short(sessions),
        short(sessions * slopes.wire.open_bytes.fit().slope / 1e3),
        short(loss.gateways * START_READS),
        1.0 / BEATS,
    )
}
