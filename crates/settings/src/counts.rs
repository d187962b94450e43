//! Rejects counts that are written as 0, which the schema cannot tell from absent ones.

use serde_yaml_ng::Value;

use crate::error::{BadValueSnafu, SettingsError};

/// Keys of counts of which at least 1 is needed, as section and key.
const COUNTS: [(&str, &str, &str); 7] = [
    ("agent", "slots", "agent.slots"),
    ("agent", "cores", "agent.cores"),
    ("agent", "memory_mb", "agent.memory_mb"),
    ("limits", "tasks_per_job", "limits.tasks_per_job"),
    ("limits", "open_jobs", "limits.open_jobs"),
    ("limits", "connections", "limits.connections"),
    ("limits", "descriptors", "limits.descriptors"),
];

/// Checks that no count is written as 0.
///
/// # Errors
///
/// Returns an error that names the first such key.
pub(crate) fn reject_zero_counts(text: &str) -> Result<(), SettingsError> {
    let Ok(settings) = serde_yaml_ng::from_str::<Value>(text) else {
        // The typed parser reports the fault with its key.
        return Ok(());
    };
    for (section, name, key) in COUNTS {
        let count = settings.get(section).and_then(|section| section.get(name));
        if count.and_then(Value::as_u64) == Some(0) {
            let remedy = "give at least 1, or remove the key to use the default";
            return BadValueSnafu { key, value: "0", remedy }.fail();
        }
    }
    Ok(())
}
