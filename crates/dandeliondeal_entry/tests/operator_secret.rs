//! The operator API requires the operator secret for metrics, but not for health checks.

mod common;

use awc::Client;
use common::{TestSite, engine_settings, test_settings};
use dandeliondeal_config::{EntrySettings, SecretSettings, SecretText};
use dandeliondeal_types::LayerRange;

async fn request_status(site: &TestSite, path: &str, secret: Option<&str>) -> u16 {
    let url = format!("http://{}{path}", site.entry.operator_address());
    let mut request = Client::default().get(url);
    if let Some(secret) = secret {
        request = request.insert_header(("authorization", format!("Bearer {secret}")));
    }
    request.send().await.unwrap().status().as_u16()
}

#[actix_rt::test]
async fn metrics_secret() {
    let secrets = SecretSettings {
        operator: SecretText::new("operator-secret"),
        ..SecretSettings::default()
    };
    let settings = EntrySettings {
        secrets,
        ..test_settings()
    };
    let site = TestSite::start(settings, vec![engine_settings(LayerRange::new(0, 8))]).await;
    assert_eq!(request_status(&site, "/metrics", None).await, 401);
    assert_eq!(
        request_status(&site, "/metrics", Some("operator-secre")).await,
        401
    );
    assert_eq!(
        request_status(&site, "/metrics", Some("operator-secret")).await,
        200
    );
    assert_eq!(request_status(&site, "/health/live", None).await, 200);
}
