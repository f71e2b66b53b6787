//! Runs one generation through the stages of its pipeline.

use std::sync::Arc;
use std::time::{Duration, Instant};

use dandeliondeal_types::sheet_model::EndpointTarget;
use dandeliondeal_types::{
    Clock, EndpointId, EngineClient, ErrorKind, LayerRange, ModelId, Position, RequestId,
    RequestStep, RouteError, SheetModel, StepCall, StepName, Token,
};
use tokio::sync::mpsc;

/// What to generate.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// The request.
    pub id: RequestId,
    /// Model to run.
    pub model: ModelId,
    /// Tokens of the prompt.
    pub prompt: Arc<[u64]>,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// Priority, 0 the lowest.
    pub priority: u8,
    /// Whether the caller's leaving ends it.
    pub repeatable: bool,
    /// When the wait is over.
    pub deadline: Instant,
}

/// Life of a session at an engine without another call.
const SESSION_LIFE: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct ChainStage {
    endpoint: EndpointId,
    range: LayerRange,
}

/// Generates the answer and sends its tokens in order.
///
/// # Errors
///
/// The error of the step that failed; the caller's leaving is one of them.
pub async fn generate<Engine, ClockSource>(
    engine: &Engine,
    clock: &ClockSource,
    sheet: &SheetModel,
    request: &GenerationRequest,
    tokens: &mpsc::Sender<Token>,
) -> Result<(), RouteError>
where
    Engine: EngineClient,
    ClockSource: Clock,
{
    let chain = first_chain(sheet, &request.model)?;
    let mut inputs = Arc::clone(&request.prompt);
    let mut position: Position = 0;
    for _ in 0..request.max_tokens {
        let width = inputs.len() as Position;
        for stage in &chain {
            let left = request.deadline.saturating_duration_since(clock.now());
            let call = StepCall {
                name: StepName {
                    request: Arc::clone(&request.id),
                    lineage: 1,
                    position,
                    range: stage.range,
                },
                model: Arc::clone(&request.model),
                inputs,
                life_milliseconds: u64::try_from(SESSION_LIFE.as_millis()).unwrap_or(u64::MAX),
                priority: request.priority,
            };
            inputs = engine
                .step(&stage.endpoint, call, left, false)
                .await?
                .outputs;
        }
        position += width;
        let token = last_token(&inputs)?;
        inputs = Arc::from([u64::from(token)]);
        if tokens.send(token).await.is_err() && request.repeatable {
            return Err(RouteError::new(
                ErrorKind::CallerLeft,
                RequestStep::Decode,
                "the caller left",
            ));
        }
    }
    for stage in &chain {
        drop(engine.cancel(&stage.endpoint, &request.id).await);
    }
    Ok(())
}

fn last_token(outputs: &[u64]) -> Result<Token, RouteError> {
    outputs
        .last()
        .and_then(|token| Token::try_from(*token).ok())
        .ok_or_else(|| {
            RouteError::new(
                ErrorKind::BadAnswer,
                RequestStep::Decode,
                "the last output is no token",
            )
        })
}

fn first_chain(sheet: &SheetModel, model: &ModelId) -> Result<Vec<ChainStage>, RouteError> {
    let layers = sheet.models.get(model).map_or(0, |entry| entry.layers);
    let mut chain: Vec<ChainStage> = Vec::new();
    let mut next = 0;
    while next < layers {
        let stage = sheet
            .endpoints
            .iter()
            .find_map(|(endpoint, entry)| match &entry.target {
                EndpointTarget::Layers { model: held, range }
                    if held == model && range.start <= next && next < range.end =>
                {
                    Some(ChainStage {
                        endpoint: Arc::clone(endpoint),
                        range: LayerRange::new(next, range.end),
                    })
                }
                _ => None,
            });
        let Some(stage) = stage else {
            return Err(RouteError::new(
                ErrorKind::Overloaded,
                RequestStep::Planning,
                format!("no endpoint holds layer {next} of {model}"),
            )
            .retry_after(Duration::from_secs(1)));
        };
        next = stage.range.end;
        chain.push(stage);
    }
    Ok(chain)
}
