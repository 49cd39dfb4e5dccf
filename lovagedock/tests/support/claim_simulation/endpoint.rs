//! Executions of requests and delivered answers, and checks of both.

use std::time::Duration;

use bytes::Bytes;
use lovagedock::{ClaimEvent, RequestId};
use rand::{Rng, RngExt};

use super::{ClaimSimulation, Step};

impl ClaimSimulation {
    pub(super) fn grant(&mut self, request: RequestId) {
        self.report.granted += 1;
        self.record_end(request);
        let state = self
            .request_states
            .get_mut(&request)
            .expect("request is known");
        if self.now >= state.deadline {
            let text = format!("request {request} granted after its deadline");
            self.report.violations.push(text);
        }
        let (key, gateway, incarnation) = (state.key, state.gateway, state.incarnation);
        if self.chance(self.schedule.faults.abandon) {
            self.deliver(gateway, incarnation, ClaimEvent::Abandon { key, request });
            return;
        }
        self.request_states.get_mut(&request).expect("known").ran = true;
        let runs = self.runs.entry(key).or_default();
        runs.push(request);
        if runs.len() > 1 {
            let text = format!("key {} ran twice: {runs:?}", key[0]);
            self.report.violations.push(text);
        }
        if !self.chance(self.schedule.faults.owner_silent) {
            let at = self.now + self.millis(1..800);
            self.push(at, Step::Finish(request));
        }
    }

    pub(super) fn finish(&mut self, request: RequestId) {
        let length = match self.rng.random_range(0..4) {
            0 => self.rng.random_range(3_000..9_000),
            _ => self.rng.random_range(1..200),
        };
        let mut bytes = vec![0; length];
        self.rng.fill_bytes(&mut bytes);
        let answer = Bytes::from(bytes);
        self.produced.insert(request, answer.clone());
        let state = &self.request_states[&request];
        let (key, gateway, incarnation) = (state.key, state.gateway, state.incarnation);
        let local = self.now - self.gateways[gateway].started;
        let event = ClaimEvent::Record {
            key,
            request,
            answer,
            deadline: local + Duration::from_secs(5),
        };
        self.deliver(gateway, incarnation, event);
    }

    pub(super) fn record_end(&mut self, request: RequestId) {
        let state = self
            .request_states
            .get_mut(&request)
            .expect("request is known");
        if std::mem::replace(&mut state.ended, true) {
            let text = format!("request {request} ended twice");
            self.report.violations.push(text);
        }
    }

    pub(super) fn record_answer(&mut self, request: RequestId, answer: Bytes) {
        let key = self.request_states[&request].key;
        let answers = self.answers.entry(key).or_default();
        answers.insert(answer);
        if answers.len() > 1 {
            let text = format!("key {} was answered with different bytes", key[0]);
            self.report.violations.push(text);
        }
    }

    pub(super) fn check_end(&mut self) {
        for (request, state) in &self.request_states {
            if !state.ended {
                let text = format!("request {request} never ended");
                self.report.violations.push(text);
            }
        }
        if self.store.largest() > self.schedule.limits.partition_bytes {
            let text = format!("an object has {} bytes", self.store.largest());
            self.report.violations.push(text);
        }
    }
}
