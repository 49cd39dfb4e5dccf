//! Injects the faults of a timeline into a running fleet and records drains and configuration
//! changes.

use std::{fmt::Debug, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::Request;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use lovagedock::{EndpointId, Generation, Timestamp};
use lovagedock_daemon::{DaemonContext, ProcessClock};
use lovagedock_sidecar::Sidecar;
use slog::Logger;

use super::{
    faults::{FaultPlan, FaultStep},
    run::DemoError,
};
use crate::{
    FaultCommand, FaultKind,
    engine::EngineFault,
    fleet::{EndpointStandin, LocalFleet, RunningEndpoint},
    load::{ConfigChange, DrainRecord, DrainTarget, ExcludedTarget, FleetJournal},
};

const LATE_RESPONSE_DELAY_MS: u64 = 500;

/// Executes a timeline of faults.
pub(crate) struct FaultInjector<'a> {
    fleet: &'a mut LocalFleet,
    clock: ProcessClock,
    log: Logger,
    generation: Generation,
    journal: FleetJournal,
}

/// Start or end of a fault on the timeline.
struct TimelineEntry<'a> {
    at: Duration,
    step: &'a FaultStep,
    is_start: bool,
}

impl<'a> FaultInjector<'a> {
    /// Creates an injector; `generation` is the generation of the configuration in force.
    pub(crate) fn new(
        fleet: &'a mut LocalFleet,
        generation: Generation,
        clock: ProcessClock,
        log: Logger,
    ) -> Self {
        Self {
            fleet,
            clock,
            log,
            generation,
            journal: FleetJournal::default(),
        }
    }

    /// Starts and ends all faults at their times after `start`.
    pub(crate) async fn run(
        mut self,
        plan: &FaultPlan,
        start: Timestamp,
    ) -> Result<FleetJournal, Report<DemoError>> {
        for entry in timeline(plan) {
            let at = start + entry.at;
            tokio::time::sleep(at.saturating_sub(self.clock.now())).await;
            match entry.is_start {
                true => self.start_fault(entry.step).await?,
                false => self.end_fault(entry.step).await?,
            }
        }
        Ok(self.journal)
    }

    async fn start_fault(&mut self, step: &FaultStep) -> Result<(), Report<DemoError>> {
        match step {
            FaultStep::EngineCrashes(id) => self.set_engine_fault(id, EngineFault::Crash),
            FaultStep::EngineHangs(id) => self.set_engine_fault(id, EngineFault::Hang),
            FaultStep::EngineLate(id) => self.set_engine_fault(
                id,
                EngineFault::Late {
                    delay_ms: LATE_RESPONSE_DELAY_MS,
                },
            ),
            FaultStep::EngineSwapsResponses(id) => {
                self.set_engine_fault(id, EngineFault::SwapsResponses)
            }
            FaultStep::SidecarStops(id) => {
                self.record_drain_start(DrainTarget::Endpoint(id.clone()));
                self.endpoint(id)?.daemon.shutdown.trigger();
                Ok(())
            }
            FaultStep::EndpointDrains(id) => {
                self.record_drain_start(DrainTarget::Endpoint(id.clone()));
                self.post_to_sidecar(id, "/drain").await
            }
            FaultStep::EndpointRemoved(id) => {
                self.exclude(ExcludedTarget::Endpoint(id.clone())).await
            }
            FaultStep::OrganisationRemoved(id) => {
                self.exclude(ExcludedTarget::Organisation(id.clone())).await
            }
            FaultStep::GatewayStops(id) => {
                self.record_drain_start(DrainTarget::Gateway(id.to_string()));
                let mut gateways = self.fleet.gateways.iter();
                let gateway = gateways.find(|gateway| gateway.id == *id);
                gateway
                    .ok_or_else(|| unknown_target(id))?
                    .daemon
                    .shutdown
                    .trigger();
                Ok(())
            }
            FaultStep::Platform(kind) => {
                self.fleet.platform.set_fault(FaultCommand::new(*kind));
                Ok(())
            }
        }
    }

    async fn end_fault(&mut self, step: &FaultStep) -> Result<(), Report<DemoError>> {
        match step {
            FaultStep::EngineCrashes(id)
            | FaultStep::EngineHangs(id)
            | FaultStep::EngineLate(id)
            | FaultStep::EngineSwapsResponses(id) => self.set_engine_fault(id, EngineFault::None),
            FaultStep::SidecarStops(id) => {
                self.restart_sidecar(id).await?;
                self.record_drain_end(&DrainTarget::Endpoint(id.clone()));
                Ok(())
            }
            FaultStep::EndpointDrains(id) => {
                self.record_drain_end(&DrainTarget::Endpoint(id.clone()));
                self.post_to_sidecar(id, "/undrain").await
            }
            FaultStep::EndpointRemoved(id) => {
                self.revert_exclusion(&ExcludedTarget::Endpoint(id.clone()))
                    .await
            }
            FaultStep::OrganisationRemoved(id) => {
                self.revert_exclusion(&ExcludedTarget::Organisation(id.clone()))
                    .await
            }
            FaultStep::GatewayStops(_) => Ok(()),
            FaultStep::Platform(_) => {
                let command = FaultCommand::new(FaultKind::None);
                self.fleet.platform.set_fault(command);
                Ok(())
            }
        }
    }

    fn endpoint(&mut self, id: &EndpointId) -> Result<&mut RunningEndpoint, Report<DemoError>> {
        let mut endpoints = self.fleet.endpoints.iter_mut();
        let endpoint = endpoints.find(|endpoint| endpoint.id == *id);
        endpoint.ok_or_else(|| unknown_target(id))
    }

    fn set_engine_fault(
        &mut self,
        id: &EndpointId,
        fault: EngineFault,
    ) -> Result<(), Report<DemoError>> {
        match &self.endpoint(id)?.standin {
            EndpointStandin::Engine(engine) => {
                engine.handle.set_fault(fault);
                Ok(())
            }
            EndpointStandin::Service(_) => Err(unknown_target(id)),
        }
    }

    async fn restart_sidecar(&mut self, id: &EndpointId) -> Result<(), Report<DemoError>> {
        let log = self.log.clone();
        let endpoint = self.endpoint(id)?;
        if let Some(sidecar) = endpoint.sidecar.take() {
            sidecar.wait().await.change_context(DemoError::Fault)?;
        }
        endpoint.daemon = DaemonContext::new(log);
        let started = Sidecar::start(endpoint.settings.clone(), endpoint.daemon.clone());
        endpoint.sidecar = Some(started.await.change_context(DemoError::Fault)?);
        Ok(())
    }

    async fn post_to_sidecar(
        &mut self,
        id: &EndpointId,
        path: &str,
    ) -> Result<(), Report<DemoError>> {
        let endpoint = self.endpoint(id)?;
        let Some(sidecar) = &endpoint.sidecar else {
            return Err(unknown_target(id));
        };
        let request = Request::post(format!("http://{}{path}", sidecar.admin_address()))
            .body(Full::<Bytes>::default())
            .change_context(DemoError::Fault)?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client
            .request(request)
            .await
            .change_context(DemoError::Fault)?;
        match response.status().is_success() {
            true => Ok(()),
            false => Err(Report::new(DemoError::Fault).attach(response.status().to_string())),
        }
    }

    async fn exclude(&mut self, excluded: ExcludedTarget) -> Result<(), Report<DemoError>> {
        self.journal.changes.push(ConfigChange {
            accepted_at: Timestamp::MAX,
            reverted_at: None,
            excluded,
        });
        self.apply().await?;
        let now = self.clock.now();
        if let Some(change) = self.journal.changes.last_mut() {
            change.accepted_at = now;
        }
        Ok(())
    }

    async fn revert_exclusion(
        &mut self,
        excluded: &ExcludedTarget,
    ) -> Result<(), Report<DemoError>> {
        // A gateway may use the new configuration before `apply` returns, so the clock is read
        // before the call.
        let now = self.clock.now();
        let mut changes = self.journal.changes.iter_mut();
        if let Some(change) = changes.find(|it| it.excluded == *excluded) {
            change.reverted_at = Some(now);
        }
        self.apply().await
    }

    /// Applies the deployment's configuration without the targets that are excluded now.
    async fn apply(&mut self) -> Result<(), Report<DemoError>> {
        let full_config = self.fleet.config.clone();
        let is_excluded = |target: &ExcludedTarget| {
            let mut changes = self.journal.changes.iter();
            changes.any(|it| it.reverted_at.is_none() && it.excluded == *target)
        };
        let mut config = full_config.clone();
        for pool in &mut config.pools {
            pool.endpoints
                .retain(|spec| !is_excluded(&ExcludedTarget::Endpoint(spec.id.clone())));
        }
        config
            .organisations
            .retain(|spec| !is_excluded(&ExcludedTarget::Organisation(spec.id.clone())));
        self.fleet.config = config;
        let applied = self.fleet.apply(self.generation).await;
        self.fleet.config = full_config;
        self.generation = applied.change_context(DemoError::Fault)?;
        Ok(())
    }

    fn record_drain_start(&mut self, target: DrainTarget) {
        self.journal.drains.push(DrainRecord {
            target,
            started_at: self.clock.now(),
            ended_at: None,
        });
    }

    fn record_drain_end(&mut self, target: &DrainTarget) {
        let now = self.clock.now();
        let mut drains = self.journal.drains.iter_mut().rev();
        if let Some(drain) = drains.find(|drain| drain.target == *target) {
            drain.ended_at = Some(now);
        }
    }
}

fn timeline(plan: &FaultPlan) -> Vec<TimelineEntry<'_>> {
    let mut entries = Vec::new();
    for planned in &plan.faults {
        entries.push(TimelineEntry {
            at: planned.starts_at(),
            step: &planned.fault,
            is_start: true,
        });
        entries.extend(planned.ends_at().map(|at| TimelineEntry {
            at,
            step: &planned.fault,
            is_start: false,
        }));
    }
    entries.sort_by_key(|entry| entry.at);
    entries
}

fn unknown_target(name: impl Debug) -> Report<DemoError> {
    Report::new(DemoError::Fault).attach(format!("the deployment has no suitable target {name:?}"))
}
