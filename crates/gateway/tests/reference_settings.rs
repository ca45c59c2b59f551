//! The page with every setting loads and states the defaults.

#![allow(clippy::unwrap_used)]

use teaselcroft_gateway::{Bounds, Settings};

const REFERENCE: &str = include_str!("../../../docs/entry-settings.yaml");

/// The reference without the line that begins with `key`.
fn without(key: &str) -> String {
    REFERENCE.lines().filter(|line| !line.starts_with(&format!("{key}:"))).map(|line| format!("{line}\n")).collect()
}

#[test]
fn the_reference_settings_load_and_state_the_defaults() {
    let settings = Settings::parse(REFERENCE).unwrap();
    let (required, _) = REFERENCE.split_once("\nbounds:").unwrap();
    let defaults = Settings::parse(required).unwrap();
    let metrics_default = Settings::parse(&without("metrics_port")).unwrap();
    let seeds_default = Settings::parse(&without("seeds")).unwrap();

    assert_eq!(settings.bounds, Bounds::default());
    assert_eq!(defaults.bounds, Bounds::default());
    assert_eq!(settings.metrics_port, metrics_default.metrics_port);
    assert_eq!(settings.seeds, seeds_default.seeds);
}

#[test]
fn a_missing_setting_is_named() {
    let required = [
        "daemon",
        "zone",
        "ip",
        "front",
        "ready",
        "directory",
        "peer",
        "heartbeat_port",
        "store",
        "memory_mb",
        "cpu_share",
    ];

    for key in required {
        let error = Settings::parse(&without(key)).unwrap_err();

        assert!(error.contains(&format!("`{key}`")), "{key}: {error}");
    }
}
