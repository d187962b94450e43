//! Names of enumerations in JSON.

macro_rules! named {
    ($module:ident, $kind:ty) => {
        /// Writes the enumeration as its lower-case name.
        pub mod $module {
            use serde::{Deserialize, Deserializer, Serializer, de::Error};

            /// Writes the name of a value.
            pub fn serialize<S>(value: &i32, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: Serializer,
            {
                let kind = <$kind>::try_from(*value).unwrap_or_default();
                serializer.serialize_str(&kind.as_str_name().to_lowercase())
            }

            /// Reads a value from its name.
            pub fn deserialize<'de, D>(deserializer: D) -> Result<i32, D::Error>
            where
                D: Deserializer<'de>,
            {
                let name = String::deserialize(deserializer)?;
                <$kind>::from_str_name(&name.to_uppercase())
                    .map(|kind| kind as i32)
                    .ok_or_else(|| D::Error::custom(format!("unknown name {name:?}")))
            }
        }
    };
}

named!(job_state, crate::JobState);
named!(task_outcome, crate::TaskOutcome);
