//! Finds the known name that is nearest to a mistyped one.

/// Largest edit distance at which a name is still proposed.
const DISTANCE_LIMIT: usize = 3;

/// The known name with the smallest edit distance to `name`, if one is near.
pub(crate) fn nearest<'names, Names>(name: &str, known: Names) -> Option<&'names str>
where
    Names: IntoIterator<Item = &'names str>,
{
    known
        .into_iter()
        .filter(|other| other.len().abs_diff(name.len()) <= DISTANCE_LIMIT)
        .map(|other| (distance(name, other), other))
        .filter(|(distance, _)| *distance <= DISTANCE_LIMIT)
        .min()
        .map(|(_, other)| other)
}

/// Says which name is likely meant, or which names there are.
pub(crate) fn suggestion<'names, Names>(name: &str, known: Names) -> String
where
    Names: IntoIterator<Item = &'names str>,
{
    let mut known: Vec<&str> = known.into_iter().collect();
    known.sort_unstable();
    known.dedup();
    if let Some(other) = nearest(name, known.iter().copied()) {
        return format!("`{other}`");
    }
    match known.len() {
        0 => "a name that the file defines".to_owned(),
        1..=12 => format!("one of {}", known.join(", ")),
        count => format!("one of {count} names that the file defines"),
    }
}

fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, letter) in left.chars().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], index + 1);
        for (column, other) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(letter != *other);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
