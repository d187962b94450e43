//! Serialisation of enumerations in JSON by name.

macro_rules! enum_by_name {
    ($module:ident, $kind:ty) => {
        /// Serialises the enumeration as the lower-case name of its value.
        pub mod $module {
            use serde::{Deserialize, Deserializer, Serializer, de::Error};

            /// Serialises a value as its lower-case name; an unknown number becomes the default
            /// value.
            pub fn serialize<S>(value: &i32, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: Serializer,
            {
                let value = <$kind>::try_from(*value).unwrap_or_default();
                serializer.serialize_str(&value.as_str_name().to_lowercase())
            }

            /// Deserialises a value from its name; an unknown name is an error.
            pub fn deserialize<'de, D>(deserializer: D) -> Result<i32, D::Error>
            where
                D: Deserializer<'de>,
            {
                let name = String::deserialize(deserializer)?;
                <$kind>::from_str_name(&name.to_uppercase())
                    .map(|value| value as i32)
                    .ok_or_else(|| D::Error::custom(format!("unknown name {name:?}")))
            }
        }
    };
}

enum_by_name!(job_state, crate::JobState);
enum_by_name!(task_outcome, crate::TaskOutcome);
