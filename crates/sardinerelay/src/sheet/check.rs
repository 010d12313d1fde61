//! Checks that compare entries with each other.

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

/// Positions of entries by name.
type Positions<'sheet> = HashMap<&'sheet str, usize>;

/// Runs every check.
pub(super) fn sheet(sheet: &Sheet, findings: &mut Findings<'_>) {
    let class_names: Vec<_> = sheet.classes.iter().map(|class| &class.name).collect();
    let target_names: Vec<_> = sheet.targets.iter().map(|target| &target.name).collect();
    let classes = unique("class", ".name", &class_names, findings);
    let targets = unique("target", ".name", &target_names, findings);
    names_of_users(sheet, findings);
    addresses(sheet, findings);
    models(sheet, &targets, findings);
    services(sheet, &targets, findings);
    paths(sheet, findings);
    organisations(sheet, &classes, findings);
    shared_keys(sheet, findings);
    nothing_served(sheet, findings);
}

fn names_of_users(sheet: &Sheet, findings: &mut Findings<'_>) {
    let models: Vec<_> = sheet.models.iter().map(|model| &model.name).collect();
    let services: Vec<_> = sheet.services.iter().map(|service| &service.name).collect();
    let organisations: Vec<_> = sheet
        .organisations
        .iter()
        .map(|organisation| &organisation.name)
        .collect();
    unique("model", ".name", &models, findings);
    unique("service", ".name", &services, findings);
    unique("organisation", ".name", &organisations, findings);
}

/// Reports repeated texts at `list[position]` followed by `suffix`, and returns the first
/// position of each. Empty texts stand for values that were reported already.
fn unique<'sheet>(
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
            let problem = ErrorKind::Duplicate { name, first_line };
            findings.fault(&format!("{list}[{index}]{suffix}"), problem);
            continue;
        }
        first.insert(text, index);
    }
    first
}

/// Reports repeated items of a list inside an entry.
fn unique_items(list: &str, items: &[CompactString], findings: &mut Findings<'_>) {
    let items: Vec<_> = items.iter().collect();
    unique(list, "", &items, findings);
}

fn addresses(sheet: &Sheet, findings: &mut Findings<'_>) {
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
        let problem = ErrorKind::Duplicate { name, first_line };
        findings.fault(&format!("target[{index}].address"), problem);
        first.insert(target.address, earlier);
    }
}

fn not_empty(field: &str, items: &[CompactString], findings: &mut Findings<'_>) {
    if items.is_empty() {
        findings.fault(field, ErrorKind::Empty);
    }
}

fn models(sheet: &Sheet, targets: &Positions<'_>, findings: &mut Findings<'_>) {
    for (index, model) in sheet.models.iter().enumerate() {
        let field = format!("model[{index}].targets");
        not_empty(&field, &model.targets, findings);
        unique_items(&field, &model.targets, findings);
        unique_items(
            &format!("model[{index}].adapters"),
            &model.adapters,
            findings,
        );
        for position in known_targets(&field, &model.targets, targets, findings) {
            let target = position.target;
            if sheet.targets[target].memory_tokens == 0 {
                let model = Quote::new(&model.name);
                let problem = ErrorKind::EngineWithoutMemory { model };
                findings.fault(&format!("target[{target}].memory_tokens"), problem);
            }
        }
    }
}

fn services(sheet: &Sheet, targets: &Positions<'_>, findings: &mut Findings<'_>) {
    for (index, service) in sheet.services.iter().enumerate() {
        let field = format!("service[{index}].targets");
        not_empty(&field, &service.targets, findings);
        unique_items(&field, &service.targets, findings);
        let repeatable = format!("service[{index}].repeatable");
        unique_items(&repeatable, &service.repeatable, findings);
        for position in known_targets(&field, &service.targets, targets, findings) {
            let server = &sheet.targets[position.target];
            if server.memory_tokens > 0 {
                let target = Quote::new(&server.name);
                let problem = ErrorKind::EngineInService { target };
                findings.fault(&format!("{field}[{}]", position.item), problem);
            }
        }
    }
}

/// A reference to a target.
struct Reference {
    /// Position in the list of references.
    item: usize,
    /// Position of the target.
    target: usize,
}

/// Resolves names of targets and reports the unknown ones.
fn known_targets(
    field: &str,
    names: &[CompactString],
    targets: &Positions<'_>,
    findings: &mut Findings<'_>,
) -> Vec<Reference> {
    let mut known = Vec::with_capacity(names.len());
    for (item, name) in names.iter().enumerate() {
        match targets.get(name.as_str()) {
            Some(target) => known.push(Reference {
                item,
                target: *target,
            }),
            None if findings.is_faulty("target") => {}
            None => {
                let name = Quote::new(name);
                findings.fault(
                    &format!("{field}[{item}]"),
                    ErrorKind::UnknownTarget { name },
                );
            }
        }
    }
    known
}

/// Compares each path with its neighbours in sorted order of segments, where a path stands
/// directly before the paths below it.
fn paths(sheet: &Sheet, findings: &mut Findings<'_>) {
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
            overlap(sheet, index, other, findings);
        }
        if service.path.len() > 1 {
            sorted.entry(segments).or_insert(index);
        }
    }
}

fn overlap(sheet: &Sheet, index: usize, other: usize, findings: &mut Findings<'_>) {
    let earlier = &sheet.services[other];
    let problem = ErrorKind::OverlappingPath {
        path: Quote::new(&sheet.services[index].path),
        other: Quote::new(&earlier.path),
        service: Quote::new(&earlier.name),
        first_line: findings.line(&format!("service[{other}].path")),
    };
    findings.fault(&format!("service[{index}].path"), problem);
}

fn organisations(sheet: &Sheet, classes: &Positions<'_>, findings: &mut Findings<'_>) {
    if sheet.organisations.is_empty() {
        findings.fault("organisation", ErrorKind::Empty);
    }
    for (index, organisation) in sheet.organisations.iter().enumerate() {
        let field = format!("organisation[{index}].classes");
        not_empty(&field, &organisation.classes, findings);
        unique_items(&field, &organisation.classes, findings);
        for (item, class) in organisation.classes.iter().enumerate() {
            if !classes.contains_key(class.as_str()) && !findings.is_faulty("class") {
                let name = Quote::new(class);
                findings.fault(
                    &format!("{field}[{item}]"),
                    ErrorKind::UnknownClass { name },
                );
            }
        }
    }
}

fn shared_keys(sheet: &Sheet, findings: &mut Findings<'_>) {
    let mut first: HashMap<&str, (usize, usize)> = HashMap::new();
    for (index, organisation) in sheet.organisations.iter().enumerate() {
        for (item, key) in organisation.key_sha256.iter().enumerate() {
            let place = |index, item| format!("organisation[{index}].key_sha256[{item}]");
            if key.is_empty() {
                continue;
            }
            let (earlier, earlier_item) = *first.entry(key).or_insert((index, item));
            if (earlier, earlier_item) == (index, item) {
                continue;
            }
            let first_line = findings.line(&place(earlier, earlier_item));
            let problem = match earlier == index {
                true => ErrorKind::Duplicate {
                    name: Quote::new(key),
                    first_line,
                },
                false => ErrorKind::SharedKey {
                    organisation: Quote::new(&sheet.organisations[earlier].name),
                    first_line,
                },
            };
            findings.fault(&place(index, item), problem);
        }
    }
}

/// An export that was cut short must not take everything out of service.
fn nothing_served(sheet: &Sheet, findings: &mut Findings<'_>) {
    let unread = findings.is_faulty("model") || findings.is_faulty("service");
    if sheet.models.is_empty() && sheet.services.is_empty() && !unread {
        findings.fault("", ErrorKind::NothingServed);
    }
}

/// Collects findings that do not refuse the sheet.
pub(super) fn warnings(sheet: &Sheet, findings: &mut Findings<'_>) {
    unsafe_repeatable(sheet, findings);
    unused_targets(sheet, findings);
    unused_classes(sheet, findings);
    for (index, organisation) in sheet.organisations.iter().enumerate() {
        if organisation.key_sha256.is_empty() {
            let organisation = Quote::new(&organisation.name);
            let field = format!("organisation[{index}].key_sha256");
            findings.warn(&field, WarningKind::NoKeys { organisation });
        }
    }
}

fn unsafe_repeatable(sheet: &Sheet, findings: &mut Findings<'_>) {
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

fn unused_targets(sheet: &Sheet, findings: &mut Findings<'_>) {
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

fn unused_classes(sheet: &Sheet, findings: &mut Findings<'_>) {
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
