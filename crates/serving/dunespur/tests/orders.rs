//! The operator's configuration requests: accepted, rejected with reasons, accepted again, in force at all gateways.

mod support;

use dunespur_emulator::client::{RequestKind, RequestSpec};
use dunespur_emulator::configuration::{patch, RoutePlan, WeightedBackend};
use dunespur_emulator::scene::{Scene, ScenePlan, HOST, LOOKUP, MODELS, TOOLS};
use dunespur_emulator::system::Role;
use serde_json::{json, Value};
use std::time::Duration;
use support::{expect_no_violation, stage, Stage, ORDER_LIMIT};
use tokio::time::Instant;

/// An acknowledged version is in force everywhere within this time.
const APPLY: Duration = Duration::from_millis(2_000);

fn added() -> RoutePlan {
    RoutePlan::new("added", HOST, "/added/", RequestKind::ReadOnly, TOOLS)
}

/// Has a patch taken on top of version `base`, and the judge know of it.
async fn change(
    scene: &mut Stage,
    base: u64,
    generation: u64,
    upsert: &[RoutePlan],
    remove: &[&str],
) {
    let version = scene
        .configurations
        .last()
        .unwrap()
        .patched(generation, upsert, remove);
    scene.configurations.push(version);
    take(scene, base, &patch(generation, upsert, remove)).await;
}

async fn take(scene: &mut Stage, base: u64, body: &Value) {
    let answer = scene.operator.patch(base, body, ORDER_LIMIT).await.unwrap();
    assert_eq!(
        answer.status,
        200,
        "{}",
        String::from_utf8_lossy(&answer.body)
    );
}

/// Every gateway answers with this status before the time for it is over.
async fn everywhere(scene: &Scene, request: &RequestSpec, status: u16) {
    let until = Instant::now() + APPLY;
    for index in scene
        .system
        .machine_indices(|plan| plan.role != Role::Store)
    {
        loop {
            let served = scene
                .client
                .send_to(scene.system.front(index), request)
                .await;
            if served.status() == Some(status) {
                break;
            }
            assert!(Instant::now() < until, "gateway {index}: {served:?}");
        }
    }
}

#[tokio::test]
async fn a_patch_is_in_force_at_all_gateways_in_time() {
    let mut scene = stage(ScenePlan::default()).await;
    let request = RequestSpec::get(HOST, "/added/x");
    everywhere(&scene, &request, 404).await;
    change(&mut scene, 1, 4, &[added()], &[]).await;
    everywhere(&scene, &request, 200).await;
    change(&mut scene, 4, 9, &[], &["added"]).await;
    everywhere(&scene, &request, 404).await;
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_route_moves_to_another_service() {
    let mut scene = stage(ScenePlan::default()).await;
    let mut moved = RoutePlan::new("lookup", HOST, LOOKUP, RequestKind::ReadOnly, MODELS);
    moved.retries = 2;
    change(&mut scene, 1, 2, std::slice::from_ref(&moved), &[]).await;
    everywhere(&scene, &RequestSpec::get(HOST, &format!("{LOOKUP}x")), 200).await;
    let until = Instant::now() + APPLY;
    loop {
        let served = scene
            .client
            .send(&RequestSpec::get(HOST, &format!("{LOOKUP}x")))
            .await;
        let runs = scene.record.observations_of(served.request);
        if served.succeeded()
            && runs.iter().all(|run| run.backend == MODELS)
            && Instant::now() > until
        {
            break;
        }
        assert!(served.succeeded(), "{served:?}");
        assert!(
            Instant::now() < until + APPLY,
            "the old service still runs the route's requests"
        );
    }
    moved.backends = vec![
        WeightedBackend {
            backend: TOOLS.to_owned(),
            weight: 0,
        },
        WeightedBackend {
            backend: MODELS.to_owned(),
            weight: 3,
        },
    ];
    change(&mut scene, 2, 3, &[moved], &[]).await;
    let after = Instant::now();
    while after.elapsed() < APPLY + APPLY / 4 {
        let served = scene
            .client
            .send(&RequestSpec::get(HOST, &format!("{LOOKUP}x")))
            .await;
        assert!(served.succeeded(), "{served:?}");
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn the_same_order_again_is_acknowledged_again_by_any_gateway() {
    let mut scene = stage(ScenePlan::default()).await;
    let body = patch(5, &[added()], &[]);
    for _ in 0..2 * scene.system.controls().len() {
        take(&mut scene, 1, &body).await;
    }
    let first = scene.plan.configuration.json();
    let answer = scene
        .operator
        .replace(0, &first, ORDER_LIMIT)
        .await
        .unwrap();
    assert!([200, 412].contains(&answer.status), "{}", answer.status);
}

#[tokio::test]
async fn an_order_on_another_version_is_412_and_changes_nothing() {
    let mut scene = stage(ScenePlan::default()).await;
    take(&mut scene, 1, &patch(5, &[added()], &[])).await;
    for base in [0, 1, 4, 6] {
        let other = RoutePlan::new("other", HOST, "/other/", RequestKind::ReadOnly, TOOLS);
        let answer = scene
            .operator
            .patch(base, &patch(7, &[other], &[]), ORDER_LIMIT)
            .await
            .unwrap();
        assert_eq!(answer.status, 412, "base {base}");
    }
    assert_eq!(current(&mut scene).await["generation"], json!(5));
    everywhere(&scene, &RequestSpec::get(HOST, "/other/x"), 404).await;
}

#[tokio::test]
async fn an_order_that_came_too_early_is_rejected_and_accepted_when_it_is_repeated() {
    let mut scene = stage(ScenePlan::default()).await;
    let early = patch(9, &[added()], &[]);
    let answer = scene.operator.patch(5, &early, ORDER_LIMIT).await.unwrap();
    assert_eq!(answer.status, 412);
    take(&mut scene, 1, &patch(5, &[], &[])).await;
    for _ in scene.system.controls() {
        take(&mut scene, 5, &early).await;
    }
    assert_eq!(current(&mut scene).await["generation"], json!(9));
}

#[tokio::test]
async fn an_invalid_order_is_rejected_with_every_finding_and_its_place() {
    let mut scene = stage(ScenePlan::default()).await;
    let mut unknown_service = added();
    unknown_service.backends[0].backend = "nobody".to_owned();
    let mut no_time = RoutePlan::new("no-time", HOST, "/no-time/", RequestKind::ReadOnly, TOOLS);
    no_time.timeout_ms = 0;
    let body = patch(5, &[unknown_service, no_time], &[]);
    let answer = scene.operator.patch(1, &body, ORDER_LIMIT).await.unwrap();
    assert_eq!(answer.status, 400);
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    for wanted in ["nobody", "timeout_ms"] {
        assert!(text.contains(wanted), "{wanted} is not told: {text}");
    }
    let truncated = scene
        .operator
        .send_raw("/api/config/patch", 1, "{\"generation\":5,", ORDER_LIMIT)
        .await
        .unwrap();
    assert_eq!(truncated.status, 400);
    let not_above = patch(1, &[added()], &[]);
    let answer = scene
        .operator
        .patch(1, &not_above, ORDER_LIMIT)
        .await
        .unwrap();
    assert!([400, 412].contains(&answer.status), "{}", answer.status);
    assert_eq!(current(&mut scene).await, scene.plan.configuration.json());
}

#[tokio::test]
async fn a_configuration_is_read_back_as_submitted_with_unknown_fields() {
    let mut scene = stage(ScenePlan::default()).await;
    let mut complete = scene.plan.configuration.json();
    complete["generation"] = json!(3);
    complete["notes"] = json!({ "by": "operator", "numbers": [1, 2.5, 1e30] });
    complete["routes"][0]["colour"] = json!("blue");
    let answer = scene
        .operator
        .replace(1, &complete, ORDER_LIMIT)
        .await
        .unwrap();
    assert_eq!(answer.status, 200);
    for _ in scene.system.controls() {
        assert_eq!(current(&mut scene).await, complete);
    }
}

#[tokio::test]
async fn of_two_orders_on_the_same_version_one_wins() {
    let mut scene = stage(ScenePlan::default()).await;
    for round in 0..5 {
        let base = 1 + round * 10;
        let mut orders = tokio::task::JoinSet::new();
        for side in 0..2 {
            let mut operator = scene.operator.clone();
            let name = format!("side-{side}");
            let route = RoutePlan::new(
                &name,
                HOST,
                &format!("/{name}/"),
                RequestKind::ReadOnly,
                TOOLS,
            );
            let body = patch(base + 10, &[route], &[]);
            orders.spawn(async move {
                operator
                    .patch(base, &body, ORDER_LIMIT)
                    .await
                    .unwrap()
                    .status
            });
        }
        let mut statuses = orders.join_all().await;
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 412], "round {round}");
    }
    assert_eq!(current(&mut scene).await["generation"], json!(51));
}

async fn current(scene: &mut Stage) -> Value {
    let answer = scene.operator.get(ORDER_LIMIT).await.unwrap();
    assert_eq!(answer.status, 200);
    serde_json::from_slice(&answer.body).unwrap()
}
