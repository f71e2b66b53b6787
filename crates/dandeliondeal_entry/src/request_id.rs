//! Ids of requests: unique over all instances, and with the shard where a claim may be found.

use dandeliondeal_claim::ShardIndex;
use dandeliondeal_types::{Incarnation, InstanceId, RequestId};

/// Separates the shard from the rest of an id.
const SHARD_MARK: &str = "-s";

/// The id of the request with this number at an instance.
pub fn request_id(
    instance: &InstanceId,
    incarnation: Incarnation,
    number: u64,
    shard: Option<ShardIndex>,
) -> RequestId {
    let mark = shard.map_or_else(String::new, |shard| format!("{SHARD_MARK}{shard}"));
    format!("{instance}-{incarnation:x}-{number}{mark}").into()
}

/// The instance and process start that an id names.
pub fn owner_of(id: &str) -> Option<(&str, Incarnation)> {
    let id = id.rsplit_once(SHARD_MARK).map_or(id, |(rest, _shard)| rest);
    let (process, _number) = id.rsplit_once('-')?;
    let (instance, incarnation) = process.rsplit_once('-')?;
    let incarnation = Incarnation::from_str_radix(incarnation, 16).ok()?;
    Some((instance, incarnation))
}

/// The shard that an id names.
pub fn shard_of(id: &str) -> Option<ShardIndex> {
    let (_rest, shard) = id.rsplit_once(SHARD_MARK)?;
    shard.parse().ok()
}
