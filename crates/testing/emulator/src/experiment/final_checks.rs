//! Checks after the traffic: the acknowledged configuration is in force, and programs can continue their conversations.

use dunespur_emulator::judge::{Rule, Violation};
use dunespur_emulator::program::Conversation;
use dunespur_emulator::record::Acknowledged;
use dunespur_emulator::scene::Scene;
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which the system must serve again after its last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Runs all checks and returns the violations found.
pub async fn judge(scene: &mut Scene, conversations: Vec<Conversation>) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(check_configuration(scene).await);
    for conversation in conversations {
        violations.extend(check_continuation(scene, conversation).await);
    }
    violations
}

/// The newest acknowledged version, or a newer one, is read back as it was sent.
async fn check_configuration(scene: &mut Scene) -> Option<Violation> {
    let lost = |detail: String| {
        Some(Violation {
            rule: Rule::Lost,
            detail,
        })
    };
    let acknowledgements = scene.record.acknowledgements().into_iter();
    let newest = acknowledgements.filter_map(|acknowledgement| match acknowledgement.event {
        Acknowledged::Configuration { generation } => Some(generation),
        _ => None,
    });
    let newest = newest.max().unwrap_or_default();
    let answer = match scene.operator.get(RECOVERY_TIMEOUT).await {
        Ok(answer) => answer,
        Err(error) => return lost(format!("the configuration could not be read: {error}")),
    };
    let read: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let generation = read["generation"].as_u64().unwrap_or_default();
    if generation < newest {
        return lost(format!(
            "configuration version {newest} was acknowledged, but version {generation} is in force"
        ));
    }
    let sent = scene
        .configurations
        .iter()
        .find(|version| version.generation == generation);
    let same =
        sent.is_some_and(|sent| with_sorted_routes(&sent.json()) == with_sorted_routes(&read));
    if same {
        return None;
    }
    lost(format!(
        "configuration version {generation} differs from the one that was sent"
    ))
}

/// The configuration with its routes sorted by name, as a patch does not define their order.
fn with_sorted_routes(configuration: &Value) -> Value {
    let mut sorted = configuration.clone();
    if let Some(routes) = sorted["routes"].as_array_mut() {
        routes.sort_by_key(|route| route["name"].as_str().unwrap_or_default().to_owned());
    }
    sorted
}

/// A conversation can be continued with a new turn; a 402 response is accepted, as the budget may be spent.
async fn check_continuation(scene: &Scene, mut conversation: Conversation) -> Option<Violation> {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let mut last_status = None;
    while Instant::now() < deadline {
        let served = conversation.turn(&scene.client, &"and then?".into()).await;
        if served.succeeded() || served.status() == Some(402) {
            return None;
        }
        last_status = served.status();
    }
    let detail = format!(
        "program {} cannot be continued after turn {:?}; last status: {last_status:?}",
        conversation.program(),
        conversation.previous()
    );
    Some(Violation {
        rule: Rule::Lost,
        detail,
    })
}
