//! Name of a fleet in the handshake of a session.
//!
//! The name follows the process's own name in the `name` field, after a space, which no other name
//! contains. Older processes ignore the name in a hello but compare the one in a welcome, so a
//! welcome has the fleet's name only in response to a hello that has one.

use std::sync::Arc;

/// Name of a fleet; addresses may be reassigned between fleets.
pub type FleetName = Arc<str>;

const SEPARATOR: char = ' ';
/// Maximum length of a fleet's name, in bytes.
const MAX_FLEET_NAME_BYTES: usize = 128;

/// Returns whether two processes belong to different fleets: both have a name and the names differ.
///
/// A process without a name matches any. Otherwise an upgrade would split a fleet in two.
pub fn fleets_differ(own: Option<&FleetName>, other: Option<&FleetName>) -> bool {
    matches!((own, other), (Some(own), Some(other)) if own != other)
}

/// Returns the problem of the setting `fleet`, or `None` if the name is valid or absent.
pub fn fleet_name_problem(name: Option<&FleetName>) -> Option<String> {
    let name = name?;
    let is_valid = !name.is_empty()
        && name.len() <= MAX_FLEET_NAME_BYTES
        && name.chars().all(|c| c.is_ascii_graphic());
    (!is_valid).then(|| {
        format!(
            "fleet: found {name:?}, expected 1 to {MAX_FLEET_NAME_BYTES} printable ASCII \
             characters without spaces"
        )
    })
}

/// Returns the content of the `name` field.
pub(crate) fn join_names(process: &str, fleet: Option<&FleetName>) -> String {
    match fleet {
        Some(fleet) => format!("{process}{SEPARATOR}{fleet}"),
        None => process.to_owned(),
    }
}

/// Splits the content of the `name` field into the names of process and fleet.
pub(crate) fn split_names(joined: String) -> (String, Option<FleetName>) {
    match joined.split_once(SEPARATOR) {
        Some((process, fleet)) => (process.to_owned(), Some(fleet.into())),
        None => (joined, None),
    }
}
