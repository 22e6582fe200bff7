//! Patches, which remove, replace or add named items of a configuration.
//!
//! A patch works on the text of each item, so that unchanged items stay exactly as the operator wrote them. Every array
//! of the document can be patched, including unknown ones. Removals are applied first: an item that a patch both
//! removes and upserts is present afterwards. Other fields of a patch are ignored.

use crate::{location::Location, raw_object::RawObject, Findings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Applies `patch` to the text of `document`. The resulting text is not validated yet.
pub(crate) fn apply(document: &str, patch: &str) -> Result<String, Findings> {
    let mut document = RawObject::parse(document, &Location::Top)?;
    let patch = Patch::parse(patch)?;
    patch.apply(&mut document)?;
    Ok(document.to_text())
}

/// A parsed patch.
struct Patch<'a> {
    generation: &'a RawValue,
    arrays: BTreeMap<String, ArrayPatch<'a>>,
}

/// The changes of one array, by items' names.
#[derive(Default)]
struct ArrayPatch<'a> {
    removed: HashSet<String>,
    upserted: Vec<NamedItem<'a>>,
}

/// An item of an array with its name.
struct NamedItem<'a> {
    name: String,
    item: &'a RawValue,
}

impl<'a> Patch<'a> {
    fn parse(patch: &'a str) -> Result<Patch<'a>, Findings> {
        let patch = RawObject::parse(patch, &Location::Top)?;
        let mut findings = Findings::default();
        let mut arrays: BTreeMap<String, ArrayPatch<'a>> = BTreeMap::new();
        for_each_array(
            &patch,
            "remove",
            &mut findings,
            |name, items, location, findings| {
                arrays.entry(name.to_owned()).or_default().removed =
                    names(items, location, findings);
            },
        );
        for_each_array(
            &patch,
            "upsert",
            &mut findings,
            |name, items, location, findings| {
                arrays.entry(name.to_owned()).or_default().upserted =
                    named_items(items, location, findings);
            },
        );
        let generation = patch.value("generation");
        if generation.is_none() {
            findings.add(Location::Top.field("generation"), "is missing");
        }
        match generation {
            Some(generation) if findings.is_empty() => Ok(Patch { generation, arrays }),
            _ => Err(findings),
        }
    }

    fn apply(&self, document: &mut RawObject<'a>) -> Result<(), Findings> {
        let mut findings = Findings::default();
        document.set("generation", self.generation);
        for (name, patch) in &self.arrays {
            let location = Location::Top.field(name);
            let array = document.value(name);
            if array.is_none() && patch.upserted.is_empty() {
                continue;
            }
            let mut items = array.map_or_else(Vec::new, |array| {
                array_items(array, &location, &mut findings)
            });
            patch.apply(&mut items);
            document.set_array(name, items);
        }
        findings.or_ok(())
    }
}

impl<'a> ArrayPatch<'a> {
    /// Removes items, then replaces each item that has the name of an upserted one and appends the other upserted
    /// items.
    fn apply(&self, items: &mut Vec<&'a RawValue>) {
        items.retain(|item| name_of(item).is_none_or(|name| !self.removed.contains(&name)));
        let mut positions = HashMap::new();
        for (position, item) in items.iter().enumerate() {
            positions.extend(name_of(item).map(|name| (name, position)));
        }
        for NamedItem { name, item } in &self.upserted {
            match positions.get(name) {
                Some(&position) => items[position] = item,
                None => items.push(item),
            }
        }
    }
}

/// Calls `visit` with the name, items and location of each array in the field `action` of a patch.
fn for_each_array<'a>(
    patch: &RawObject<'a>,
    action: &str,
    findings: &mut Findings,
    mut visit: impl FnMut(&str, &[&'a RawValue], &Location<'_>, &mut Findings),
) {
    let Some(arrays) = patch.value(action) else {
        return;
    };
    let action = Location::Top.field(action);
    let arrays = match RawObject::parse(arrays.get(), &action) {
        Ok(arrays) => arrays,
        Err(unreadable) => return findings.0.extend(unreadable.0),
    };
    for (name, array) in arrays.values() {
        let location = action.field(name);
        let items = array_items(array, &location, findings);
        visit(name, &items, &location, findings);
    }
}

/// The items of an array as written.
fn array_items<'a>(
    array: &'a RawValue,
    location: &Location<'_>,
    findings: &mut Findings,
) -> Vec<&'a RawValue> {
    serde_json::from_str(array.get()).unwrap_or_else(|_| {
        findings.add(location, "is not a list");
        Vec::new()
    })
}

/// Parses an array of names.
fn names(items: &[&RawValue], location: &Location<'_>, findings: &mut Findings) -> HashSet<String> {
    let mut names = HashSet::new();
    for (index, item) in items.iter().enumerate() {
        match serde_json::from_str(item.get()) {
            Ok(name) => {
                names.insert(name);
            }
            Err(_) => findings.add(location.item(index), "is not a text"),
        }
    }
    names
}

/// Pairs each item of an array with its name. A name that occurs twice is a finding, because the patch is ambiguous.
fn named_items<'a>(
    items: &[&'a RawValue],
    location: &Location<'_>,
    findings: &mut Findings,
) -> Vec<NamedItem<'a>> {
    let mut all = Vec::new();
    let mut seen = HashSet::new();
    for (index, item) in items.iter().enumerate() {
        match name_of(item) {
            None => findings.add(
                location.item(index).field("name"),
                "is missing or not a text",
            ),
            Some(name) if !seen.insert(name.clone()) => {
                findings.add(
                    location.item(index).field("name"),
                    format!("{name:?} comes twice"),
                );
            }
            Some(name) => all.push(NamedItem { name, item }),
        }
    }
    all
}

/// The `name` field of an item, if it is a string.
fn name_of(item: &RawValue) -> Option<String> {
    #[derive(Deserialize)]
    struct Name {
        name: String,
    }
    serde_json::from_str(item.get())
        .ok()
        .map(|Name { name }| name)
}
