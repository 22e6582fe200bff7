//! Selection of the aggregator of a service in a zone.

mod common;

use common::gateway;
use dunespur_load_distribution::{Gateway, Membership};
use std::collections::BTreeSet;
use std::rc::Rc;

fn gateways() -> Vec<Gateway> {
    let zones = ["north", "north", "north", "north", "south", "south"];
    let numbered = zones.iter().zip(1u8..);
    numbered
        .map(|(zone, number)| gateway(&format!("{zone}-{number}"), zone, number, 1))
        .collect()
}

fn aggregator(membership: &Membership, service: &str, zone: &str) -> Rc<str> {
    membership
        .aggregator(service, zone)
        .expect("a gateway must be present")
        .name
        .clone()
}

fn services() -> Vec<String> {
    (0..200).map(|number| format!("service-{number}")).collect()
}

#[test]
fn the_aggregator_is_in_the_zone_and_independent_of_the_order_of_the_members() {
    let mut reversed = gateways();
    reversed.reverse();
    let (original, permuted) = (Membership::new(gateways()), Membership::new(reversed));
    for service in services() {
        let found = aggregator(&original, &service, "north");
        assert!(found.starts_with("north"));
        assert_eq!(found, aggregator(&permuted, &service, "north"));
        assert_eq!(original.ranked(&service, "north")[0].name, found);
    }
}

#[test]
fn services_are_balanced_among_the_gateways_of_a_zone() {
    let membership = Membership::new(gateways());
    for number in 1..=4 {
        let name = format!("north-{number}");
        let count = services()
            .iter()
            .filter(|service| *aggregator(&membership, service, "north") == *name)
            .count();
        assert!(
            (25..=80).contains(&count),
            "{name} is the aggregator of {count} of 200 services"
        );
    }
}

#[test]
fn when_a_gateway_departs_only_its_services_move_to_the_next_in_order() {
    let complete = Membership::new(gateways());
    let without = Membership::new(
        gateways()
            .into_iter()
            .filter(|gateway| &*gateway.name != "north-2")
            .collect(),
    );
    for service in services() {
        let before = complete.ranked(&service, "north");
        let expected = if &*before[0].name == "north-2" {
            before[1]
        } else {
            before[0]
        };
        assert_eq!(aggregator(&without, &service, "north"), expected.name);
    }
}

#[test]
fn a_zone_without_gateways_has_its_aggregators_in_other_zones() {
    let membership = Membership::new(gateways());
    let aggregators: BTreeSet<Rc<str>> = services()
        .iter()
        .map(|service| aggregator(&membership, service, "nowhere"))
        .collect();
    assert_eq!(
        aggregators.len(),
        6,
        "every gateway must be the aggregator of some service"
    );
    assert!(Membership::default()
        .aggregator("service", "north")
        .is_none());
}

#[test]
fn a_service_has_a_separate_aggregator_in_each_zone() {
    let membership = Membership::new(gateways());
    assert!(aggregator(&membership, "service-1", "north").starts_with("north"));
    assert!(aggregator(&membership, "service-1", "south").starts_with("south"));
    assert_eq!(
        membership.zones(),
        ["north".into(), "south".into()] as [Rc<str>; 2]
    );
}
