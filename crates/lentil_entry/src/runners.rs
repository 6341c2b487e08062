//! Lists the runners of a configuration for the policy.

use lentil_config::Config;
use lentil_policy::route;

/// Every runner of a configuration, service by service.
pub(crate) fn of_config(config: &Config) -> Vec<route::RunnerInfo> {
    let of_service = |service: &lentil_config::Service| {
        let name = service.name.clone();
        let info = move |runner: &lentil_config::Runner| route::RunnerInfo {
            name: runner.name.clone(),
            service: name.clone(),
            place: runner.place.clone(),
        };
        service.runners.iter().map(info).collect::<Vec<_>>()
    };
    config.services.iter().flat_map(of_service).collect()
}
