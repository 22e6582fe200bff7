//! Machines lost for good, with an empty one at another address in their place: after the time to catch up the
//! next one may go.

mod support;

use dunespur_emulator::scene::ScenePlan;
use dunespur_emulator::system::{MachinePlan, Role};
use support::disk::with_standstills_apart;
use support::{
    continue_conversation, continue_within, conversation_of, expect_no_violation, machines_of,
    programs_for, stage, CATCH_UP, RECOVERY,
};

#[tokio::test]
async fn a_store_is_replaced_and_the_next_one_may_go() {
    let mut scene = stage(ScenePlan::default()).await;
    let mut conversations = Vec::new();
    for _ in 0..12 {
        conversations.push(conversation_of(&scene, 2).await);
    }
    let stores = machines_of(&scene, Role::Store);
    for (round, store) in stores.iter().enumerate() {
        let zone = scene.system.machines()[*store].plan().zone.clone();
        scene.system.machine(*store).kill();
        scene
            .system
            .join(MachinePlan::new(Role::Store, &zone))
            .unwrap();
        programs_for(&scene, CATCH_UP).await;
        for conversation in &mut conversations {
            continue_conversation(&scene, conversation, &format!("after replacement {round}"))
                .await;
        }
    }
    expect_no_violation(&scene);
}

#[tokio::test]
async fn a_store_is_replaced_and_another_one_wiped() {
    with_standstills_apart(|| async {
        let mut scene = stage(ScenePlan::default()).await;
        let mut conversations = Vec::new();
        for _ in 0..12 {
            conversations.push(conversation_of(&scene, 2).await);
        }
        let stores = machines_of(&scene, Role::Store);
        let zone = scene.system.machines()[stores[0]].plan().zone.clone();
        scene.system.machine(stores[0]).kill();
        scene
            .system
            .join(MachinePlan::new(Role::Store, &zone))
            .unwrap();
        programs_for(&scene, CATCH_UP).await;
        scene.system.wipe(stores[1]).unwrap();
        for conversation in &mut conversations {
            continue_within(&scene, conversation, "after both", RECOVERY).await;
        }
        expect_no_violation(&scene);
    })
    .await;
}
