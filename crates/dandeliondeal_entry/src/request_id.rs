//! Request ids: unique across all instances, with the shard that may have a claim of the request.

use dandeliondeal_claim::ShardIndex;
use dandeliondeal_types::{Incarnation, InstanceId, RequestId};

/// Separates the shard from the rest of an id.
const SHARD_MARK: &str = "-s";

/// Returns the id of the request with number `number` at an instance.
pub fn request_id(
    instance: &InstanceId,
    incarnation: Incarnation,
    number: u64,
    shard: Option<ShardIndex>,
) -> RequestId {
    let mark = shard.map_or_else(String::new, |shard| format!("{SHARD_MARK}{shard}"));
    format!("{instance}-{incarnation:x}-{number}{mark}").into()
}

/// Returns the instance and incarnation in a request id.
pub fn owner_of(id: &str) -> Option<(&str, Incarnation)> {
    let id = id.rsplit_once(SHARD_MARK).map_or(id, |(rest, _shard)| rest);
    let (process, _number) = id.rsplit_once('-')?;
    let (instance, incarnation) = process.rsplit_once('-')?;
    let incarnation = Incarnation::from_str_radix(incarnation, 16).ok()?;
    Some((instance, incarnation))
}

/// Returns the shard in a request id.
pub fn shard_of(id: &str) -> Option<ShardIndex> {
    let (_rest, shard) = id.rsplit_once(SHARD_MARK)?;
    shard.parse().ok()
}
