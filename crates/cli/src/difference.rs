//! Compares two questionnaires, to show a conflict.

use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::Value;
use teaselcroft_policy::Questionnaire;

/// One answer that differs, as JSON text on both sides; `null` where the class or answer is
/// missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The class that the answer is for.
    pub class: String,
    /// The key of the answer.
    pub question: String,
    /// The answer in the first questionnaire.
    pub ours: String,
    /// The answer in the second.
    pub theirs: String,
}

/// All answers in which `ours` and `theirs` differ, by class and key; a class may be on one side
/// only.
pub fn differences(ours: &Questionnaire, theirs: &Questionnaire) -> Vec<Difference> {
    let names: BTreeSet<_> = ours.classes.keys().chain(theirs.classes.keys()).collect();
    let mut found = Vec::new();
    for name in names {
        let ours = serde_json::to_value(ours.classes.get(name)).unwrap_or_default();
        let theirs = serde_json::to_value(theirs.classes.get(name)).unwrap_or_default();
        found.extend(class_differences(name.as_str(), &ours, &theirs));
    }
    found
}

fn class_differences(class: &str, ours: &Value, theirs: &Value) -> Vec<Difference> {
    let keys = |value: &Value| value.as_object().map(|map| map.keys().cloned().collect::<BTreeSet<_>>());
    let questions: BTreeSet<String> = keys(ours).into_iter().chain(keys(theirs)).flatten().collect();
    let differing = questions.into_iter().filter(|question| ours[question] != theirs[question]);
    let rows = differing.map(|question| Difference {
        class: class.to_owned(),
        ours: ours[&question].to_string(),
        theirs: theirs[&question].to_string(),
        question,
    });
    rows.collect()
}
