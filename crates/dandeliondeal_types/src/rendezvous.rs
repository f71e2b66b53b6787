//! Rendezvous hashing, which assigns a preferred member to each key.

use std::hash::Hasher;

/// Returns the index of the member with the highest score for `key`, or `None` without members.
///
/// Adding or removing a member reassigns only the keys for which that member is preferred.
/// `new_hasher` creates a new hasher for each member and must be the same on every instance.
///
/// # Examples
///
/// ```
/// use dandeliondeal_types::rendezvous::preferred_member;
/// use std::hash::DefaultHasher;
///
/// let members = ["a", "b", "c"];
/// let first = preferred_member("shard-7", &members, DefaultHasher::new);
/// assert_eq!(first, preferred_member("shard-7", &members, DefaultHasher::new));
/// ```
pub fn preferred_member<Member, MemberHasher, NewHasher>(
    key: &str,
    members: &[Member],
    new_hasher: NewHasher,
) -> Option<usize>
where
    Member: AsRef<str>,
    MemberHasher: Hasher,
    NewHasher: Fn() -> MemberHasher,
{
    let score = |member: &Member| {
        let mut hasher = new_hasher();
        hasher.write(member.as_ref().as_bytes());
        hasher.write_u8(0);
        hasher.write(key.as_bytes());
        hasher.finish()
    };
    (0..members.len()).max_by_key(|&index| score(&members[index]))
}
