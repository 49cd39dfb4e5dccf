//! Checks the head of a caller's request.

use std::sync::Arc;

use hyper::header::HOST;
use lovagedock::{RouteMatch, RouteRule, TrafficConfig, prelude::*};

use super::{call::CallParts, dialect::CallerHead, request_body::RequestBody};

/// The head of a request that the current configuration allows.
pub(crate) struct CheckedHead<'a> {
    config: &'a Arc<TrafficConfig>,
    head: &'a CallerHead,
    pub(crate) route: &'a RouteRule,
    pub(crate) organisation: Option<&'a OrganisationId>,
    priority: u8,
}

impl<'a> CheckedHead<'a> {
    /// Checks the route and the key.
    pub(crate) fn new(
        config: &'a Arc<TrafficConfig>,
        head: &'a CallerHead,
        parts: &hyper::http::request::Parts,
    ) -> Result<Self, ResultCode> {
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
        let host = host.or(parts.uri.host()).unwrap_or_default();
        let RouteMatch::Found(route) = config.route(host, parts.uri.path()) else {
            return Err(ResultCode::UnknownService);
        };
        let holder = head.key.as_deref().and_then(|key| config.key_holder(key));
        if config.needs_key(route) && holder.is_none() {
            return Err(ResultCode::Unauthenticated);
        }
        let own_priority = holder.and_then(|(_, priority)| priority);
        Ok(Self {
            config,
            head,
            route,
            organisation: holder.map(|(organisation, _)| organisation),
            priority: own_priority.unwrap_or(route.priority),
        })
    }

    /// Creates the call of the request, whose body was received.
    pub(crate) fn into_call(
        self,
        parts: &hyper::http::request::Parts,
        body: RequestBody,
        arrived: Timestamp,
    ) -> Result<CallParts, ResultCode> {
        let service = self.route.pick_service(rand::random()).cloned();
        let target = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        Ok(CallParts {
            config: Arc::clone(self.config),
            service: service.ok_or(ResultCode::UnknownService)?,
            organisation: self.organisation.cloned(),
            priority: self.priority,
            route: self.route.clone(),
            head: self.head.clone(),
            method: parts.method.clone(),
            target: target.to_owned(),
            headers: parts.headers.clone(),
            body,
            arrived,
        })
    }
}
