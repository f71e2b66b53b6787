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
    (0..members.len()).max_by_key(|&index| score(key, members[index].as_ref(), &new_hasher))
}

/// Returns how many of `others` have a higher score for `key` than `member`.
///
/// # Examples
///
/// ```
/// use dandeliondeal_types::rendezvous::{member_rank, preferred_member};
/// use std::hash::DefaultHasher;
///
/// let members = ["a", "b", "c"];
/// let first = preferred_member("shard-7", &members, DefaultHasher::new);
/// let first = members[first.expect("a member")];
/// assert_eq!(member_rank("shard-7", first, &members, DefaultHasher::new), 0);
/// ```
pub fn member_rank<Member, MemberHasher, NewHasher>(
    key: &str,
    member: &str,
    others: &[Member],
    new_hasher: NewHasher,
) -> usize
where
    Member: AsRef<str>,
    MemberHasher: Hasher,
    NewHasher: Fn() -> MemberHasher,
{
    let own_score = score(key, member, &new_hasher);
    let is_higher = |other: &&Member| score(key, other.as_ref(), &new_hasher) > own_score;
    others.iter().filter(is_higher).count()
}

fn score<MemberHasher, NewHasher>(key: &str, member: &str, new_hasher: &NewHasher) -> u64
where
    MemberHasher: Hasher,
    NewHasher: Fn() -> MemberHasher,
{
    let mut hasher = new_hasher();
    hasher.write(member.as_bytes());
    hasher.write_u8(0);
    hasher.write(key.as_bytes());
    hasher.finish()
}
