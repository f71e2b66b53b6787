//! Rendezvous hashing: the preferred member for a key.

use std::hash::Hasher;

/// Returns the index of the member that scores highest for `key`.
///
/// Adding or removing a member moves only the keys that it wins or had won. `hasher` makes a fresh
/// hasher for each member, and must be the same function on every instance.
///
/// # Examples
///
/// ```
/// use dandeliondeal_types::rendezvous::preferred;
/// use std::hash::DefaultHasher;
///
/// let members = ["a", "b", "c"];
/// let first = preferred("shard-7", &members, DefaultHasher::new);
/// assert_eq!(first, preferred("shard-7", &members, DefaultHasher::new));
/// ```
pub fn preferred<Member, Hash, Make>(key: &str, members: &[Member], hasher: Make) -> Option<usize>
where
    Member: AsRef<str>,
    Hash: Hasher,
    Make: Fn() -> Hash,
{
    let score = |member: &Member| {
        let mut hash = hasher();
        hash.write(member.as_ref().as_bytes());
        hash.write_u8(0);
        hash.write(key.as_bytes());
        hash.finish()
    };
    (0..members.len()).max_by_key(|&index| score(&members[index]))
}
