//! The example files that the demo runs from.

use std::{fs, path::Path};

use clap::ValueEnum;
use lovagedock::policy_names;
use lovagedock_daemon::load_settings;
use lovagedock_standin::demo::{Deployment, DeploymentError, FaultPlan, FaultStep};

#[test]
fn every_deployment_runs_under_every_policy() {
    for deployment in Deployment::value_variants() {
        assert_eq!(deployment.mix().unwrap().problems(), Vec::<String>::new());
        for policy in policy_names() {
            let config = deployment.config(Some(policy)).unwrap();
            assert_eq!(config.placement.policy, policy);
        }
    }
}

#[test]
fn an_unknown_policy_is_refused_with_the_names_that_there_are() {
    let error = Deployment::Mafraq.config(Some("best")).unwrap_err();
    assert_eq!(error, DeploymentError::UnknownPolicy("best".to_owned()));
    assert!(error.to_string().contains("two-choices"), "{error}");
}

#[test]
fn the_mixes_call_services_that_their_deployments_have() {
    for deployment in Deployment::value_variants() {
        let config = deployment.config(None).unwrap();
        let mix = deployment.mix().unwrap();
        let keyed = mix.keyed.iter().map(|keyed| &keyed.service);
        let plain = mix.plain.iter().map(|plain| &plain.service);
        for service in keyed.chain(plain).chain([&mix.service]) {
            let known = config.services.iter().any(|spec| spec.id == *service);
            assert!(known, "{service}");
        }
    }
}

// A fault file that names an endpoint which the deployment does not have would fail in the middle
// of a run. The files of the Nadavaramba deployment have its name before theirs.
#[test]
fn the_fault_files_name_what_their_deployments_have() {
    let mut files = 0;
    for entry in fs::read_dir("../examples/faults").unwrap() {
        let path = entry.unwrap().path();
        let plan: FaultPlan = load_settings(Path::new(&path)).unwrap();
        let name = path.file_name().unwrap().to_str().unwrap();
        let deployment = match name.starts_with("nadavaramba-") {
            true => Deployment::Nadavaramba,
            false => Deployment::Mafraq,
        };
        let config = deployment.config(None).unwrap();
        let endpoints = config.pools.iter().flat_map(|pool| &pool.endpoints);
        let endpoints: Vec<_> = endpoints.map(|spec| spec.id.clone()).collect();
        files += 1;
        for planned in &plan.faults {
            let known = match &planned.fault {
                FaultStep::EngineCrashes(id)
                | FaultStep::EngineHangs(id)
                | FaultStep::EngineLate(id)
                | FaultStep::EngineSwapsResponses(id)
                | FaultStep::SidecarStops(id)
                | FaultStep::EndpointDrains(id)
                | FaultStep::EndpointRemoved(id) => endpoints.contains(id),
                FaultStep::OrganisationRemoved(id) => {
                    config.organisations.iter().any(|spec| spec.id == *id)
                }
                FaultStep::GatewayStops(id) => config.gateways.iter().any(|spec| spec.id == *id),
                FaultStep::Platform(_) => true,
            };
            assert!(known, "{}: {:?}", path.display(), planned.fault);
        }
    }
    assert!(files >= 6, "{files}");
}
