//! Brings the faults of a timeline about in a running fleet, and journals what was orderly.

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
    FaultKind, FaultOrder,
    engine::EngineFault,
    fleet::{EndpointStandin, LocalFleet, RunningEndpoint},
    load::{ConfigChange, FleetJournal, LeaveRecord, LeavingParty, RuledOut},
};

const LATE_MS: u64 = 500;

/// Carries a timeline out.
pub(crate) struct FaultInjector<'a> {
    fleet: &'a mut LocalFleet,
    clock: ProcessClock,
    log: Logger,
    generation: Generation,
    journal: FleetJournal,
}

/// One end of a fault on the timeline.
struct TimelineEntry<'a> {
    at: Duration,
    step: &'a FaultStep,
    begins: bool,
}

impl<'a> FaultInjector<'a> {
    /// `generation` is that of the configuration in force.
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

    /// Carries out every fault at its time after `start`.
    pub(crate) async fn run(
        mut self,
        plan: &FaultPlan,
        start: Timestamp,
    ) -> Result<FleetJournal, Report<DemoError>> {
        for entry in timeline(plan) {
            let at = start + entry.at;
            tokio::time::sleep(at.saturating_sub(self.clock.now())).await;
            match entry.begins {
                true => self.begin(entry.step).await?,
                false => self.end(entry.step).await?,
            }
        }
        Ok(self.journal)
    }

    async fn begin(&mut self, step: &FaultStep) -> Result<(), Report<DemoError>> {
        match step {
            FaultStep::EngineDies(id) => self.set_engine(id, EngineFault::Die),
            FaultStep::EngineHangs(id) => self.set_engine(id, EngineFault::Hang),
            FaultStep::EngineLate(id) => {
                self.set_engine(id, EngineFault::Late { delay_ms: LATE_MS })
            }
            FaultStep::EngineCrosses(id) => self.set_engine(id, EngineFault::Crossed),
            FaultStep::SidecarStops(id) => {
                self.leaves(LeavingParty::Endpoint(id.clone()));
                self.endpoint(id)?.daemon.shutdown.trigger();
                Ok(())
            }
            FaultStep::EndpointDrains(id) => {
                self.leaves(LeavingParty::Endpoint(id.clone()));
                self.order_sidecar(id, "/drain").await
            }
            FaultStep::EndpointRemoved(id) => self.change(RuledOut::Endpoint(id.clone())).await,
            FaultStep::OrganisationRemoved(id) => {
                self.change(RuledOut::Organisation(id.clone())).await
            }
            FaultStep::GatewayStops(id) => {
                self.leaves(LeavingParty::Gateway(id.to_string()));
                let mut gateways = self.fleet.gateways.iter();
                let gateway = gateways.find(|gateway| gateway.id == *id);
                gateway
                    .ok_or_else(|| unknown(id))?
                    .daemon
                    .shutdown
                    .trigger();
                Ok(())
            }
            FaultStep::Platform(kind) => {
                self.fleet.platform.set_fault(FaultOrder::new(*kind));
                Ok(())
            }
        }
    }

    async fn end(&mut self, step: &FaultStep) -> Result<(), Report<DemoError>> {
        match step {
            FaultStep::EngineDies(id)
            | FaultStep::EngineHangs(id)
            | FaultStep::EngineLate(id)
            | FaultStep::EngineCrosses(id) => self.set_engine(id, EngineFault::None),
            FaultStep::SidecarStops(id) => {
                self.restart_sidecar(id).await?;
                self.is_back(&LeavingParty::Endpoint(id.clone()));
                Ok(())
            }
            FaultStep::EndpointDrains(id) => {
                self.is_back(&LeavingParty::Endpoint(id.clone()));
                self.order_sidecar(id, "/undrain").await
            }
            FaultStep::EndpointRemoved(id) => self.lift(&RuledOut::Endpoint(id.clone())).await,
            FaultStep::OrganisationRemoved(id) => {
                self.lift(&RuledOut::Organisation(id.clone())).await
            }
            FaultStep::GatewayStops(_) => Ok(()),
            FaultStep::Platform(_) => {
                let order = FaultOrder::new(FaultKind::None);
                self.fleet.platform.set_fault(order);
                Ok(())
            }
        }
    }

    fn endpoint(&mut self, id: &EndpointId) -> Result<&mut RunningEndpoint, Report<DemoError>> {
        let mut endpoints = self.fleet.endpoints.iter_mut();
        let endpoint = endpoints.find(|endpoint| endpoint.id == *id);
        endpoint.ok_or_else(|| unknown(id))
    }

    fn set_engine(&mut self, id: &EndpointId, fault: EngineFault) -> Result<(), Report<DemoError>> {
        match &self.endpoint(id)?.standin {
            EndpointStandin::Engine(engine) => {
                engine.handle.set_fault(fault);
                Ok(())
            }
            EndpointStandin::Service(_) => Err(unknown(id)),
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

    async fn order_sidecar(
        &mut self,
        id: &EndpointId,
        path: &str,
    ) -> Result<(), Report<DemoError>> {
        let endpoint = self.endpoint(id)?;
        let Some(sidecar) = &endpoint.sidecar else {
            return Err(unknown(id));
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

    async fn change(&mut self, ruled_out: RuledOut) -> Result<(), Report<DemoError>> {
        self.journal.changes.push(ConfigChange {
            accepted_at: Timestamp::MAX,
            lifted_at: None,
            ruled_out,
        });
        self.apply().await?;
        let now = self.clock.now();
        if let Some(change) = self.journal.changes.last_mut() {
            change.accepted_at = now;
        }
        Ok(())
    }

    async fn lift(&mut self, ruled_out: &RuledOut) -> Result<(), Report<DemoError>> {
        // From here on a gateway may have the new configuration before we hear of it.
        let now = self.clock.now();
        let mut changes = self.journal.changes.iter_mut();
        if let Some(change) = changes.find(|it| it.ruled_out == *ruled_out) {
            change.lifted_at = Some(now);
        }
        self.apply().await
    }

    /// Applies the deployment's configuration without what is ruled out now.
    async fn apply(&mut self) -> Result<(), Report<DemoError>> {
        let whole = self.fleet.config.clone();
        let ruled_out = |wanted: &RuledOut| {
            let mut changes = self.journal.changes.iter();
            changes.any(|it| it.lifted_at.is_none() && it.ruled_out == *wanted)
        };
        let mut config = whole.clone();
        for pool in &mut config.pools {
            pool.endpoints
                .retain(|spec| !ruled_out(&RuledOut::Endpoint(spec.id.clone())));
        }
        config
            .organisations
            .retain(|spec| !ruled_out(&RuledOut::Organisation(spec.id.clone())));
        self.fleet.config = config;
        let applied = self.fleet.apply(self.generation).await;
        self.fleet.config = whole;
        self.generation = applied.change_context(DemoError::Fault)?;
        Ok(())
    }

    fn leaves(&mut self, party: LeavingParty) {
        self.journal.leaves.push(LeaveRecord {
            party,
            began_at: self.clock.now(),
            gone_at: None,
        });
    }

    fn is_back(&mut self, party: &LeavingParty) {
        let now = self.clock.now();
        let mut leaves = self.journal.leaves.iter_mut().rev();
        if let Some(leave) = leaves.find(|leave| leave.party == *party) {
            leave.gone_at = Some(now);
        }
    }
}

fn timeline(plan: &FaultPlan) -> Vec<TimelineEntry<'_>> {
    let mut entries = Vec::new();
    for planned in &plan.faults {
        entries.push(TimelineEntry {
            at: planned.begins(),
            step: &planned.fault,
            begins: true,
        });
        entries.extend(planned.ends().map(|at| TimelineEntry {
            at,
            step: &planned.fault,
            begins: false,
        }));
    }
    entries.sort_by_key(|entry| entry.at);
    entries
}

fn unknown(name: impl Debug) -> Report<DemoError> {
    Report::new(DemoError::Fault).attach(format!("the deployment has no such {name:?}"))
}
