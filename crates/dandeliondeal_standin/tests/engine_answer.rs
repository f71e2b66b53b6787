//! Test that a pipeline of two engines over sockets returns the correct answer.

use std::time::Duration;

use awc::Client;
use dandeliondeal_standin::{EngineSettings, EngineStandin, reference_answer};
use dandeliondeal_types::{LayerRange, StepAnswer, StepCall, StepName};

const MODEL: &str = "model-a";
const LAYERS: u32 = 8;
const TOKENS: usize = 5;
const TIMEOUT: Duration = Duration::from_secs(5);

fn engine(start: u32, end: u32) -> EngineStandin {
    EngineStandin::start(EngineSettings {
        layers: LAYERS,
        range: LayerRange::new(start, end),
        ..EngineSettings::default()
    })
    .unwrap()
}

async fn step(
    engine: &EngineStandin,
    range: LayerRange,
    position: u64,
    inputs: Vec<u64>,
) -> Vec<u64> {
    let call = StepCall {
        name: StepName {
            request: "request-1".into(),
            lineage: 1,
            position,
            range,
        },
        model: MODEL.into(),
        inputs: inputs.into(),
        life_milliseconds: 0,
        priority: 0,
    };
    let url = format!("http://{}/steps", engine.address());
    let mut response = Client::default()
        .post(url)
        .timeout(TIMEOUT)
        .send_body(serde_json::to_vec(&call).unwrap())
        .await
        .unwrap();
    assert_eq!(response.status().as_u16(), 200);
    let answer: StepAnswer = serde_json::from_slice(&response.body().await.unwrap()).unwrap();
    assert_eq!(answer.name, call.name);
    answer.outputs.to_vec()
}

#[actix_rt::test]
async fn pipeline_answer() {
    let (first, second) = (engine(0, 3), engine(3, 8));
    let prompt = vec![104, 101, 108];
    let mut inputs = prompt.clone();
    let mut position = 0;
    let mut answer = Vec::new();
    while answer.len() < TOKENS {
        let count = inputs.len() as u64;
        let activations = step(&first, LayerRange::new(0, 3), position, inputs).await;
        let tokens = step(&second, LayerRange::new(3, 8), position, activations).await;
        position += count;
        let next_token = *tokens.last().unwrap();
        answer.push(next_token);
        inputs = vec![next_token];
    }
    assert_eq!(answer, reference_answer(MODEL, LAYERS, &prompt, TOKENS));
    let positions: Vec<_> = first.ledger().iter().map(|entry| entry.position).collect();
    assert_eq!(positions, (0..position).collect::<Vec<_>>());
}
