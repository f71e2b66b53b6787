//! Enums of states and events, with the labels that chart files use for them.

/// A state or an event: a value of a fixed list, with its label in chart files.
pub trait ChartLabel: Copy + Eq + std::fmt::Debug + 'static {
    /// Every value, in the order of [`ChartLabel::index`].
    const ALL: &'static [Self];

    /// Returns the label that chart files use.
    fn label(self) -> &'static str;

    /// Returns the position in [`ChartLabel::ALL`].
    fn index(self) -> usize;

    /// Returns the value with this label, or `None` if there is none.
    fn from_label(label: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|value| value.label() == label)
    }
}

/// Defines an enum and implements [`ChartLabel`] for it.
#[macro_export]
macro_rules! chart_labels {
    (
        $(#[$meta:meta])*
        $visibility:vis enum $name:ident {
            $($(#[$variant_meta:meta])* $variant:ident = $label:literal),+ $(,)?
        }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        $visibility enum $name {
            $(
                $(#[$variant_meta])*
                #[doc = concat!("\n\nLabel in chart files: `", $label, "`.")]
                $variant,
            )+
        }

        impl $crate::ChartLabel for $name {
            const ALL: &'static [Self] = &[$(Self::$variant),+];

            fn label(self) -> &'static str {
                match self {
                    $(Self::$variant => $label,)+
                }
            }

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}
