//! Kinds of entities in a sheet and their attributes.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Kind of an entity that the sheet defines.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display("{}", self.label())]
pub enum SheetKind {
    /// Failure domain and its region.
    FailureDomain,
    /// Network link between two failure domains.
    Link,
    /// Kind of accelerator.
    Accelerator,
    /// Model that engines run.
    Model,
    /// Pipeline over the layers of a model.
    Pipeline,
    /// Route from requests to a pipeline.
    Route,
    /// Plain service, without a model.
    Service,
    /// Engine, or replica of a service.
    Endpoint,
    /// Organisation whose callers send requests.
    Organisation,
    /// Rate and concurrency limits of an organisation.
    Limit,
}

/// Attribute of a kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SheetAttribute {
    /// Name of the attribute in the sheet.
    pub name: &'static str,
    /// Whether every entity of the kind must have the attribute.
    pub required: bool,
}

const fn required(name: &'static str) -> SheetAttribute {
    SheetAttribute {
        name,
        required: true,
    }
}

const fn optional(name: &'static str) -> SheetAttribute {
    SheetAttribute {
        name,
        required: false,
    }
}

/// Attribute with free text for people, allowed for every kind.
pub const NOTE_ATTRIBUTE: &str = "note";

impl SheetKind {
    /// All kinds, in the order of the canonical sheet.
    pub const ALL: [Self; 10] = [
        Self::FailureDomain,
        Self::Link,
        Self::Accelerator,
        Self::Model,
        Self::Pipeline,
        Self::Route,
        Self::Service,
        Self::Endpoint,
        Self::Organisation,
        Self::Limit,
    ];

    /// Returns the label of the kind in the sheet.
    pub const fn label(self) -> &'static str {
        match self {
            Self::FailureDomain => "failure-domain",
            Self::Link => "link",
            Self::Accelerator => "accelerator",
            Self::Model => "model",
            Self::Pipeline => "pipeline",
            Self::Route => "route",
            Self::Service => "service",
            Self::Endpoint => "endpoint",
            Self::Organisation => "organisation",
            Self::Limit => "limit",
        }
    }

    /// Returns the kind with this label.
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.label() == label)
    }

    /// Returns the attributes of the kind, without [`NOTE_ATTRIBUTE`].
    pub const fn attributes(self) -> &'static [SheetAttribute] {
        match self {
            Self::FailureDomain => const { &[required("region")] },
            Self::Link => const { &[required("delay_us"), required("rate_kbytes")] },
            Self::Accelerator => const { &[required("layer_ns")] },
            Self::Model => {
                const {
                    &[
                        required("layers"),
                        required("context_tokens"),
                        required("version"),
                    ]
                }
            }
            Self::Pipeline => const { &[required("model"), optional("failure_domains")] },
            Self::Route => {
                const {
                    &[
                        required("pipeline"),
                        optional("repeatable"),
                        optional("priority"),
                    ]
                }
            }
            Self::Service => {
                const {
                    &[
                        required("repeatable"),
                        optional("settles"),
                        optional("timeout_ms"),
                    ]
                }
            }
            Self::Endpoint => {
                const {
                    &[
                        required("address"),
                        required("failure_domain"),
                        optional("model"),
                        optional("layers"),
                        optional("accelerator"),
                        optional("service"),
                        optional("checks_fencing"),
                        optional("capacity"),
                    ]
                }
            }
            Self::Organisation => const { &[required("key_sha256"), optional("weight")] },
            Self::Limit => {
                const {
                    &[
                        optional("requests_per_second"),
                        optional("tokens_per_second"),
                        optional("concurrency"),
                    ]
                }
            }
        }
    }

    /// Returns whether the kind has the attribute.
    pub fn has_attribute(self, name: &str) -> bool {
        name == NOTE_ATTRIBUTE
            || self
                .attributes()
                .iter()
                .any(|attribute| attribute.name == name)
    }
}
