//! States and events as enums whose labels stand in the chart files.

/// A state or an event: one of a fixed list, each with the label that chart files use.
pub trait ChartLabel: Copy + Eq + std::fmt::Debug + 'static {
    /// Every value, in the order of [`ChartLabel::index`].
    const ALL: &'static [Self];

    /// The label in chart files.
    fn label(self) -> &'static str;

    /// Place in [`ChartLabel::ALL`].
    fn index(self) -> usize;

    /// The value with this label.
    fn from_label(label: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|value| value.label() == label)
    }
}

/// Defines an enum and its [`ChartLabel`].
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
                #[doc = concat!("`", $label, "`")]
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
