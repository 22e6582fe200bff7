//! Checks after the traffic: what was acknowledged is there, and programs can continue.

use dunespur_emulator::judge::{Rule, Violation};
use dunespur_emulator::program::Conversation;
use dunespur_emulator::record::Acknowledged;
use dunespur_emulator::scene::Scene;
use serde_json::Value;
use std::time::Duration;
use tokio::time::Instant;

/// The system serves again within this time after its last fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// All violations found.
pub async fn judge(scene: &mut Scene, conversations: Vec<Conversation>) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(configuration(scene).await);
    for conversation in conversations {
        violations.extend(goes_on(scene, conversation).await);
    }
    violations
}

/// The newest acknowledged version, or a newer one, is read back as it was sent.
async fn configuration(scene: &mut Scene) -> Option<Violation> {
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
    let answer = match scene.operator.get(RECOVERY).await {
        Ok(answer) => answer,
        Err(unclear) => return lost(format!("the configuration does not come: {unclear}")),
    };
    let read: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let generation = read["generation"].as_u64().unwrap_or_default();
    if generation < newest {
        return lost(format!(
            "version {newest} was acknowledged, {generation} is read back"
        ));
    }
    let sent = scene
        .configurations
        .iter()
        .find(|version| version.generation == generation);
    let same = sent.is_some_and(|sent| by_name(&sent.json()) == by_name(&read));
    if same {
        return None;
    }
    lost(format!("version {generation} is not what was sent"))
}

/// Routes sorted by name, as a patch does not define their order.
fn by_name(configuration: &Value) -> Value {
    let mut sorted = configuration.clone();
    if let Some(routes) = sorted["routes"].as_array_mut() {
        routes.sort_by_key(|route| route["name"].as_str().unwrap_or_default().to_owned());
    }
    sorted
}

async fn goes_on(scene: &Scene, mut conversation: Conversation) -> Option<Violation> {
    let until = Instant::now() + RECOVERY;
    let mut last = None;
    while Instant::now() < until {
        let served = conversation.turn(&scene.client, &"and then?".into()).await;
        if served.succeeded() || served.status() == Some(402) {
            return None;
        }
        last = served.status();
    }
    let detail = format!(
        "program {} does not go on from {:?}: {last:?}",
        conversation.program(),
        conversation.previous()
    );
    Some(Violation {
        rule: Rule::Lost,
        detail,
    })
}
