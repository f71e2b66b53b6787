//! Settings of a router.

use dandeliondeal_config::{GradingMode, RouterSettings};

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
