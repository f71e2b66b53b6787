//! The kinds and attributes that a sheet may have.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A kind of thing that operators create.
#[derive(
    Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[display("{}", self.label())]
pub enum SheetKind {
    /// A failure domain and its region.
    FailureDomain,
    /// A link between two failure domains.
    Link,
    /// An accelerator kind.
    Accelerator,
    /// A model.
    Model,
    /// A pipeline.
    Pipeline,
    /// A route.
    Route,
    /// A plain service.
    Service,
    /// An engine or a replica of a service.
    Endpoint,
    /// An organisation.
    Organisation,
    /// Limits of an organisation.
    Limit,
}

/// One attribute of a kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SheetAttribute {
    /// Name in the sheet.
    pub name: &'static str,
    /// Whether each thing of the kind needs it.
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

/// Free text for people, allowed for each kind.
pub const NOTE_ATTRIBUTE: &str = "note";

impl SheetKind {
    /// Every kind, in the order of the canonical sheet.
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

    /// The label in the sheet.
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

    /// The kind with this label.
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.label() == label)
    }

    /// The attributes of the kind, without [`NOTE_ATTRIBUTE`].
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

    /// Whether the kind has the attribute.
    pub fn has_attribute(self, name: &str) -> bool {
        name == NOTE_ATTRIBUTE || self.attributes().iter().any(|known| known.name == name)
    }
}
