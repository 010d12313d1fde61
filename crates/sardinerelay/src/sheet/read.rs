//! Converts the TOML tree to a [`Sheet`].
//!
//! A field that is missing or wrong is reported and replaced by an empty value, so that the rest of
//! the file is checked as well.

use {
    super::{
        Account, Deployment, PlainService, RequestClass, Server, Sheet,
        error::{ErrorKind, Quote},
        findings::Findings,
        limit,
        text::{self, Rule},
    },
    compact_str::CompactString,
    std::{
        net::{Ipv4Addr, SocketAddr},
        ops::{Range, RangeInclusive},
    },
    toml::{
        Spanned,
        de::{DeTable, DeValue},
    },
};

const SHEET_FIELDS: &[&str] = &[
    "number",
    "class",
    "target",
    "model",
    "service",
    "organisation",
];
const CLASS_FIELDS: &[&str] = &["name", "priority", "max_wait_ms"];
const TARGET_FIELDS: &[&str] = &["name", "zone", "address", "memory_tokens", "checks_fencing"];
const MODEL_FIELDS: &[&str] = &["name", "version", "adapters", "targets"];
const SERVICE_FIELDS: &[&str] = &["name", "path", "targets", "repeatable"];
const ORGANISATION_FIELDS: &[&str] = &[
    "name",
    "key_sha256",
    "classes",
    "tokens_per_minute",
    "requests_per_minute",
];

/// Replaces an address that could not be read. Checks skip addresses with port 0.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Converts the whole sheet.
pub(super) fn sheet(root: &DeTable<'_>, findings: &mut Findings<'_>) -> Sheet {
    let mut table = Table::new(String::new(), 0..0, root, SHEET_FIELDS, findings);
    Sheet {
        number: table.number("number", limit::NUMBER_RANGE),
        classes: table.tables("class", limit::MAX_CLASSES, CLASS_FIELDS, class),
        targets: table.tables("target", limit::MAX_TARGETS, TARGET_FIELDS, target),
        models: table.tables("model", limit::MAX_MODELS, MODEL_FIELDS, model),
        services: table.tables("service", limit::MAX_SERVICES, SERVICE_FIELDS, service),
        organisations: table.tables(
            "organisation",
            limit::MAX_ORGANISATIONS,
            ORGANISATION_FIELDS,
            organisation,
        ),
    }
}

fn class(table: &mut Table<'_, '_, '_>) -> RequestClass {
    RequestClass {
        name: table.text("name", text::NAME),
        priority: table.number("priority", limit::PRIORITY_RANGE) as u8,
        max_wait_ms: table.number("max_wait_ms", limit::MAX_WAIT_MS_RANGE),
    }
}

fn target(table: &mut Table<'_, '_, '_>) -> Server {
    Server {
        name: table.text("name", text::NAME),
        zone: table.text("zone", text::NAME),
        address: table.address("address"),
        memory_tokens: table.optional_number("memory_tokens", limit::MEMORY_TOKENS_RANGE),
        checks_fencing: table.optional_flag("checks_fencing"),
    }
}

fn model(table: &mut Table<'_, '_, '_>) -> Deployment {
    Deployment {
        name: table.text("name", text::MODEL_NAME),
        version: table.text("version", text::VERSION),
        adapters: table.optional_list("adapters", limit::MAX_ADAPTERS, text::MODEL_NAME),
        targets: table.list("targets", limit::MAX_TARGETS, text::NAME),
    }
}

fn service(table: &mut Table<'_, '_, '_>) -> PlainService {
    PlainService {
        name: table.text("name", text::NAME),
        path: table.text("path", text::PATH),
        targets: table.list("targets", limit::MAX_TARGETS, text::NAME),
        repeatable: table.optional_list("repeatable", limit::MAX_REPEATABLE_METHODS, text::METHOD),
    }
}

fn organisation(table: &mut Table<'_, '_, '_>) -> Account {
    Account {
        name: table.text("name", text::NAME),
        key_sha256: table.list("key_sha256", limit::MAX_KEYS, text::KEY_DIGEST),
        classes: table.list("classes", limit::MAX_CLASSES, text::NAME),
        tokens_per_minute: table.number("tokens_per_minute", limit::TOKENS_PER_MINUTE_RANGE),
        requests_per_minute: table.number("requests_per_minute", limit::REQUESTS_PER_MINUTE_RANGE),
    }
}

/// A table of the file and its path.
struct Table<'tree, 'findings, 'text> {
    path: String,
    span: Range<usize>,
    fields: &'tree DeTable<'tree>,
    findings: &'findings mut Findings<'text>,
}

impl<'tree, 'findings, 'text> Table<'tree, 'findings, 'text> {
    fn new(
        path: String,
        span: Range<usize>,
        fields: &'tree DeTable<'tree>,
        allowed: &'static [&'static str],
        findings: &'findings mut Findings<'text>,
    ) -> Self {
        let mut table = Self {
            path,
            span,
            fields,
            findings,
        };
        table.report_unknown_fields(allowed);
        table
    }

    fn report_unknown_fields(&mut self, allowed: &'static [&'static str]) {
        for key in self.fields.keys() {
            if self.findings.is_truncated() {
                return;
            }
            let name = key.get_ref().as_ref();
            if !allowed.contains(&name) {
                let field = self.field(&text::field_key(name));
                self.findings.locate(&field, key.span());
                self.findings
                    .error(&field, ErrorKind::UnknownField { allowed });
            }
        }
    }

    fn field(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }

    /// Returns the path and the value of a field, and records its position. A missing field gets
    /// the position of its table.
    fn find(&mut self, name: &str) -> (String, Option<&'tree Spanned<DeValue<'tree>>>) {
        let field = self.field(name);
        let value = self.fields.get(name);
        let span = value.map_or(self.span.clone(), Spanned::span);
        self.findings.locate(&field, span);
        (field, value)
    }

    /// Like [`find`](Self::find), but reports a missing field.
    fn require(&mut self, name: &str) -> (String, Option<&'tree Spanned<DeValue<'tree>>>) {
        let (field, value) = self.find(name);
        if value.is_none() {
            self.findings.error(&field, ErrorKind::Missing);
        }
        (field, value)
    }

    fn number(&mut self, name: &str, range: RangeInclusive<u64>) -> u64 {
        let (field, value) = self.require(name);
        value.map_or(0, |value| self.read_number(&field, value, range))
    }

    fn optional_number(&mut self, name: &str, range: RangeInclusive<u64>) -> u64 {
        let (field, value) = self.find(name);
        value.map_or(0, |value| self.read_number(&field, value, range))
    }

    fn read_number(
        &mut self,
        field: &str,
        value: &Spanned<DeValue<'_>>,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let DeValue::Integer(integer) = value.get_ref() else {
            self.wrong_type(field, "an integer", value);
            return 0;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let kind = ErrorKind::OutOfRange {
                    value: Quote::new(&integer.to_string()),
                    minimum: *range.start(),
                    maximum: *range.end(),
                };
                self.findings.error(field, kind);
                0
            }
        }
    }

    fn optional_flag(&mut self, name: &str) -> bool {
        let (field, value) = self.find(name);
        match value.map(|value| (value, value.get_ref())) {
            None => false,
            Some((_, DeValue::Boolean(flag))) => *flag,
            Some((value, _)) => {
                self.wrong_type(&field, "true or false", value);
                false
            }
        }
    }

    fn text(&mut self, name: &str, rule: Rule) -> CompactString {
        let (field, value) = self.require(name);
        value.map_or_else(CompactString::default, |value| {
            self.read_text(&field, value, rule)
        })
    }

    fn read_text(
        &mut self,
        field: &str,
        value: &Spanned<DeValue<'_>>,
        rule: Rule,
    ) -> CompactString {
        let DeValue::String(text) = value.get_ref() else {
            self.wrong_type(field, "a string", value);
            return CompactString::default();
        };
        if let Err(kind) = rule(text) {
            self.findings.error(field, kind);
        }
        if text.len() > limit::MAX_TEXT_BYTES {
            return CompactString::default();
        }
        CompactString::from(text.as_ref())
    }

    fn address(&mut self, name: &str) -> SocketAddr {
        let text = self.text(name, text::check_length);
        if text.is_empty() {
            return PLACEHOLDER_ADDRESS;
        }
        let address = text.parse().unwrap_or(PLACEHOLDER_ADDRESS);
        let ip = address.ip();
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            let value = Quote::new(&text);
            let field = self.field(name);
            self.findings.error(&field, ErrorKind::Address { value });
        }
        address
    }

    fn list(&mut self, name: &str, limit: usize, rule: Rule) -> Vec<CompactString> {
        let (field, value) = self.require(name);
        value.map_or_else(Vec::new, |value| self.read_list(&field, value, limit, rule))
    }

    fn optional_list(&mut self, name: &str, limit: usize, rule: Rule) -> Vec<CompactString> {
        let (field, value) = self.find(name);
        value.map_or_else(Vec::new, |value| self.read_list(&field, value, limit, rule))
    }

    fn read_list(
        &mut self,
        field: &str,
        value: &Spanned<DeValue<'_>>,
        limit: usize,
        rule: Rule,
    ) -> Vec<CompactString> {
        let Some(items) = self.items(field, value, limit, "a list of strings") else {
            return Vec::new();
        };
        let mut texts = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let item_field = format!("{field}[{index}]");
            self.findings.locate(&item_field, item.span());
            texts.push(self.read_text(&item_field, item, rule));
        }
        texts
    }

    /// Converts each table of a table array with `read`.
    fn tables<T, Read>(
        &mut self,
        name: &str,
        limit: usize,
        allowed: &'static [&'static str],
        read: Read,
    ) -> Vec<T>
    where
        Read: Fn(&mut Table<'_, '_, '_>) -> T,
    {
        let (field, value) = self.find(name);
        let Some(items) =
            value.and_then(|value| self.items(&field, value, limit, "a list of tables"))
        else {
            return Vec::new();
        };
        let empty = DeTable::new();
        let mut entries = Vec::with_capacity(items.len());
        for (index, item) in items.iter().enumerate() {
            let path = format!("{field}[{index}]");
            self.findings.locate(&path, item.span());
            let fields = match item.get_ref() {
                DeValue::Table(fields) => fields,
                _ => {
                    self.wrong_type(&path, "a table", item);
                    &empty
                }
            };
            let mut table = Table::new(path, item.span(), fields, allowed, self.findings);
            entries.push(read(&mut table));
        }
        entries
    }

    /// Returns the items of an array, and reports a wrong type or too many items.
    fn items<'value>(
        &mut self,
        field: &str,
        value: &'value Spanned<DeValue<'value>>,
        limit: usize,
        expected: &'static str,
    ) -> Option<&'value [Spanned<DeValue<'value>>]> {
        let DeValue::Array(items) = value.get_ref() else {
            self.wrong_type(field, expected, value);
            return None;
        };
        if items.len() > limit {
            let count = items.len();
            self.findings
                .error(field, ErrorKind::TooMany { count, limit });
            return None;
        }
        Some(items)
    }

    fn wrong_type(&mut self, field: &str, expected: &'static str, value: &Spanned<DeValue<'_>>) {
        let found = match value.get_ref() {
            DeValue::String(_) => "a string",
            DeValue::Integer(_) => "an integer",
            DeValue::Float(_) => "a decimal number",
            DeValue::Boolean(_) => "true or false",
            DeValue::Datetime(_) => "a date or time",
            DeValue::Array(_) => "a list",
            DeValue::Table(_) => "a table",
        };
        self.findings
            .error(field, ErrorKind::WrongType { expected, found });
    }
}
