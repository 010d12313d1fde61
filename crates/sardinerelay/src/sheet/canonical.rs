//! The sheet as a sorted list of entries, from which digest, text and differences are made.

use {
    super::Sheet,
    compact_str::CompactString,
    sha2::{Digest, Sha256},
    std::fmt::{self, Display, Formatter, Write},
};

/// Separates these digests from digests of anything else.
const DOMAIN: &str = "sardinerelay sheet 1";

/// A field's value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Value {
    Number(u64),
    Flag(bool),
    Text(CompactString),
    /// Texts whose order has no meaning, sorted.
    Set(Vec<CompactString>),
    /// Texts whose order has a meaning.
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

/// A text as a TOML string.
pub(super) fn quoted(text: &str) -> String {
    toml::Value::from(text).to_string()
}

/// One field of an entry. Optional fields that have their default are left out, so that a field
/// added to the format later does not change the digest of older sheets.
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

/// One table of the sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Entry {
    /// The table's kind, for example `target`.
    pub(super) kind: &'static str,
    /// The entry's name, unique within its kind.
    pub(super) name: CompactString,
    /// Its other fields.
    pub(super) fields: Vec<Field>,
}

/// All entries, by kind in the order of the format and then by name.
pub(super) fn entries(sheet: &Sheet) -> Vec<Entry> {
    let mut entries = Vec::new();
    append(&mut entries, classes(sheet));
    append(&mut entries, targets(sheet));
    append(&mut entries, models(sheet));
    append(&mut entries, services(sheet));
    append(&mut entries, organisations(sheet));
    entries
}

fn append(entries: &mut Vec<Entry>, mut kind: Vec<Entry>) {
    kind.sort_by(|left, right| left.name.cmp(&right.name));
    entries.append(&mut kind);
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
            fields.push(Field::new("adapters", set(&model.adapters)));
        }
        fields.push(Field::new("targets", set(&model.targets)));
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
            Field::new("targets", set(&service.targets)),
        ];
        if !service.repeatable.is_empty() {
            fields.push(Field::new("repeatable", set(&service.repeatable)));
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
            Field::new("key_sha256", set(&account.key_sha256)),
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

fn set(items: &[CompactString]) -> Value {
    let mut items = items.to_vec();
    items.sort_unstable();
    Value::Set(items)
}

/// Digest of the sheet's meaning.
pub(super) fn digest(sheet: &Sheet) -> [u8; 32] {
    let mut hasher = Sha256::new();
    put_text(&mut hasher, DOMAIN);
    put_number(&mut hasher, sheet.number);
    for entry in entries(sheet) {
        put_text(&mut hasher, entry.kind);
        put_text(&mut hasher, &entry.name);
        put_number(&mut hasher, entry.fields.len() as u64);
        for field in &entry.fields {
            put_text(&mut hasher, field.name);
            put_value(&mut hasher, &field.value);
        }
    }
    hasher.finalize().into()
}

fn put_number(hasher: &mut Sha256, number: u64) {
    hasher.update(number.to_be_bytes());
}

/// The length goes first, so that no two sequences of texts give the same bytes.
fn put_text(hasher: &mut Sha256, text: &str) {
    put_number(hasher, text.len() as u64);
    hasher.update(text);
}

fn put_value(hasher: &mut Sha256, value: &Value) {
    match value {
        Value::Number(number) => put_number(hasher, *number),
        Value::Flag(flag) => put_number(hasher, u64::from(*flag)),
        Value::Text(text) => put_text(hasher, text),
        Value::Set(items) | Value::Sequence(items) => {
            put_number(hasher, items.len() as u64);
            items.iter().for_each(|item| put_text(hasher, item));
        }
    }
}

/// The sheet as TOML, in canonical order.
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
