//! Typed parsing of a list that has exactly the form of the protocol.
//!
//! A document that deviates in any way, even in a field that is not used, is rejected here and then
//! read field by field, which reports what is wrong. Both parsers therefore give the same result
//! for every list that this one accepts.

use crate::list_response::{parse_endpoint_state, EndpointRecord};
use serde::de::value::MapAccessDeserializer;
use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::HashSet;
use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

/// A response with the endpoint list.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListDocument<'a> {
    pub(crate) version: u64,
    #[serde(rename = "full")]
    pub(crate) complete: bool,
    #[serde(borrow, rename = "servers")]
    endpoints: Vec<Object<EndpointDocument<'a>>>,
}

/// One endpoint of the list.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndpointDocument<'a> {
    id: &'a str,
    #[serde(rename = "addr")]
    address: &'a str,
    zone: &'a str,
    #[serde(rename = "kind")]
    endpoint_type: Option<&'a str>,
    cell: u64,
    state: &'a str,
    #[serde(rename = "weight")]
    _weight: Option<f64>,
    started_ms: f64,
    #[serde(rename = "release")]
    build: u32,
}

/// Deserializes `T` from a JSON object only. A derived `Deserialize` also accepts an array of the
/// field values in their order.
struct Object<T>(T);

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Object<T>, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, fields: A) -> Result<Object<T>, A::Error> {
        T::deserialize(MapAccessDeserializer::new(fields)).map(Object)
    }
}

impl<'a> ListDocument<'a> {
    /// Parses a document; `None` unless all of it has exactly the form of the protocol.
    pub(crate) fn parse(body: &'a [u8]) -> Option<ListDocument<'a>> {
        let Object(document) = serde_json::from_slice(body).ok()?;
        Some(document)
    }

    /// Converts the endpoints to records, in their order; `None` if an id is duplicated, or if a
    /// state or an address is invalid.
    pub(crate) fn into_records(self) -> Option<Vec<EndpointRecord>> {
        let mut ids = HashSet::with_capacity(self.endpoints.len());
        let mut names = SharedNames::default();
        self.endpoints
            .into_iter()
            .map(|Object(endpoint)| {
                let is_new = ids.insert(endpoint.id);
                endpoint.into_record(&mut names).filter(|_| is_new)
            })
            .collect()
    }
}

impl EndpointDocument<'_> {
    fn into_record(self, names: &mut SharedNames) -> Option<EndpointRecord> {
        let started_ms = self.started_ms as u64;
        Some(EndpointRecord {
            id: self.id.to_owned(),
            address: self.address.parse().ok()?,
            zone: names.get(self.zone),
            cell: self.cell,
            endpoint_type: names.get(self.endpoint_type.unwrap_or_default()),
            build: self.build,
            state: parse_endpoint_state(self.state)?,
            started_ms: (started_ms > 0).then_some(started_ms),
        })
    }
}

/// Interns names that occur in many entries of a list, so that each name is stored once.
#[derive(Default)]
struct SharedNames(HashSet<Arc<str>>);

impl SharedNames {
    fn get(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.0.get(name) {
            return Arc::clone(known);
        }
        let name: Arc<str> = Arc::from(name);
        self.0.insert(Arc::clone(&name));
        name
    }
}
