//! Grants runners their turns to change to new weights.

use std::net;

use lentil_policy::forward::{rollout_pacer, runners, target_weights};
use lentil_process::metrics::Counter;
use lentil_types::{ModelName, ServiceName};

use super::{Router, State};
use crate::{
    datagram::{Datagram, Loaded, Turn},
    documents::WeightsTarget,
    peers::Recipient,
};

impl Router {
    /// Grants the turns that are due. Called whenever a runner's status changes, and
    /// periodically.
    pub(crate) fn grant_turns(&self) {
        let now = self.now();
        let mut state = self.state();
        let rank = state.rank();
        for (service, target) in lagging_services(&state) {
            let (members, addresses) = members(&state, &service, &target.model);
            let pacer = state.pacer(&service);
            if !pacer.may_pace(rank) {
                continue;
            }
            let granted = pacer.grant(now, target.version, &members);
            let limit = pacer.limit();
            for incarnation in granted {
                let index = members
                    .iter()
                    .position(|member| member.incarnation == incarnation);
                let Some(address) = index.and_then(|index| addresses.get(index)) else {
                    continue;
                };
                log::info!(runner:% = incarnation.name, weights = target.version.0, limit; "granted the turn to change weights");
                self.metrics.count(Counter::TurnsGranted);
                let target = target.clone();
                let turn = Datagram::Turn(Turn {
                    incarnation,
                    target,
                });
                self.outbox.put(Recipient::Agent(address.ip()), turn);
            }
        }
    }

    /// A runner has changed its weights.
    pub(crate) fn on_loaded(&self, loaded: &Loaded) {
        let now = self.now();
        let mut state = self.state();
        let runner = state.runners().get(&loaded.incarnation);
        let Some(service) = runner.map(|runner| runner.registration.service.clone()) else {
            return;
        };
        let pacer = state.pacer(&service);
        pacer.on_changed(now, loaded.times);
        log::info!(
            runner:% = loaded.incarnation.name, drain_ms = loaded.times.drain_time.as_millis(),
            load_ms = loaded.times.load_time.as_millis(), limit = pacer.limit();
            "a runner changed weights"
        );
        drop(state);
        self.grant_turns();
    }
}

/// Services with a model that has target weights, and the target.
fn lagging_services(state: &State) -> Vec<(ServiceName, WeightsTarget)> {
    let Some(routing) = state.routing() else {
        return Vec::new();
    };
    let mut lagging = Vec::new();
    for (service, properties) in routing.services.iter() {
        let models = properties.engine.iter().flat_map(|engine| &engine.models);
        for model in models {
            let history = state.target_history(model);
            let Some((version, _)) = history.last().copied() else {
                continue;
            };
            let is_lagging = |runner: &runners::Runner| {
                runner.registration.service == *service
                    && runner.version(model).is_some_and(|own| own < version)
            };
            if state.runners().iter().any(is_lagging) {
                let model = model.clone();
                lagging.push((service.clone(), WeightsTarget { model, version }));
            }
        }
    }
    lagging
}

/// Runners of a service that stay, with their addresses.
fn members(
    state: &State,
    service: &ServiceName,
    model: &ModelName,
) -> (Vec<rollout_pacer::Member>, Vec<net::SocketAddr>) {
    let history = state.target_history(model);
    let present = present(state, service);
    let members = present.filter_map(|runner| {
        let member = rollout_pacer::Member {
            incarnation: runner.registration.incarnation.clone(),
            is_reported: runner.has_status(),
            version: runner.version(model)?,
            outdated_since: target_weights::outdated_since(history, runner.version(model)?),
            changing_since: runner.changing_since(),
        };
        Some((member, runner.registration.address))
    });
    members.unzip()
}

fn present<'a>(
    state: &'a State,
    service: &'a ServiceName,
) -> impl Iterator<Item = &'a runners::Runner> {
    state.runners().iter().filter(move |runner| {
        runner.registration.service == *service && !runner.is_leaving() && !runner.is_replaced()
    })
}
