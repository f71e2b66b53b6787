//! The model's answer depends on every layer, in order, over the whole session.

use dandeliondeal_standin::reference_answer;
use dandeliondeal_standin::token_model::{LayerCache, token_of};
use dandeliondeal_types::LayerRange;

const MODEL: &str = "model-a";
const PROMPT: [u64; 3] = [3, 1, 2];

fn stage(start: u32, end: u32) -> LayerCache {
    LayerCache::new(MODEL, LayerRange::new(start, end))
}

/// The answer of three stages after `disturb` has acted on one position.
fn answer<Disturb>(disturb: Disturb) -> Vec<u64>
where
    Disturb: Fn(&mut [LayerCache; 3], u64) -> u64,
{
    let mut stages = [stage(0, 2), stage(2, 3), stage(3, 8)];
    let undisturbed = |stages: &mut [LayerCache; 3], input| {
        stages.iter_mut().fold(input, |at, stage| stage.run(at))
    };
    undisturbed(&mut stages, PROMPT[0]);
    disturb(&mut stages, PROMPT[1]);
    let mut token = token_of(undisturbed(&mut stages, PROMPT[2]));
    let mut tokens = Vec::new();
    while tokens.len() < 4 {
        tokens.push(token);
        token = token_of(undisturbed(&mut stages, token));
    }
    tokens
}

#[test]
fn layers_once() {
    let reference = reference_answer(MODEL, 8, &PROMPT, 4);
    let whole = answer(|stages, input| stages.iter_mut().fold(input, |at, stage| stage.run(at)));
    assert_eq!(whole, reference);
    let skipped = answer(|[first, _, last], input| last.run(first.run(input)));
    let twice = answer(|[first, second, last], input| {
        let middle = first.run(input);
        second.run(middle);
        last.run(second.run(middle))
    });
    let swapped = answer(|[first, second, last], input| last.run(first.run(second.run(input))));
    let lost = answer(|_, input| input);
    for disturbed in [skipped, twice, swapped, lost] {
        assert_ne!(disturbed, reference);
    }
}

#[test]
fn sessions_apart() {
    let mut foreign = stage(2, 3);
    foreign.run(77);
    let crossed =
        answer(move |[first, _, last], input| last.run(foreign.clone().run(first.run(input))));
    assert_ne!(crossed, reference_answer(MODEL, 8, &PROMPT, 4));
    assert_ne!(
        reference_answer("model-b", 8, &PROMPT, 4),
        reference_answer(MODEL, 8, &PROMPT, 4)
    );
}
