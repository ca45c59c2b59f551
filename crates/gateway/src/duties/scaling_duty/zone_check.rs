//! Whether a rule for ordering runners names the zones that there are.

use std::collections::BTreeSet;

use teaselcroft_parts::ZoneName;
use teaselcroft_policy::ScalingRule;

/// Checks the zones of a rule: `present` are those of the service's runners, `known` those of any runner.
///
/// # Errors
///
/// No runner of the service is known yet, a zone of its runners has no price, or a zone with a price has no runners. The
/// error is the key below `scaling` and the reason.
pub fn check_zones(
    rule: &ScalingRule,
    present: &BTreeSet<ZoneName>,
    known: &BTreeSet<ZoneName>,
) -> Result<(), (String, String)> {
    let key = |zone: &ZoneName| format!("zone_prices.{zone}");
    if let Some(zone) = rule.zone_prices.keys().find(|zone| !known.contains(*zone)) {
        return Err((key(zone), "no runner is in this zone".to_owned()));
    }
    if let Some(zone) = present.iter().find(|zone| !rule.zone_prices.contains_key(*zone)) {
        return Err((key(zone), "runners are in this zone, but it has no price".to_owned()));
    }
    if present.is_empty() {
        return Err((String::new(), "the service has no runners yet".to_owned()));
    }
    Ok(())
}
