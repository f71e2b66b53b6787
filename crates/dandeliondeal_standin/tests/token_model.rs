//! Tests that the answer of the model depends on every layer and the whole session.

use dandeliondeal_standin::reference_answer;
use dandeliondeal_standin::token_model::{LayerCache, token_from_activation};
use dandeliondeal_types::LayerRange;

const MODEL: &str = "model-a";
const PROMPT: [u64; 3] = [3, 1, 2];

fn stage(start: u32, end: u32) -> LayerCache {
    LayerCache::new(MODEL, LayerRange::new(start, end))
}

/// Returns the answer of three stages if `run_second` processes the second position.
fn answer<RunSecond>(run_second: RunSecond) -> Vec<u64>
where
    RunSecond: Fn(&mut [LayerCache; 3], u64) -> u64,
{
    let mut stages = [stage(0, 2), stage(2, 3), stage(3, 8)];
    let run_stages = |stages: &mut [LayerCache; 3], input| {
        stages
            .iter_mut()
            .fold(input, |activation, stage| stage.run(activation))
    };
    run_stages(&mut stages, PROMPT[0]);
    run_second(&mut stages, PROMPT[1]);
    let mut token = token_from_activation(run_stages(&mut stages, PROMPT[2]));
    let mut tokens = Vec::new();
    while tokens.len() < 4 {
        tokens.push(token);
        token = token_from_activation(run_stages(&mut stages, token));
    }
    tokens
}

#[test]
fn every_layer_once() {
    let reference = reference_answer(MODEL, 8, &PROMPT, 4);
    let complete = answer(|stages, input| {
        stages
            .iter_mut()
            .fold(input, |activation, stage| stage.run(activation))
    });
    assert_eq!(complete, reference);
    let skipped = answer(|[first, _, last], input| last.run(first.run(input)));
    let repeated = answer(|[first, second, last], input| {
        let middle = first.run(input);
        second.run(middle);
        last.run(second.run(middle))
    });
    let swapped = answer(|[first, second, last], input| last.run(first.run(second.run(input))));
    let unprocessed = answer(|_, input| input);
    for wrong in [skipped, repeated, swapped, unprocessed] {
        assert_ne!(wrong, reference);
    }
}

#[test]
fn session_isolation() {
    let mut other_session = stage(2, 3);
    other_session.run(77);
    let crossed = answer(move |[first, _, last], input| {
        last.run(other_session.clone().run(first.run(input)))
    });
    assert_ne!(crossed, reference_answer(MODEL, 8, &PROMPT, 4));
    assert_ne!(
        reference_answer("model-b", 8, &PROMPT, 4),
        reference_answer(MODEL, 8, &PROMPT, 4)
    );
}
