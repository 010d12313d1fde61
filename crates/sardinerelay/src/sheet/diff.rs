//! Differences between two sheets.

use {
    super::{
        Sheet,
        canonical::{self, Entry, Field, Value, quoted},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        fmt::{self, Display, Formatter},
    },
};

/// Which of two sheets has an entry, field or item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new sheet has the entry, field or item.
    Added,
    /// Only the old sheet has the entry, field or item.
    Removed,
    /// Both sheets have the field, with different values.
    Changed,
}

/// A difference between two sheets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Which of the two sheets has it.
    pub kind: ChangeKind,
    /// The entry or field that differs, by name and not by position, for example
    /// `organisation "yard".tokens_per_minute`.
    pub field: String,
    /// The old value, in TOML.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// The new value, in TOML.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

impl Display for Change {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed => '~',
        };
        write!(formatter, "{sign} {}", self.field)?;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(formatter, ": {before} -> {after}"),
            (Some(value), None) | (None, Some(value)) => write!(formatter, ": {value}"),
            (None, None) => Ok(()),
        }
    }
}

/// Lists the differences between `old` and `new`, in canonical order. Sheets with the same digest
/// have none. A renamed entry is listed as removed and added.
pub fn diff(old: &Sheet, new: &Sheet) -> Vec<Change> {
    let mut changes = Vec::new();
    if old.number != new.number {
        changes.push(Change {
            kind: ChangeKind::Changed,
            field: "number".to_owned(),
            before: Some(old.number.to_string()),
            after: Some(new.number.to_string()),
        });
    }
    let old = canonical::entries(old);
    let new = canonical::entries(new);
    for pair in match_sorted(&old, &new, |entry| {
        (kind_order(entry.kind), entry.name.clone())
    }) {
        match pair {
            Pair::Removed(entry) => changes.push(entry_change(ChangeKind::Removed, entry)),
            Pair::Added(entry) => changes.push(entry_change(ChangeKind::Added, entry)),
            Pair::Both(before, after) => diff_fields(before, after, &mut changes),
        }
    }
    changes
}

/// Position of a kind in canonical order.
fn kind_order(kind: &str) -> usize {
    const KINDS: [&str; 5] = ["class", "target", "model", "service", "organisation"];
    KINDS
        .iter()
        .position(|other| *other == kind)
        .unwrap_or(KINDS.len())
}

fn entry_change(kind: ChangeKind, entry: &Entry) -> Change {
    Change {
        kind,
        field: entry_path(entry),
        before: None,
        after: None,
    }
}

fn entry_path(entry: &Entry) -> String {
    format!("{} {}", entry.kind, quoted(&entry.name))
}

fn diff_fields(before: &Entry, after: &Entry, changes: &mut Vec<Change>) {
    let path = entry_path(after);
    let by_name = |field: &Field| field.name;
    let mut old = before.fields.clone();
    let mut new = after.fields.clone();
    old.sort_by_key(by_name);
    new.sort_by_key(by_name);
    for pair in match_sorted(&old, &new, by_name) {
        let (name, before, after) = match pair {
            Pair::Removed(field) => (field.name, Some(&field.value), None),
            Pair::Added(field) => (field.name, None, Some(&field.value)),
            Pair::Both(before, after) => (after.name, Some(&before.value), Some(&after.value)),
        };
        if before != after {
            diff_values(format!("{path}.{name}"), before, after, changes);
        }
    }
}

fn diff_values(
    field: String,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<Change>,
) {
    if let Some((removed, added)) = set_difference(before, after) {
        let change = |kind, before, after| Change {
            kind,
            field: field.clone(),
            before,
            after,
        };
        let removals = removed
            .into_iter()
            .map(|item| change(ChangeKind::Removed, Some(item), None));
        changes.extend(removals);
        let additions = added
            .into_iter()
            .map(|item| change(ChangeKind::Added, None, Some(item)));
        changes.extend(additions);
        return;
    }
    let kind = match (before, after) {
        (None, _) => ChangeKind::Added,
        (_, None) => ChangeKind::Removed,
        _ => ChangeKind::Changed,
    };
    changes.push(Change {
        kind,
        field,
        before: before.map(ToString::to_string),
        after: after.map(ToString::to_string),
    });
}

/// Returns the removed and the added items if both values are sets. An absent set is empty.
fn set_difference(
    before: Option<&Value>,
    after: Option<&Value>,
) -> Option<(Vec<String>, Vec<String>)> {
    let items = |value: Option<&Value>| match value {
        None => Some(BTreeSet::new()),
        Some(Value::Set(items)) => Some(items.iter().map(|item| quoted(item)).collect()),
        Some(_) => None,
    };
    let (before, after) = (items(before)?, items(after)?);
    let removed = before.difference(&after).cloned().collect();
    let added = after.difference(&before).cloned().collect();
    Some((removed, added))
}

/// An item of one list, or two items with the same key.
enum Pair<'item, Item> {
    Removed(&'item Item),
    Added(&'item Item),
    Both(&'item Item, &'item Item),
}

/// Matches the items of two lists, both sorted by the key, in the order of the key.
fn match_sorted<'item, Item, Key, KeyOf>(
    old: &'item [Item],
    new: &'item [Item],
    key_of: KeyOf,
) -> Vec<Pair<'item, Item>>
where
    Key: Ord,
    KeyOf: Fn(&Item) -> Key,
{
    let mut old = old.iter().peekable();
    let mut new = new.iter().peekable();
    let mut matched = Vec::new();
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return matched,
            (Some(_), None) => std::cmp::Ordering::Less,
            (None, Some(_)) => std::cmp::Ordering::Greater,
            (Some(old), Some(new)) => key_of(old).cmp(&key_of(new)),
        };
        let removed = old.next_if(|_| order.is_le());
        let added = new.next_if(|_| order.is_ge());
        matched.extend(match (removed, added) {
            (Some(old), Some(new)) => Some(Pair::Both(old, new)),
            (Some(old), None) => Some(Pair::Removed(old)),
            (None, Some(new)) => Some(Pair::Added(new)),
            (None, None) => None,
        });
    }
}
