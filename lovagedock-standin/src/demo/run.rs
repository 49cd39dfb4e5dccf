//! One run of the demo.

use std::{
    fmt::{self, Display, Formatter},
    sync::Arc,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use lovagedock::FleetConfig;
use lovagedock_daemon::ProcessClock;
use slog::Logger;
use tokio::time;

use super::{
    deployment::Deployment, faults::FaultPlan, injector::FaultInjector, overhead::ControlSample,
};
use crate::{
    fleet::{EndpointStandin, FleetPlan, LocalFleet},
    load::{
        CallerClient, ClockOrigin, ControlOverhead, ExecutionJournal, GatewayTarget, LoadReport,
        LoadRunner, ReportMetadata, RunProgress, ViolationDetail, ViolationLimits,
        count_violations, list_violations, long_start, plan_calls,
    },
};

/// Model time of the engines per unit of real time, chosen so that a million tokens fit into a run.
pub const TIME_SCALE: f64 = 8.0;
/// Time for which the control-plane overhead of the idle fleet is measured.
const IDLE_MEASUREMENT_TIME: Duration = Duration::from_secs(2);
/// Time after the last response in which engines may still free the memory of cancelled requests.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Generation of a fleet's first configuration.
const FIRST_GENERATION: u64 = 1;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Deployment to run.
    pub deployment: Deployment,
    /// Placement policy; `None` selects the policy of the deployment.
    pub policy: Option<String>,
    /// Seed of the plan.
    pub seed: u64,
    /// Duration of the plan.
    pub duration: Duration,
    /// Faults to inject.
    pub faults: FaultPlan,
    /// Logger of the daemons.
    pub log: Logger,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct DemoOutcome {
    /// Report of the run.
    pub report: LoadReport,
    /// Calls that are counted as violations.
    pub details: Vec<ViolationDetail>,
}

/// Reason why a run failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemoError {
    /// The deployment's files have errors.
    Deployment,
    /// The fleet could not start.
    Fleet,
    /// A fault could not be injected or ended.
    Fault,
    /// The callers could not start.
    Callers,
}

impl Display for DemoError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Deployment => "the deployment has errors",
            Self::Fleet => "the fleet could not start",
            Self::Fault => "a fault could not be injected or ended",
            Self::Callers => "the callers could not start",
        })
    }
}

impl std::error::Error for DemoError {}

/// Starts the deployment, sends its mix of calls and computes the report. `on_start` gets the
/// progress counters.
pub async fn run_demo(
    options: &DemoOptions,
    on_start: impl FnOnce(Arc<RunProgress>),
) -> Result<DemoOutcome, Report<DemoError>> {
    let config = options
        .deployment
        .config(options.policy.as_deref())
        .change_context(DemoError::Deployment)?;
    let mix = options
        .deployment
        .mix()
        .change_context(DemoError::Deployment)?;
    let config = with_scaled_limits(config, TIME_SCALE);
    let policy = config.placement.policy.clone();
    let plan = FleetPlan::new(config, options.log.clone()).with_time_scale(TIME_SCALE);
    // Created before the stand-ins, so that none of their times is before the zero of the clock.
    let clock = ProcessClock::new();
    let mut fleet = LocalFleet::start(plan)
        .await
        .change_context(DemoError::Fleet)?;
    let control = measure_control_overhead(&fleet, &clock).await;

    let model_time = options.duration.mul_f64(TIME_SCALE);
    let calls = plan_calls(&mix, options.seed, model_time)
        .into_iter()
        .map(|call| call.with_time_scale(TIME_SCALE))
        .collect();
    let client =
        CallerClient::new(gateway_targets(&fleet), clock).change_context(DemoError::Callers)?;
    let runner = LoadRunner::new(mix.clone(), client, clock);
    on_start(runner.progress());
    let start = clock.now();
    let injector = FaultInjector::new(&mut fleet, FIRST_GENERATION, clock, options.log.clone());
    let (callers, faults) = tokio::join!(
        runner.run(calls, start),
        injector.run(&options.faults, start)
    );
    let fleet_journal = faults?;
    time::sleep(SETTLE_TIME).await;

    let executions = collect_journals(&fleet, &clock);
    fleet.stop().await;
    let limits = ViolationLimits::default();
    let violations = count_violations(&callers, &executions, &fleet_journal, &limits);
    let metadata = ReportMetadata {
        seed: options.seed,
        policy,
        mix: mix.name.clone(),
        duration: options.duration,
        long_start: start + long_start(&mix, options.duration),
        time_scale: TIME_SCALE,
    };
    Ok(DemoOutcome {
        report: LoadReport::new(&metadata, &callers, violations, Some(control)),
        details: list_violations(&callers, &executions, &fleet_journal, &limits),
    })
}

async fn measure_control_overhead(fleet: &LocalFleet, clock: &ProcessClock) -> ControlOverhead {
    let before = ControlSample::measure(clock.now(), fleet.platform.counters());
    time::sleep(IDLE_MEASUREMENT_TIME).await;
    let after = ControlSample::measure(clock.now(), fleet.platform.counters());
    before.overhead_until(&after, fleet.endpoints.len() + fleet.gateways.len())
}

fn gateway_targets(fleet: &LocalFleet) -> Vec<GatewayTarget> {
    fleet
        .gateways
        .iter()
        .map(|entry| GatewayTarget {
            name: entry.id.to_string(),
            address: entry.gateway.callers_address(),
        })
        .collect()
}

fn collect_journals(fleet: &LocalFleet, clock: &ProcessClock) -> ExecutionJournal {
    let mut executions = ExecutionJournal::default();
    for endpoint in &fleet.endpoints {
        match &endpoint.standin {
            EndpointStandin::Engine(engine) => {
                let local_time = engine.handle.model_time().div_f64(TIME_SCALE);
                executions.add_engine(&endpoint.id, engine, origin(clock, local_time, TIME_SCALE));
            }
            EndpointStandin::Service(service) => {
                let local_time = service.uptime();
                executions.add_service(&endpoint.id, service, origin(clock, local_time, 1.0));
            }
        }
    }
    executions
}

/// Multiplies rate limits by the time scale, because calls arrive faster by this factor.
fn with_scaled_limits(mut config: FleetConfig, time_scale: f64) -> FleetConfig {
    for organisation in &mut config.organisations {
        let limits = &mut organisation.limits;
        limits.requests_per_second = (f64::from(limits.requests_per_second) * time_scale) as u32;
        limits.tokens_per_minute = (limits.tokens_per_minute as f64 * time_scale) as u64;
    }
    config
}

fn origin(clock: &ProcessClock, uptime: Duration, time_scale: f64) -> ClockOrigin {
    ClockOrigin {
        started_at: clock.now().saturating_sub(uptime),
        time_scale,
    }
}
