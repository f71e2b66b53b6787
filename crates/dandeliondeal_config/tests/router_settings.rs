//! Settings of a router.

use std::time::Duration;

use dandeliondeal_config::{GradingMode, RouterSettings, StoreSettings};

/// The settings without a default.
const REQUIRED: &str = "[instance]\nid = r1\nfailure_domain = didube\nregion = tbilisi\n\
    [endpoints]\ncallers = 127.0.0.1:8080\nreadiness = 127.0.0.1:8083\n\
    [store]\naddress = 127.0.0.1:8090\n";

#[test]
fn grading_mode() {
    let parse = |text: &str| RouterSettings::parse("router.ini", &format!("{REQUIRED}{text}"));
    let mode = |text: &str| parse(text).map(|settings| settings.grading.mode);
    assert_eq!(mode(""), Ok(GradingMode::Auto));
    assert_eq!(mode("[grading]\nmode = auto\n"), Ok(GradingMode::Auto));
    assert_eq!(mode("[grading]\nmode = on\n"), Ok(GradingMode::On));
    assert_eq!(mode("[grading]\nmode = off\n"), Ok(GradingMode::Off));
    let errors = mode("[grading]\nmode = maybe\n").expect_err("an unknown mode");
    assert!(errors[0].to_string().contains("auto, on or off"));
}

#[test]
fn default_text() {
    let text = RouterSettings::default_text();
    assert!(text.contains("[grading]"));
    assert!(text.contains("; mode = auto"));
}

/// A watch on a connection that stops responding must end in time for its changes to be read again
/// within the contact window; settings with which it does not are refused at the start.
#[test]
fn contact_window() {
    let parse = |store: &str| RouterSettings::parse("router.ini", &format!("{REQUIRED}{store}"));
    assert!(parse("").is_ok());
    let defaults = StoreSettings::default();
    assert!(defaults.max_staleness() < Duration::from_secs(3));
    for store in [
        "watch_limit = 3 s\n",
        "timeout = 2 s\n",
        "contact_window = 2 s\n",
    ] {
        let errors = parse(store).expect_err("changes would be known too late");
        assert!(
            errors[0].to_string().contains("watch_limit"),
            "{}",
            errors[0]
        );
    }
    assert!(parse("watch_limit = 3 s\ncontact_window = 5 s\n").is_ok());
}
