//! The canonical form of a sheet: a sorted list of entries, from which its digest, its TOML text
//! and the differences from another sheet are made.

use {
    super::Sheet,
    compact_str::CompactString,
    sha2::{Digest, Sha256},
    std::fmt::{self, Display, Formatter, Write},
};

/// Hashed first, so that the digest of a sheet differs from digests of any other data.
const DIGEST_DOMAIN: &str = "sardinerelay sheet 1";

/// A field's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Value {
    Number(u64),
    Flag(bool),
    Text(CompactString),
    /// Texts whose order is irrelevant, sorted.
    Set(Vec<CompactString>),
    /// Texts whose order is relevant.
    Sequence(Vec<CompactString>),
}

impl Display for Value {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Flag(flag) => write!(formatter, "{flag}"),
            Self::Text(text) => formatter.write_str(&quoted(text)),
            Self::Set(items) | Self::Sequence(items) => {
                let items: Vec<_> = items.iter().map(|item| quoted(item)).collect();
                write!(formatter, "[{}]", items.join(", "))
            }
        }
    }
}

/// Formats a text as a TOML string.
pub(super) fn quoted(text: &str) -> String {
    toml::Value::from(text).to_string()
}

/// A field of an entry. Optional fields with their default value are left out, so that a field that
/// is added to the format later does not change the digest of older sheets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Field {
    pub(super) name: &'static str,
    pub(super) value: Value,
}

impl Field {
    fn new(name: &'static str, value: Value) -> Self {
        Self { name, value }
    }
}

/// A table of the sheet, such as one `[[target]]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Entry {
    /// The name of its table array, for example `target`.
    pub(super) kind: &'static str,
    /// The value of its `name` field, unique within the kind.
    pub(super) name: CompactString,
    /// Its other fields, in the order of the format.
    pub(super) fields: Vec<Field>,
}

/// Lists all entries, by kind in the order of the format and then by name.
pub(super) fn entries(sheet: &Sheet) -> Vec<Entry> {
    let mut entries = Vec::new();
    append_sorted(&mut entries, classes(sheet));
    append_sorted(&mut entries, targets(sheet));
    append_sorted(&mut entries, models(sheet));
    append_sorted(&mut entries, services(sheet));
    append_sorted(&mut entries, organisations(sheet));
    entries
}

fn append_sorted(entries: &mut Vec<Entry>, mut group: Vec<Entry>) {
    group.sort_by(|left, right| left.name.cmp(&right.name));
    entries.append(&mut group);
}

fn classes(sheet: &Sheet) -> Vec<Entry> {
    let entry = |class: &super::RequestClass| Entry {
        kind: "class",
        name: class.name.clone(),
        fields: vec![
            Field::new("priority", Value::Number(class.priority.into())),
            Field::new("max_wait_ms", Value::Number(class.max_wait_ms)),
        ],
    };
    sheet.classes.iter().map(entry).collect()
}

fn targets(sheet: &Sheet) -> Vec<Entry> {
    let entry = |target: &super::Server| {
        let address = target.address.to_string().into();
        let mut fields = vec![
            Field::new("zone", Value::Text(target.zone.clone())),
            Field::new("address", Value::Text(address)),
        ];
        if target.memory_tokens > 0 {
            let memory = Value::Number(target.memory_tokens);
            fields.push(Field::new("memory_tokens", memory));
        }
        if target.checks_fencing {
            fields.push(Field::new("checks_fencing", Value::Flag(true)));
        }
        Entry {
            kind: "target",
            name: target.name.clone(),
            fields,
        }
    };
    sheet.targets.iter().map(entry).collect()
}

fn models(sheet: &Sheet) -> Vec<Entry> {
    let entry = |model: &super::Deployment| {
        let mut fields = vec![Field::new("version", Value::Text(model.version.clone()))];
        if !model.adapters.is_empty() {
            fields.push(Field::new("adapters", sorted_set(&model.adapters)));
        }
        fields.push(Field::new("targets", sorted_set(&model.targets)));
        Entry {
            kind: "model",
            name: model.name.clone(),
            fields,
        }
    };
    sheet.models.iter().map(entry).collect()
}

fn services(sheet: &Sheet) -> Vec<Entry> {
    let entry = |service: &super::PlainService| {
        let mut fields = vec![
            Field::new("path", Value::Text(service.path.clone())),
            Field::new("targets", sorted_set(&service.targets)),
        ];
        if !service.repeatable.is_empty() {
            fields.push(Field::new("repeatable", sorted_set(&service.repeatable)));
        }
        Entry {
            kind: "service",
            name: service.name.clone(),
            fields,
        }
    };
    sheet.services.iter().map(entry).collect()
}

fn organisations(sheet: &Sheet) -> Vec<Entry> {
    let entry = |account: &super::Account| Entry {
        kind: "organisation",
        name: account.name.clone(),
        fields: vec![
            Field::new("key_sha256", sorted_set(&account.key_sha256)),
            Field::new("classes", Value::Sequence(account.classes.clone())),
            Field::new(
                "tokens_per_minute",
                Value::Number(account.tokens_per_minute),
            ),
            Field::new(
                "requests_per_minute",
                Value::Number(account.requests_per_minute),
            ),
        ],
    };
    sheet.organisations.iter().map(entry).collect()
}

fn sorted_set(items: &[CompactString]) -> Value {
    let mut items = items.to_vec();
    items.sort_unstable();
    Value::Set(items)
}

/// Computes the canonical digest, see [`Sheet::digest`].
pub(super) fn digest(sheet: &Sheet) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hash_text(&mut hasher, DIGEST_DOMAIN);
    hash_number(&mut hasher, sheet.number);
    for entry in entries(sheet) {
        hash_text(&mut hasher, entry.kind);
        hash_text(&mut hasher, &entry.name);
        hash_number(&mut hasher, entry.fields.len() as u64);
        for field in &entry.fields {
            hash_text(&mut hasher, field.name);
            hash_value(&mut hasher, &field.value);
        }
    }
    hasher.finalize().into()
}

fn hash_number(hasher: &mut Sha256, number: u64) {
    hasher.update(number.to_be_bytes());
}

/// Hashes the length before the text, so that different sequences of texts can't hash the same
/// bytes.
fn hash_text(hasher: &mut Sha256, text: &str) {
    hash_number(hasher, text.len() as u64);
    hasher.update(text);
}

fn hash_value(hasher: &mut Sha256, value: &Value) {
    match value {
        Value::Number(number) => hash_number(hasher, *number),
        Value::Flag(flag) => hash_number(hasher, u64::from(*flag)),
        Value::Text(text) => hash_text(hasher, text),
        Value::Set(items) | Value::Sequence(items) => {
            hash_number(hasher, items.len() as u64);
            items.iter().for_each(|item| hash_text(hasher, item));
        }
    }
}

/// Formats the sheet as TOML, in canonical order.
pub(super) fn to_toml(sheet: &Sheet) -> String {
    let mut text = format!("number = {}\n", sheet.number);
    for entry in entries(sheet) {
        let (kind, name) = (entry.kind, quoted(&entry.name));
        write!(text, "\n[[{kind}]]\nname = {name}\n").expect("writing to a string succeeds");
        for field in &entry.fields {
            writeln!(text, "{} = {}", field.name, field.value)
                .expect("writing to a string succeeds");
        }
    }
    text
}
