//! The messages of one step through a range of layers.
//!
//! A step processes consecutive positions of one session in the layers of one engine. [`StepCall`]
//! and [`StepAnswer`] are exchanged once per token and stage, so their serialisation is written by
//! hand for speed.

use std::fmt::{self, Formatter};
use std::sync::Arc;

use derive_more::Display;
use serde::de::{Error as _, IgnoredAny, MapAccess, Visitor};
use serde::ser::SerializeStruct;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::LayerRange;
use crate::id::{Lineage, ModelId, Position, RequestId};

/// Name of a step, which is unique in the system.
#[derive(Clone, Debug, Display, Eq, Hash, PartialEq)]
#[display("{request}/{lineage}/{position}/{range}")]
pub struct StepName {
    /// The request.
    pub request: RequestId,
    /// The attempt at this part of the answer; replacing an engine increases it.
    pub lineage: Lineage,
    /// First position of the step.
    pub position: Position,
    /// The layers to run.
    pub range: LayerRange,
}

/// A request to an engine to run one step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StepCall {
    /// The step.
    pub name: StepName,
    /// The model.
    pub model: ModelId,
    /// One input per position: tokens for the first layer, activations for any other.
    pub inputs: Arc<[u64]>,
    /// Time after which the engine drops the session without another call, in milliseconds.
    pub life_milliseconds: u64,
    /// Priority; 0 is the lowest.
    pub priority: u8,
}

/// The response to a [`StepCall`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StepAnswer {
    /// The step that ran.
    pub name: StepName,
    /// One output per position: the next token after the last layer, activations after any other.
    pub outputs: Arc<[u64]>,
}

/// Progress of a session at an engine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SessionStatus {
    /// The request.
    pub request: RequestId,
    /// The attempt that the session belongs to.
    pub lineage: Lineage,
    /// The layers of the session.
    pub range: LayerRange,
    /// The next position that the session expects.
    pub next_position: Position,
}

impl Serialize for StepCall {
    fn serialize<Target>(&self, serializer: Target) -> Result<Target::Ok, Target::Error>
    where
        Target: Serializer,
    {
        let mut fields = serializer.serialize_struct("StepCall", 9)?;
        serialize_name(&mut fields, &self.name)?;
        fields.serialize_field("model", &self.model)?;
        fields.serialize_field("inputs", &self.inputs[..])?;
        fields.serialize_field("life_milliseconds", &self.life_milliseconds)?;
        fields.serialize_field("priority", &self.priority)?;
        fields.end()
    }
}

impl Serialize for StepAnswer {
    fn serialize<Target>(&self, serializer: Target) -> Result<Target::Ok, Target::Error>
    where
        Target: Serializer,
    {
        let mut fields = serializer.serialize_struct("StepAnswer", 6)?;
        serialize_name(&mut fields, &self.name)?;
        fields.serialize_field("outputs", &self.outputs[..])?;
        fields.end()
    }
}

fn serialize_name<Fields>(fields: &mut Fields, name: &StepName) -> Result<(), Fields::Error>
where
    Fields: SerializeStruct,
{
    fields.serialize_field("request", &name.request)?;
    fields.serialize_field("lineage", &name.lineage)?;
    fields.serialize_field("position", &name.position)?;
    fields.serialize_field("start", &name.range.start)?;
    fields.serialize_field("end", &name.range.end)
}

impl<'input> Deserialize<'input> for StepCall {
    fn deserialize<Source>(deserializer: Source) -> Result<Self, Source::Error>
    where
        Source: Deserializer<'input>,
    {
        let fields = deserializer.deserialize_map(FieldVisitor)?;
        Ok(Self {
            model: fields
                .model
                .ok_or_else(|| Source::Error::missing_field("model"))?,
            inputs: fields
                .inputs
                .ok_or_else(|| Source::Error::missing_field("inputs"))?,
            life_milliseconds: fields.life_milliseconds.unwrap_or_default(),
            priority: fields.priority.unwrap_or_default(),
            name: fields.name.build()?,
        })
    }
}

impl<'input> Deserialize<'input> for StepAnswer {
    fn deserialize<Source>(deserializer: Source) -> Result<Self, Source::Error>
    where
        Source: Deserializer<'input>,
    {
        let fields = deserializer.deserialize_map(FieldVisitor)?;
        Ok(Self {
            outputs: fields
                .outputs
                .ok_or_else(|| Source::Error::missing_field("outputs"))?,
            name: fields.name.build()?,
        })
    }
}

#[derive(Default)]
struct NameFields {
    request: Option<RequestId>,
    lineage: Option<Lineage>,
    position: Option<Position>,
    start: Option<u32>,
    end: Option<u32>,
}

impl NameFields {
    fn build<DecodeError>(self) -> Result<StepName, DecodeError>
    where
        DecodeError: serde::de::Error,
    {
        Ok(StepName {
            request: self
                .request
                .ok_or_else(|| DecodeError::missing_field("request"))?,
            lineage: self
                .lineage
                .ok_or_else(|| DecodeError::missing_field("lineage"))?,
            position: self
                .position
                .ok_or_else(|| DecodeError::missing_field("position"))?,
            range: LayerRange::new(
                self.start
                    .ok_or_else(|| DecodeError::missing_field("start"))?,
                self.end.ok_or_else(|| DecodeError::missing_field("end"))?,
            ),
        })
    }
}

#[derive(Default)]
struct StepFields {
    name: NameFields,
    model: Option<ModelId>,
    inputs: Option<Arc<[u64]>>,
    outputs: Option<Arc<[u64]>>,
    life_milliseconds: Option<u64>,
    priority: Option<u8>,
}

struct FieldVisitor;

impl<'input> Visitor<'input> for FieldVisitor {
    type Value = StepFields;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object with the fields of a step")
    }

    fn visit_map<Access>(self, mut map: Access) -> Result<StepFields, Access::Error>
    where
        Access: MapAccess<'input>,
    {
        let mut fields = StepFields::default();
        while let Some(key) = map.next_key::<std::borrow::Cow<'input, str>>()? {
            match &*key {
                "request" => fields.name.request = Some(map.next_value()?),
                "lineage" => fields.name.lineage = Some(map.next_value()?),
                "position" => fields.name.position = Some(map.next_value()?),
                "start" => fields.name.start = Some(map.next_value()?),
                "end" => fields.name.end = Some(map.next_value()?),
                "model" => fields.model = Some(map.next_value()?),
                "inputs" => fields.inputs = Some(map.next_value()?),
                "outputs" => fields.outputs = Some(map.next_value()?),
                "life_milliseconds" => fields.life_milliseconds = Some(map.next_value()?),
                "priority" => fields.priority = Some(map.next_value()?),
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(fields)
    }
}
