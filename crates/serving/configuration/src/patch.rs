//! Named items of a configuration changed: some removed, some put in.
//!
//! Works on the text of each item, which stays as its operator wrote it. Every list of the document
//! can be changed so, also one that isn't known here. Removal comes first: an item that is removed and
//! put in again by one patch is there afterwards. What a patch holds besides is no change.

use crate::{object::Object, place::Place, Findings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The text of `document` with `patch` applied, not checked yet.
pub(crate) fn apply(document: &str, patch: &str) -> Result<String, Findings> {
    let mut document = Object::parse(document, &Place::Top)?;
    let change = Change::read(patch)?;
    change.apply(&mut document)?;
    Ok(document.to_text())
}

/// What a patch asks for.
struct Change<'a> {
    generation: &'a RawValue,
    lists: BTreeMap<String, ListChange<'a>>,
}

/// What is to become of one list.
#[derive(Default)]
struct ListChange<'a> {
    removed: HashSet<String>,
    put_in: Vec<Named<'a>>,
}

/// An item of a list, with the name by which it is found.
struct Named<'a> {
    name: String,
    item: &'a RawValue,
}

impl<'a> Change<'a> {
    fn read(patch: &'a str) -> Result<Change<'a>, Findings> {
        let patch = Object::parse(patch, &Place::Top)?;
        let mut findings = Findings::default();
        let mut lists: BTreeMap<String, ListChange<'a>> = BTreeMap::new();
        for_each_list(
            &patch,
            "remove",
            &mut findings,
            |name, items, place, findings| {
                lists.entry(name.to_owned()).or_default().removed = names(items, place, findings);
            },
        );
        for_each_list(
            &patch,
            "upsert",
            &mut findings,
            |name, items, place, findings| {
                lists.entry(name.to_owned()).or_default().put_in = named(items, place, findings);
            },
        );
        let generation = patch.value("generation");
        if generation.is_none() {
            findings.add(Place::Top.field("generation"), "is missing");
        }
        match generation {
            Some(generation) if findings.is_empty() => Ok(Change { generation, lists }),
            _ => Err(findings),
        }
    }

    fn apply(&self, document: &mut Object<'a>) -> Result<(), Findings> {
        let mut findings = Findings::default();
        document.set("generation", self.generation);
        for (name, change) in &self.lists {
            let place = Place::Top.field(name);
            let list = document.value(name);
            if list.is_none() && change.put_in.is_empty() {
                continue;
            }
            let mut items =
                list.map_or_else(Vec::new, |list| list_items(list, &place, &mut findings));
            change.apply(&mut items);
            document.set_list(name, items);
        }
        findings.or_ok(())
    }
}

impl<'a> ListChange<'a> {
    /// Takes out what is removed, then puts each item where the one of its name stands, else at the end.
    fn apply(&self, items: &mut Vec<&'a RawValue>) {
        items.retain(|item| name_of(item).is_none_or(|name| !self.removed.contains(&name)));
        let mut positions = HashMap::new();
        for (position, item) in items.iter().enumerate() {
            positions.extend(name_of(item).map(|name| (name, position)));
        }
        for Named { name, item } in &self.put_in {
            match positions.get(name) {
                Some(&position) => items[position] = item,
                None => items.push(item),
            }
        }
    }
}

/// Hands over each list in the field `action` of a patch, with its name and place.
fn for_each_list<'a>(
    patch: &Object<'a>,
    action: &str,
    findings: &mut Findings,
    mut take: impl FnMut(&str, &[&'a RawValue], &Place<'_>, &mut Findings),
) {
    let Some(lists) = patch.value(action) else {
        return;
    };
    let action = Place::Top.field(action);
    let lists = match Object::parse(lists.get(), &action) {
        Ok(lists) => lists,
        Err(unreadable) => return findings.0.extend(unreadable.0),
    };
    for (name, list) in lists.values() {
        let place = action.field(name);
        let items = list_items(list, &place, findings);
        take(name, &items, &place, findings);
    }
}

fn list_items<'a>(
    list: &'a RawValue,
    place: &Place<'_>,
    findings: &mut Findings,
) -> Vec<&'a RawValue> {
    serde_json::from_str(list.get()).unwrap_or_else(|_| {
        findings.add(place, "is not a list");
        Vec::new()
    })
}

/// The names in a list of names.
fn names(items: &[&RawValue], place: &Place<'_>, findings: &mut Findings) -> HashSet<String> {
    let mut names = HashSet::new();
    for (index, item) in items.iter().enumerate() {
        match serde_json::from_str(item.get()) {
            Ok(name) => {
                names.insert(name);
            }
            Err(_) => findings.add(place.item(index), "is not a text"),
        }
    }
    names
}

/// The items of a list with their names. Two of one name are refused: only one of them could be meant.
fn named<'a>(items: &[&'a RawValue], place: &Place<'_>, findings: &mut Findings) -> Vec<Named<'a>> {
    let mut all = Vec::new();
    let mut seen = HashSet::new();
    for (index, item) in items.iter().enumerate() {
        match name_of(item) {
            None => findings.add(place.item(index).field("name"), "is missing or not a text"),
            Some(name) if !seen.insert(name.clone()) => {
                findings.add(
                    place.item(index).field("name"),
                    format!("{name:?} comes twice"),
                );
            }
            Some(name) => all.push(Named { name, item }),
        }
    }
    all
}

fn name_of(item: &RawValue) -> Option<String> {
    #[derive(Deserialize)]
    struct Name {
        name: String,
    }
    serde_json::from_str(item.get())
        .ok()
        .map(|Name { name }| name)
}
