//! Tests of the sessions, orders and wrong answers of an engine, over sockets.

mod common;

use std::time::Duration;

use common::{Answer, Connection, SILENCE_TIMEOUT, call, set_faults, wait_until};
use dandeliondeal_standin::{EngineSettings, EngineStandin, reference_answer};
use dandeliondeal_types::{LayerRange, StepCall, StepName};
use serde_json::json;

const MODEL: &str = "model-a";

fn engine() -> EngineStandin {
    start(EngineSettings::default())
}

fn start(settings: EngineSettings) -> EngineStandin {
    EngineStandin::start(settings).unwrap()
}

fn step_body(request: &str, lineage: u32, position: u64, inputs: &[u64]) -> String {
    let call = StepCall {
        name: StepName {
            request: request.into(),
            lineage,
            position,
            range: LayerRange::new(0, 8),
        },
        model: MODEL.into(),
        inputs: inputs.into(),
        life_milliseconds: 0,
        priority: 0,
    };
    serde_json::to_string(&call).unwrap()
}

async fn step(engine: &EngineStandin, lineage: u32, position: u64, inputs: &[u64]) -> Answer {
    let body = step_body("r", lineage, position, inputs);
    call(engine.address(), "POST /steps", "", &body).await
}

fn actual_refusal(answer: &Answer) -> (u16, String) {
    (answer.status, answer.code())
}

fn expected_refusal(status: u16, code: &str) -> (u16, String) {
    (status, code.to_owned())
}

#[actix_rt::test]
async fn repeated_step() {
    let engine = engine();
    let first = step(&engine, 1, 0, &[5, 6]).await;
    let repeated = step(&engine, 1, 0, &[5, 6]).await;
    assert_eq!(first.body, repeated.body);
    assert_eq!(engine.ledger().len(), 2);
    let gap = step(&engine, 1, 3, &[7]).await;
    assert_eq!(actual_refusal(&gap), expected_refusal(409, "position"));
    assert_eq!(gap.json()["error"]["expected"], 2);
    assert_eq!(
        actual_refusal(&step(&engine, 0, 2, &[7]).await),
        expected_refusal(409, "lineage")
    );
    assert_eq!(
        actual_refusal(&step(&engine, 2, 2, &[7]).await),
        expected_refusal(409, "lineage")
    );
    assert_eq!(engine.ledger().len(), 2);
    assert_eq!(step(&engine, 2, 0, &[5]).await.status, 200);
    assert_eq!(
        actual_refusal(&step(&engine, 1, 2, &[7]).await),
        expected_refusal(409, "lineage")
    );
}

#[actix_rt::test]
async fn refused_steps() {
    let engine = start(EngineSettings {
        capacity: 1,
        ..EngineSettings::default()
    });
    assert_eq!(
        actual_refusal(&step(&engine, 1, 4, &[1]).await),
        expected_refusal(410, "gone")
    );
    let range_body = step_body("r", 1, 0, &[1]).replace("\"end\":8", "\"end\":9");
    let range_answer = call(engine.address(), "POST /steps", "", &range_body).await;
    assert_eq!(
        actual_refusal(&range_answer),
        expected_refusal(422, "range")
    );
    let malformed = call(engine.address(), "POST /steps", "", "{").await;
    assert_eq!(
        actual_refusal(&malformed),
        expected_refusal(400, "malformed")
    );
    assert_eq!(step(&engine, 1, 0, &[1]).await.status, 200);
    let other_body = step_body("other", 1, 0, &[1]);
    let busy = call(engine.address(), "POST /steps", "", &other_body).await;
    assert_eq!(actual_refusal(&busy), expected_refusal(429, "busy"));
    set_faults(engine.address(), r#"{"leaving":true}"#).await;
    let leaving = call(engine.address(), "POST /steps", "", &other_body).await;
    assert_eq!(actual_refusal(&leaving), expected_refusal(503, "leaving"));
    assert_eq!(step(&engine, 1, 1, &[2]).await.status, 200);
    assert_eq!(engine.ledger().len(), 2);
}

#[actix_rt::test]
async fn concurrent_steps() {
    let engine = start(EngineSettings {
        layer_microseconds: 10_000,
        ..EngineSettings::default()
    });
    let body = step_body("r", 1, 0, &[5]);
    let mut early = Connection::open(engine.address()).await;
    let mut late = Connection::open(engine.address()).await;
    early.send("POST /steps", "", &body).await;
    late.send("POST /steps", "", &body).await;
    let answers = (
        early.receive().await.unwrap(),
        late.receive().await.unwrap(),
    );
    assert_eq!(answers.0.body, answers.1.body);
    assert_eq!(engine.ledger().len(), 1);
}

#[actix_rt::test]
async fn transferred_cache() {
    let (source, target) = (engine(), engine());
    step(&source, 1, 0, &[5, 6]).await;
    let cache = call(source.address(), "GET /sessions/r/cache", "", "").await;
    assert_eq!(cache.status, 200);
    let method_path = "PUT /sessions/r/cache?lineage=2";
    let status = call(target.address(), method_path, "", &cache.body).await;
    assert_eq!(status.json()["next_position"], 2);
    assert_eq!(
        call(target.address(), method_path, "", &cache.body)
            .await
            .status,
        200
    );
    let tokens = reference_answer(MODEL, 8, &[5, 6], 2);
    let answer = step(&target, 2, 2, &tokens[..1]).await;
    assert_eq!(answer.json()["outputs"], json!([tokens[1]]));
    let other = start(EngineSettings {
        model: "model-b".into(),
        ..EngineSettings::default()
    });
    assert_eq!(
        call(other.address(), method_path, "", &cache.body)
            .await
            .status,
        422
    );
    assert_eq!(
        call(target.address(), "GET /sessions/x/cache", "", "")
            .await
            .status,
        404
    );
}

#[actix_rt::test]
async fn session_lifetime() {
    let engine = engine();
    step(&engine, 1, 0, &[5]).await;
    let renewal = "POST /sessions/r/renewal";
    let life = r#"{"life_milliseconds":1}"#;
    assert_eq!(call(engine.address(), renewal, "", life).await.status, 204);
    wait_until(|| engine.session_count() == 0).await;
    assert_eq!(call(engine.address(), renewal, "", life).await.status, 404);
    assert_eq!(
        call(engine.address(), "GET /sessions/r", "", "")
            .await
            .status,
        404
    );
    step(&engine, 1, 0, &[5]).await;
    let status = call(engine.address(), "GET /sessions/r", "", "").await;
    assert_eq!(status.json()["next_position"], 1);
    assert_eq!(
        call(engine.address(), "GET /load", "", "").await.json()["sessions"],
        1
    );
    assert_eq!(
        call(engine.address(), "DELETE /sessions/r", "", "")
            .await
            .status,
        204
    );
    assert_eq!(
        actual_refusal(&step(&engine, 1, 1, &[5]).await),
        expected_refusal(410, "gone")
    );
}

#[actix_rt::test]
async fn wrong_answers() {
    let engine = engine();
    for kind in ["range", "position", "request", "malformed", "oversized"] {
        let good = step(&engine, 1, 0, &[5]).await;
        let faults = format!(r#"{{"bad_answers":1,"bad_answer":"{kind}"}}"#);
        set_faults(engine.address(), &faults).await;
        assert_ne!(step(&engine, 1, 0, &[5]).await.body, good.body, "{kind}");
    }
    assert_eq!(engine.ledger().len(), 1);
}

#[actix_rt::test]
async fn stale_fencing_number() {
    for checks_fencing in [true, false] {
        let engine = start(EngineSettings {
            checks_fencing,
            ..EngineSettings::default()
        });
        let order_body =
            |fence: u64, role: &str| json!({"fencing_number": fence, "role": role}).to_string();
        let address = engine.address();
        assert_eq!(
            call(address, "POST /orders", "", &order_body(7, "decode"))
                .await
                .status,
            200
        );
        let stale = call(address, "POST /orders", "", &order_body(6, "prefill")).await;
        assert_eq!(stale.status, if checks_fencing { 409 } else { 200 });
        let role = call(address, "GET /orders", "", "").await.json()["role"].clone();
        assert_eq!(role, if checks_fencing { "decode" } else { "prefill" });
    }
}

#[actix_rt::test]
async fn expired_order() {
    let engine = start(EngineSettings {
        weight_load_duration: Duration::from_millis(20),
        ..EngineSettings::default()
    });
    let order = r#"{"fencing_number":1,"version":"2","life_milliseconds":10}"#;
    set_faults(engine.address(), r#"{"freeze":true}"#).await;
    let mut frozen = Connection::open(engine.address()).await;
    frozen.send("POST /orders", "", order).await;
    wait_until(|| engine.open_calls() == 1).await;
    actix_rt::time::sleep(SILENCE_TIMEOUT).await;
    set_faults(engine.address(), r#"{"freeze":false}"#).await;
    assert_eq!(
        actual_refusal(&frozen.receive().await.unwrap()),
        expected_refusal(409, "expired")
    );
    let present = call(engine.address(), "GET /orders", "", "").await;
    assert_eq!(present.json()["version"], "1");
    let valid_order = r#"{"fencing_number":1,"version":"2","life_milliseconds":60000}"#;
    assert_eq!(
        call(engine.address(), "POST /orders", "", valid_order)
            .await
            .status,
        200
    );
    let present = call(engine.address(), "GET /orders", "", "").await;
    assert_eq!(present.json()["version"], "2");
}
