//! HTTP calls that read the state of engines and send them orders.

use std::net::SocketAddr;
use std::time::Duration;

use dandeliondeal_order::{EndpointOrder, EngineContent, OrderAnswer};
use dandeliondeal_store::SendFailure;

use crate::http_pool::HttpPool;

/// Maximum wait for the state of an engine.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Reads the state of an engine; returns `None` if there is no valid answer.
pub async fn read_content(pool: &HttpPool, address: SocketAddr) -> Option<EngineContent> {
    let call = async {
        let request = pool.client(true).get(format!("http://{address}/orders"));
        let mut answer = request.send().await.ok()?;
        if !answer.status().is_success() {
            return None;
        }
        let body = answer.body().limit(MAX_ANSWER_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    actix_rt::time::timeout(READ_TIMEOUT, call).await.ok()?
}

/// Sends an order once, over a new connection.
pub async fn send_order(
    pool: &HttpPool,
    address: SocketAddr,
    order: &EndpointOrder,
) -> OrderAnswer {
    let wait = Duration::from_millis(order.life_milliseconds);
    let request = pool.client(true).post(format!("http://{address}/orders"));
    match actix_rt::time::timeout(wait, request.send_json(order)).await {
        Err(_elapsed) => OrderAnswer::Lost,
        Ok(Err(error)) => match SendFailure::classify(&error) {
            SendFailure::NotSent => OrderAnswer::Refused,
            SendFailure::AnswerLost => OrderAnswer::Lost,
        },
        Ok(Ok(answer)) if answer.status().is_success() => OrderAnswer::Applied,
        Ok(Ok(answer)) if answer.status().is_client_error() => OrderAnswer::Refused,
        Ok(Ok(_answer)) => OrderAnswer::Lost,
    }
}
