//! Parses the bytes of a body into typed routes and services, field by field.

use std::collections::HashMap;
use std::sync::Arc;

use tinyjson::JsonValue;

use super::error::ConfigurationError;
use super::limits::{MAX_BODY_BYTES, MAX_ROUTES, MAX_SERVICES, MAX_SPLITS};
use super::model::{ClientLimits, Configuration, EngineType, Model, Protocol, Route, RouteType, Service};
use super::traffic::{TrafficSplit, WeightedService};
use crate::json::{FieldError, Fields, JsonError, elements, members, parse};
use crate::names::{HostName, RouteName, ServiceName};
use crate::routes::bare_host;

const DEFAULT_HEALTH_PATH: &str = "/health";

/// Parses the body, without checking its routes and services against one another.
pub(super) fn body(body: &[u8]) -> Result<Configuration, ConfigurationError> {
    if body.len() > MAX_BODY_BYTES {
        return Err(ConfigurationError::BodyTooLarge { bytes: body.len() });
    }
    let text = std::str::from_utf8(body).map_err(|_| text_error("body", JsonError::NotUtf8))?;
    let mut root = RootMembers::default();
    for member in members(text).map_err(|source| text_error("body", source))? {
        root.read_member(&member.key, member.value)?;
    }
    root.into_configuration()
}

/// The members of the outermost object that have been read so far.
#[derive(Default)]
struct RootMembers {
    version: Option<u64>,
    routes: Option<Vec<Route>>,
    services: Option<Vec<Service>>,
    limits: ClientLimits,
}

impl RootMembers {
    fn read_member(&mut self, key: &str, text: &str) -> Result<(), ConfigurationError> {
        match key {
            "config_version" => self.version = Some(version(&parse_member(key, text)?)?),
            "route_table" => self.routes = Some(routes(text)?),
            "service_list" => self.services = Some(services(text)?),
            "limits" => {
                let value = parse_member(key, text)?;
                self.limits = limits(&value).map_err(|error| field_error(error.within(key)))?;
            }
            // The value of an unknown field is ignored, but must be valid JSON.
            _ => drop(parse_member(key, text)?),
        }
        Ok(())
    }

    fn into_configuration(self) -> Result<Configuration, ConfigurationError> {
        let missing = |name, expected| field_error(FieldError::new(name, expected));
        Ok(Configuration {
            version: self.version.ok_or_else(|| missing("config_version", EXPECTED_VERSION))?,
            routes: self.routes.ok_or_else(|| missing("route_table", "a list"))?,
            services: self.services.ok_or_else(|| missing("service_list", "a list"))?,
            limits: self.limits,
        })
    }
}

fn text_error(path: impl Into<String>, source: JsonError) -> ConfigurationError {
    ConfigurationError::Text { path: path.into(), source }
}

fn field_error(source: FieldError) -> ConfigurationError {
    ConfigurationError::Field { source }
}

fn parse_member(path: &str, text: &str) -> Result<JsonValue, ConfigurationError> {
    parse(text).map_err(|source| text_error(path, source))
}

const EXPECTED_VERSION: &str = "a whole number above 0, at most 2^53";

fn version(value: &JsonValue) -> Result<u64, ConfigurationError> {
    const MAX: f64 = 9_007_199_254_740_992.0;
    match value {
        JsonValue::Number(0.0) => Err(ConfigurationError::VersionZero),
        JsonValue::Number(number) if number.fract() == 0.0 && (1.0..=MAX).contains(number) => {
            Ok(*number as u64)
        }
        _ => Err(field_error(FieldError::new("config_version", EXPECTED_VERSION))),
    }
}

/// Returns the texts of the elements of a list. `null` is rejected with the same error as a list that is
/// missing.
fn element_texts<'a>(name: &str, text: &'a str) -> Result<Vec<&'a str>, ConfigurationError> {
    if !text.starts_with('[') {
        parse_member(name, text)?;
        return Err(field_error(FieldError::new(name, "a list")));
    }
    elements(text).map_err(|source| text_error(name, source))
}

fn routes(text: &str) -> Result<Vec<Route>, ConfigurationError> {
    let texts = element_texts("route_table", text)?;
    if texts.len() > MAX_ROUTES {
        return Err(ConfigurationError::TooManyRoutes { count: texts.len() });
    }
    let mut names = SharedNames::default();
    let mut read = |(index, text)| {
        let path = || format!("route_table[{index}]");
        let value = parse(text).map_err(|source| text_error(path(), source))?;
        route(&value, &mut names).map_err(|error| error.within(&path()))
    };
    texts.into_iter().enumerate().map(&mut read).collect()
}

fn services(text: &str) -> Result<Vec<Service>, ConfigurationError> {
    let texts = element_texts("service_list", text)?;
    if texts.len() > MAX_SERVICES {
        return Err(ConfigurationError::TooManyServices { count: texts.len() });
    }
    let read = |(index, text)| {
        let path = || format!("service_list[{index}]");
        let value = parse(text).map_err(|source| text_error(path(), source))?;
        service(&value).map_err(|error| field_error(error.within(&path())))
    };
    texts.into_iter().enumerate().map(read).collect()
}

/// The names of the hosts and services that have been read. Thousands of routes refer to few hosts and services, so
/// each name is stored once and shared.
#[derive(Default)]
struct SharedNames {
    hosts: HashMap<String, HostName>,
    services: HashMap<String, ServiceName>,
}

impl SharedNames {
    fn host(&mut self, text: &str) -> HostName {
        let host = bare_host(text);
        shared_name(&mut self.hosts, &host)
    }

    fn service(&mut self, text: &str) -> ServiceName {
        shared_name(&mut self.services, text)
    }
}

fn shared_name<N: Clone + for<'a> From<&'a str>>(names: &mut HashMap<String, N>, text: &str) -> N {
    if let Some(name) = names.get(text) {
        return name.clone();
    }
    let name = N::from(text);
    names.insert(text.to_owned(), name.clone());
    name
}

/// The reason for which a route is rejected: a wrong field, or an error that names the route.
enum RouteError {
    Field(FieldError),
    ConfigurationError(ConfigurationError),
}

impl RouteError {
    fn within(self, path: &str) -> ConfigurationError {
        match self {
            RouteError::Field(error) => field_error(error.within(path)),
            RouteError::ConfigurationError(invalid) => invalid,
        }
    }
}

impl From<FieldError> for RouteError {
    fn from(error: FieldError) -> RouteError {
        RouteError::Field(error)
    }
}

fn route(value: &JsonValue, names: &mut SharedNames) -> Result<Route, RouteError> {
    let fields = Fields::of(value)?;
    let name: RouteName = fields.required_text("name")?.into();
    let timeout_ms = fields.count("timeout_ms")?.unwrap_or_default();
    if timeout_ms == 0 {
        return Err(RouteError::ConfigurationError(ConfigurationError::MissingTimeout { route: name }));
    }
    let traffic = traffic(&fields, &name, names)?;
    Ok(Route {
        name,
        hostname: names.host(fields.required_text("hostname")?),
        path_prefix: Arc::from(fields.required_text("path_prefix")?),
        route_type: route_type(&fields)?,
        timeout_ms,
        target_latency_ms: fields.count("target_latency_ms")?.unwrap_or(timeout_ms),
        priority_level: fields.small_count("priority_level")?.unwrap_or_default(),
        traffic,
        max_attempts: fields.small_count("max_attempts")?.unwrap_or(1).max(1),
        session_affinity: fields.flag("session_affinity")?.unwrap_or_default(),
        resumable: fields.flag("resumable")?.unwrap_or_default(),
        event_gap_target_ms: fields.count("gap_aim_ms")?,
        completion_target_ms: fields.count("completion_target_ms")?,
        retention_s: fields.amount("retention_s")?,
        queue_token_limit: fields.count("queue_token_limit")?.unwrap_or_default(),
    })
}

fn route_type(fields: &Fields<'_>) -> Result<RouteType, FieldError> {
    match fields.text("route_type")? {
        Some("streaming") => Ok(RouteType::Streaming),
        Some("idempotent") => Ok(RouteType::Idempotent),
        Some("non_idempotent") => Ok(RouteType::NonIdempotent),
        Some("bulk") => Ok(RouteType::Bulk),
        _ => Err(FieldError::new("route_type", "streaming, idempotent, non_idempotent or bulk")),
    }
}

/// Reads the services of a route. If the route has both a split and a single service, the split is used.
fn traffic(
    fields: &Fields<'_>,
    route: &RouteName,
    names: &mut SharedNames,
) -> Result<TrafficSplit, RouteError> {
    let Some(splits) = fields.list("traffic_split")? else {
        let service = fields.text("service")?;
        let service =
            service.ok_or_else(|| FieldError::new("service", "the name of a service, or a traffic_split"))?;
        return Ok(TrafficSplit::single(names.service(service)));
    };
    if splits.len() > MAX_SPLITS {
        return Err(RouteError::ConfigurationError(ConfigurationError::TooManySplits {
            route: route.clone(),
        }));
    }
    let read = |(index, value)| {
        split(value, names).map_err(|error: FieldError| error.at(index).within("traffic_split"))
    };
    let shares = splits.iter().enumerate().map(read).collect::<Result<_, FieldError>>()?;
    TrafficSplit::weighted(shares).ok_or_else(|| {
        RouteError::ConfigurationError(ConfigurationError::ZeroWeight { route: route.clone() })
    })
}

fn split(value: &JsonValue, names: &mut SharedNames) -> Result<WeightedService, FieldError> {
    let fields = Fields::of(value)?;
    let service = names.service(fields.required_text("service")?);
    Ok(WeightedService { service, weight: fields.amount("split_weight")?.unwrap_or_default() })
}

fn service(value: &JsonValue) -> Result<Service, FieldError> {
    let fields = Fields::of(value)?;
    Ok(Service {
        name: fields.required_text("name")?.into(),
        health_path: fields.text("health_path")?.unwrap_or(DEFAULT_HEALTH_PATH).to_owned(),
        max_connections: fields.small_count("max_connections")?,
        protocol: match fields.text("protocol")? {
            None | Some("h1") => Protocol::Http1,
            Some(other) => Protocol::Other(other.to_owned()),
        },
        tls_mode: fields.flag("tls_mode")?.unwrap_or_default(),
        engine_type: match fields.child("engine_type")? {
            Some(engine) => Some(engine_type(&engine).map_err(|error| error.within("engine_type"))?),
            None => None,
        },
    })
}

fn engine_type(fields: &Fields<'_>) -> Result<EngineType, FieldError> {
    let models = fields.list("models")?.unwrap_or_default().iter().enumerate();
    Ok(EngineType {
        slot_count: fields.small_count("slot_count")?.unwrap_or_default(),
        kv_capacity_tokens: fields.count("kv_capacity_tokens")?.unwrap_or_default(),
        token_kv_bytes: fields.count("token_kv_bytes")?.unwrap_or_default(),
        link_mbps: fields.amount("link_mbps")?.unwrap_or_default(),
        stride: fields.count("stride")?.unwrap_or_default(),
        models: models
            .map(|(index, value)| model(value).map_err(|error| error.at(index).within("models")))
            .collect::<Result<_, FieldError>>()?,
    })
}

fn model(value: &JsonValue) -> Result<Model, FieldError> {
    let fields = Fields::of(value)?;
    Ok(Model { name: fields.required_text("name")?.into(), config_version: fields.count("config_version")? })
}

fn limits(value: &JsonValue) -> Result<ClientLimits, FieldError> {
    let default = ClientLimits::default();
    if matches!(value, JsonValue::Null) {
        return Ok(default);
    }
    let fields = Fields::of(value)?;
    Ok(ClientLimits {
        max_header_bytes: fields.count("max_header_bytes")?.unwrap_or(default.max_header_bytes),
        max_body_bytes: fields.count("max_body_bytes")?.unwrap_or(default.max_body_bytes),
        header_timeout_ms: fields.count("header_timeout_ms")?.unwrap_or(default.header_timeout_ms),
        idle_timeout_ms: fields.count("idle_timeout_ms")?.unwrap_or(default.idle_timeout_ms),
    })
}
