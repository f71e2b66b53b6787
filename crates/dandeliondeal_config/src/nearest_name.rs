//! Suggests valid names for a mistyped one.

/// Maximum edit distance, in characters, at which a name is suggested.
const DISTANCE_LIMIT: usize = 3;

/// Returns the candidate with the smallest edit distance to `name`, if it is within the limit.
pub(crate) fn nearest_name<'names, Names>(name: &str, candidates: Names) -> Option<&'names str>
where
    Names: IntoIterator<Item = &'names str>,
{
    candidates
        .into_iter()
        .filter(|candidate| candidate.len().abs_diff(name.len()) <= DISTANCE_LIMIT)
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= DISTANCE_LIMIT)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the nearest candidate in backticks, or a description of all candidates.
pub(crate) fn suggest_names<'names, Names>(name: &str, candidates: Names) -> String
where
    Names: IntoIterator<Item = &'names str>,
{
    let mut candidates: Vec<&str> = candidates.into_iter().collect();
    candidates.sort_unstable();
    candidates.dedup();
    if let Some(candidate) = nearest_name(name, candidates.iter().copied()) {
        return format!("`{candidate}`");
    }
    match candidates.len() {
        0 => "a name that the file defines".to_owned(),
        1..=12 => format!("one of {}", candidates.join(", ")),
        count => format!("one of {count} names that the file defines"),
    }
}

/// Returns the Levenshtein distance between two texts.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, left_char) in left.chars().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], index + 1);
        for (column, right_char) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(left_char != *right_char);
            diagonal = row[column + 1];
            row[column + 1] = substitution.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
