//! Which gateway is the home of a service in a zone.

mod common;

use common::gateway;
use dunespur_load_distribution::{Gateway, Roster};
use std::collections::BTreeSet;
use std::rc::Rc;

fn gateways() -> Vec<Gateway> {
    let zones = ["north", "north", "north", "north", "south", "south"];
    let numbered = zones.iter().zip(1u8..);
    numbered
        .map(|(zone, number)| gateway(&format!("{zone}-{number}"), zone, number, 1))
        .collect()
}

fn home(roster: &Roster, service: &str, zone: &str) -> Rc<str> {
    roster.home(service, zone).expect("a home").name.clone()
}

fn services() -> Vec<String> {
    (0..200).map(|number| format!("service-{number}")).collect()
}

#[test]
fn the_home_stands_in_the_zone_whatever_the_order_of_the_list() {
    let mut reversed = gateways();
    reversed.reverse();
    let (one, other) = (Roster::new(gateways()), Roster::new(reversed));
    for service in services() {
        let found = home(&one, &service, "north");
        assert!(found.starts_with("north"));
        assert_eq!(found, home(&other, &service, "north"));
        assert_eq!(one.ranked(&service, "north")[0].name, found);
    }
}

#[test]
fn services_are_spread_over_the_gateways_of_a_zone() {
    let roster = Roster::new(gateways());
    for number in 1..=4 {
        let name = format!("north-{number}");
        let count = services()
            .iter()
            .filter(|service| *home(&roster, service, "north") == *name)
            .count();
        assert!(
            (25..=80).contains(&count),
            "{name} is the home of {count} of 200"
        );
    }
}

#[test]
fn a_gateway_that_goes_moves_its_own_services_only_and_to_the_next_in_order() {
    let whole = Roster::new(gateways());
    let without = Roster::new(
        gateways()
            .into_iter()
            .filter(|gateway| &*gateway.name != "north-2")
            .collect(),
    );
    for service in services() {
        let before = whole.ranked(&service, "north");
        let expected = if &*before[0].name == "north-2" {
            before[1]
        } else {
            before[0]
        };
        assert_eq!(home(&without, &service, "north"), expected.name);
    }
}

#[test]
fn a_zone_without_gateways_has_its_homes_elsewhere() {
    let roster = Roster::new(gateways());
    let homes: BTreeSet<Rc<str>> = services()
        .iter()
        .map(|service| home(&roster, service, "nowhere"))
        .collect();
    assert_eq!(homes.len(), 6, "all gateways have a part");
    assert!(Roster::default().home("service", "north").is_none());
}

#[test]
fn one_service_has_homes_of_its_own_in_each_zone() {
    let roster = Roster::new(gateways());
    assert!(home(&roster, "service-1", "north").starts_with("north"));
    assert!(home(&roster, "service-1", "south").starts_with("south"));
    assert_eq!(
        roster.zones(),
        ["north".into(), "south".into()] as [Rc<str>; 2]
    );
}
