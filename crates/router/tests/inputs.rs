//! Arbitrary input from callers, peers, the platform and settings files never causes a panic.

#![allow(clippy::expect_used)]

use quickcheck::{Gen, QuickCheck};
use teaselcroft_policy::Questionnaire;
use teaselcroft_router::engine::{GenerateWire, OrderWire, ReportWire};
use teaselcroft_router::vm_list::Vms;
use teaselcroft_router::{ChatRequest, Settings, fuzz_peer_message};

const CASES: u64 = 10_000;
const SETTINGS: &str = include_str!("../../../docs/settings.yaml");
const CHAT: &str = r#"{"model":"quick-question","stream":true,"messages":[{"role":"user","content":"weed?"}]}"#;
const QUESTIONNAIRE: &str = include_str!("../../../sites/reservoir/harvest.yaml");

fn check_property<A: quickcheck::Testable>(property: A) {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1)).tests(CASES).quickcheck(property);
}

/// Applies `edits` to the bytes of `text`: each removes, inserts or overwrites one byte.
fn mutated(text: &str, edits: Vec<(u16, u8)>) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for (position, byte) in edits {
        let index = usize::from(position) % bytes.len().max(1);
        match byte % 3 {
            0 if bytes.len() > 1 => {
                bytes.remove(index);
            }
            1 => bytes.insert(index, byte),
            _ => bytes[index] = byte,
        }
    }
    bytes
}

#[test]
fn chat_requests_never_panic() {
    fn holds(edits: Vec<(u16, u8)>, noise: Vec<u8>) -> bool {
        if let Ok(request) = ChatRequest::parse(&mutated(CHAT, edits)) {
            let customer = "c1".parse().expect("a name");
            let _ = (request.fingerprint(&customer), request.prefix(), request.prompt_tokens());
        }
        ChatRequest::parse(&noise).is_err()
    }
    check_property(holds as fn(Vec<(u16, u8)>, Vec<u8>) -> bool);
}

#[test]
fn settings_never_panic() {
    fn holds(edits: Vec<(u16, u8)>) -> bool {
        let text = String::from_utf8_lossy(&mutated(SETTINGS, edits)).into_owned();
        Settings::parse(&text).is_ok_and(|settings| settings.limits.slots > 0) || Settings::parse(&text).is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 1))
        .tests(CASES / 10)
        .quickcheck(holds as fn(Vec<(u16, u8)>) -> bool);
}

#[test]
fn questionnaires_never_panic() {
    fn holds(edits: Vec<(u16, u8)>) -> bool {
        let text = String::from_utf8_lossy(&mutated(QUESTIONNAIRE, edits)).into_owned();
        let read: Result<Questionnaire, _> = serde_saphyr::from_str(&text);
        let Ok(answers) = read else {
            return true;
        };
        let accepted = answers.check().is_ok();
        accepted == teaselcroft_policy::TeamConfig::generate(answers, 1, String::new()).is_ok()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 1))
        .tests(CASES / 10)
        .quickcheck(holds as fn(Vec<(u16, u8)>) -> bool);
}

#[test]
fn peer_and_platform_messages_never_panic() {
    fn holds(noise: Vec<u8>) -> bool {
        fuzz_peer_message(&noise);
        let _: Result<Vms, _> = serde_json::from_slice(&noise);
        let _: Result<GenerateWire, _> = serde_json::from_slice(&noise);
        let _: Result<OrderWire, _> = serde_json::from_slice(&noise);
        let _: Result<ReportWire, _> = serde_json::from_slice(&noise);
        true
    }
    check_property(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn the_reference_settings_load() {
    let settings = Settings::parse(SETTINGS).expect("the reference settings are valid");

    assert_eq!(settings.daemon.as_str(), "entry-1");
}

#[test]
fn an_invalid_setting_is_named_with_its_line() {
    let unknown = SETTINGS.replace("zone: fayon", "zoned: fayon");
    let out_of_bounds = SETTINGS.replace("slots: 8", "slots: 0");

    let unknown = Settings::parse(&unknown).expect_err("an unknown key is refused");
    let out_of_bounds = Settings::parse(&out_of_bounds).expect_err("a value out of bounds is refused");

    assert!(unknown.contains("zoned") && unknown.contains("line"), "{unknown}");
    assert!(out_of_bounds.contains("limits.slots"), "{out_of_bounds}");
}

#[test]
fn debug_output_hides_keys() {
    let settings = Settings::parse(SETTINGS).expect("the reference settings are valid");

    let debug = format!("{settings:?}");

    assert!(!debug.contains("change-this"), "{debug}");
}
