//! Checks that involve several entries of a sheet.

use {
    super::{
        SAFE_METHODS, Sheet,
        error::{ErrorKind, Quote, WarningKind},
        findings::Findings,
        text,
    },
    compact_str::CompactString,
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// Indices of entries by name.
type Positions<'sheet> = HashMap<&'sheet str, usize>;

/// Runs every check that can reject the sheet.
pub(super) fn check(sheet: &Sheet, findings: &mut Findings<'_>) {
    let class_names: Vec<_> = sheet.classes.iter().map(|class| &class.name).collect();
    let target_names: Vec<_> = sheet.targets.iter().map(|target| &target.name).collect();
    let classes = report_duplicates("class", ".name", &class_names, findings);
    let targets = report_duplicates("target", ".name", &target_names, findings);
    report_duplicate_names(sheet, findings);
    check_addresses(sheet, findings);
    check_models(sheet, &targets, findings);
    check_services(sheet, &targets, findings);
    check_paths(sheet, findings);
    check_organisations(sheet, &classes, findings);
    check_keys(sheet, findings);
    check_not_empty(sheet, findings);
}

fn report_duplicate_names(sheet: &Sheet, findings: &mut Findings<'_>) {
    let models: Vec<_> = sheet.models.iter().map(|model| &model.name).collect();
    let services: Vec<_> = sheet.services.iter().map(|service| &service.name).collect();
    let organisations: Vec<_> = sheet
        .organisations
        .iter()
        .map(|organisation| &organisation.name)
        .collect();
    report_duplicates("model", ".name", &models, findings);
    report_duplicates("service", ".name", &services, findings);
    report_duplicates("organisation", ".name", &organisations, findings);
}

/// Reports texts that occur more than once, at the field `list[index]` followed by `suffix`, and
/// returns the first index of each text. Empty texts are skipped: they replace values that were
/// reported already.
fn report_duplicates<'sheet>(
    list: &str,
    suffix: &str,
    texts: &[&'sheet CompactString],
    findings: &mut Findings<'_>,
) -> Positions<'sheet> {
    let mut first = Positions::new();
    for (index, text) in texts.iter().enumerate() {
        if text.is_empty() {
            continue;
        }
        if let Some(earlier) = first.get(text.as_str()) {
            let first_line = findings.line(&format!("{list}[{earlier}]{suffix}"));
            let name = Quote::new(text);
            let kind = ErrorKind::Duplicate { name, first_line };
            findings.error(&format!("{list}[{index}]{suffix}"), kind);
            continue;
        }
        first.insert(text, index);
    }
    first
}

/// Reports items that occur more than once in a list of an entry.
fn report_duplicate_items(list: &str, items: &[CompactString], findings: &mut Findings<'_>) {
    let items: Vec<_> = items.iter().collect();
    report_duplicates(list, "", &items, findings);
}

fn check_addresses(sheet: &Sheet, findings: &mut Findings<'_>) {
    let mut first = HashMap::new();
    for (index, target) in sheet.targets.iter().enumerate() {
        if target.address.port() == 0 {
            continue;
        }
        let Some(earlier) = first.insert(target.address, index) else {
            continue;
        };
        let first_line = findings.line(&format!("target[{earlier}].address"));
        let name = Quote::new(&target.address.to_string());
        let kind = ErrorKind::Duplicate { name, first_line };
        findings.error(&format!("target[{index}].address"), kind);
        first.insert(target.address, earlier);
    }
}

fn require_items(field: &str, items: &[CompactString], findings: &mut Findings<'_>) {
    if items.is_empty() {
        findings.error(field, ErrorKind::Empty);
    }
}

fn check_models(sheet: &Sheet, targets: &Positions<'_>, findings: &mut Findings<'_>) {
    for (index, model) in sheet.models.iter().enumerate() {
        let field = format!("model[{index}].targets");
        require_items(&field, &model.targets, findings);
        report_duplicate_items(&field, &model.targets, findings);
        report_duplicate_items(
            &format!("model[{index}].adapters"),
            &model.adapters,
            findings,
        );
        for reference in resolve_targets(&field, &model.targets, targets, findings) {
            let target = reference.target;
            if sheet.targets[target].memory_tokens == 0 {
                let model = Quote::new(&model.name);
                let kind = ErrorKind::EngineWithoutMemory { model };
                findings.error(&format!("target[{target}].memory_tokens"), kind);
            }
        }
    }
}

fn check_services(sheet: &Sheet, targets: &Positions<'_>, findings: &mut Findings<'_>) {
    for (index, service) in sheet.services.iter().enumerate() {
        let field = format!("service[{index}].targets");
        require_items(&field, &service.targets, findings);
        report_duplicate_items(&field, &service.targets, findings);
        let repeatable = format!("service[{index}].repeatable");
        report_duplicate_items(&repeatable, &service.repeatable, findings);
        for reference in resolve_targets(&field, &service.targets, targets, findings) {
            let server = &sheet.targets[reference.target];
            if server.memory_tokens > 0 {
                let target = Quote::new(&server.name);
                let kind = ErrorKind::EngineInService { target };
                findings.error(&format!("{field}[{}]", reference.item), kind);
            }
        }
    }
}

/// A resolved reference to a target.
struct Reference {
    /// Index in the list that refers to targets.
    item: usize,
    /// Index of the target in the sheet.
    target: usize,
}

/// Resolves names of targets and reports unknown ones, unless the targets themselves could not be
/// read.
fn resolve_targets(
    field: &str,
    names: &[CompactString],
    targets: &Positions<'_>,
    findings: &mut Findings<'_>,
) -> Vec<Reference> {
    let mut references = Vec::with_capacity(names.len());
    for (item, name) in names.iter().enumerate() {
        match targets.get(name.as_str()) {
            Some(target) => references.push(Reference {
                item,
                target: *target,
            }),
            None if findings.has_error("target") => {}
            None => {
                let name = Quote::new(name);
                findings.error(
                    &format!("{field}[{item}]"),
                    ErrorKind::UnknownTarget { name },
                );
            }
        }
    }
    references
}

/// Reports paths that are equal to, above or below the path of an earlier service. Paths are sorted
/// by their segments, so that a path comes directly before the paths below it.
fn check_paths(sheet: &Sheet, findings: &mut Findings<'_>) {
    let mut sorted: BTreeMap<Vec<&str>, usize> = BTreeMap::new();
    for (index, service) in sheet.services.iter().enumerate() {
        let segments: Vec<_> = service.path.split('/').collect();
        let at_or_above = (1..=segments.len())
            .rev()
            .find_map(|length| sorted.get(&segments[..length]));
        let below = sorted
            .range(segments.clone()..)
            .next()
            .map(|(_, other)| other)
            .filter(|other| text::covers(&service.path, &sheet.services[**other].path));
        if let Some(other) = at_or_above.or(below).copied() {
            report_overlap(sheet, index, other, findings);
        }
        if service.path.len() > 1 {
            sorted.entry(segments).or_insert(index);
        }
    }
}

fn report_overlap(sheet: &Sheet, index: usize, other: usize, findings: &mut Findings<'_>) {
    let earlier = &sheet.services[other];
    let kind = ErrorKind::OverlappingPath {
        path: Quote::new(&sheet.services[index].path),
        other: Quote::new(&earlier.path),
        service: Quote::new(&earlier.name),
        first_line: findings.line(&format!("service[{other}].path")),
    };
    findings.error(&format!("service[{index}].path"), kind);
}

fn check_organisations(sheet: &Sheet, classes: &Positions<'_>, findings: &mut Findings<'_>) {
    if sheet.organisations.is_empty() {
        findings.error("organisation", ErrorKind::Empty);
    }
    for (index, organisation) in sheet.organisations.iter().enumerate() {
        let field = format!("organisation[{index}].classes");
        require_items(&field, &organisation.classes, findings);
        report_duplicate_items(&field, &organisation.classes, findings);
        for (item, class) in organisation.classes.iter().enumerate() {
            if !classes.contains_key(class.as_str()) && !findings.has_error("class") {
                let name = Quote::new(class);
                findings.error(
                    &format!("{field}[{item}]"),
                    ErrorKind::UnknownClass { name },
                );
            }
        }
    }
}

/// Reports API keys that are listed more than once, in one organisation or in two.
fn check_keys(sheet: &Sheet, findings: &mut Findings<'_>) {
    let mut first: HashMap<&str, (usize, usize)> = HashMap::new();
    for (index, organisation) in sheet.organisations.iter().enumerate() {
        for (item, key) in organisation.key_sha256.iter().enumerate() {
            let field = |index, item| format!("organisation[{index}].key_sha256[{item}]");
            if key.is_empty() {
                continue;
            }
            let (earlier, earlier_item) = *first.entry(key).or_insert((index, item));
            if (earlier, earlier_item) == (index, item) {
                continue;
            }
            let first_line = findings.line(&field(earlier, earlier_item));
            let kind = match earlier == index {
                true => ErrorKind::Duplicate {
                    name: Quote::new(key),
                    first_line,
                },
                false => ErrorKind::SharedKey {
                    organisation: Quote::new(&sheet.organisations[earlier].name),
                    first_line,
                },
            };
            findings.error(&field(index, item), kind);
        }
    }
}

/// Rejects a sheet without models and services: an export that was cut short must not take
/// everything out of service.
fn check_not_empty(sheet: &Sheet, findings: &mut Findings<'_>) {
    let unreadable = findings.has_error("model") || findings.has_error("service");
    if sheet.models.is_empty() && sheet.services.is_empty() && !unreadable {
        findings.error("", ErrorKind::NothingServed);
    }
}

/// Collects the doubtful entries of a valid sheet.
pub(super) fn warnings(sheet: &Sheet, findings: &mut Findings<'_>) {
    warn_unsafe_repeatable(sheet, findings);
    warn_unused_targets(sheet, findings);
    warn_unused_classes(sheet, findings);
    for (index, organisation) in sheet.organisations.iter().enumerate() {
        if organisation.key_sha256.is_empty() {
            let organisation = Quote::new(&organisation.name);
            let field = format!("organisation[{index}].key_sha256");
            findings.warn(&field, WarningKind::NoKeys { organisation });
        }
    }
}

fn warn_unsafe_repeatable(sheet: &Sheet, findings: &mut Findings<'_>) {
    for (index, service) in sheet.services.iter().enumerate() {
        for (item, method) in service.repeatable.iter().enumerate() {
            if !SAFE_METHODS.contains(&method.as_str()) {
                let field = format!("service[{index}].repeatable[{item}]");
                let method = Quote::new(method);
                findings.warn(&field, WarningKind::UnsafeRepeatable { method });
            }
        }
    }
}

fn warn_unused_targets(sheet: &Sheet, findings: &mut Findings<'_>) {
    let in_models = sheet.models.iter().flat_map(|model| &model.targets);
    let in_services = sheet.services.iter().flat_map(|service| &service.targets);
    let used: HashSet<_> = in_models.chain(in_services).collect();
    for (index, target) in sheet.targets.iter().enumerate() {
        if !used.contains(&target.name) {
            let field = format!("target[{index}].name");
            let target = Quote::new(&target.name);
            findings.warn(&field, WarningKind::UnusedTarget { target });
        }
    }
}

fn warn_unused_classes(sheet: &Sheet, findings: &mut Findings<'_>) {
    let used: HashSet<_> = sheet
        .organisations
        .iter()
        .flat_map(|organisation| &organisation.classes)
        .collect();
    for (index, class) in sheet.classes.iter().enumerate() {
        if !used.contains(&class.name) {
            let field = format!("class[{index}].name");
            let class = Quote::new(&class.name);
            findings.warn(&field, WarningKind::UnusedClass { class });
        }
    }
}
