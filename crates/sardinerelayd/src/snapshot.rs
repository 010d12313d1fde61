//! Immutable snapshot of the control state for traffic threads, replaced as a whole.

use {
    arc_swap::ArcSwap,
    compact_str::CompactString,
    sardinerelay::{
        id::Target,
        sheet::{Account, Deployment, PlainService, RequestClass, Server, Sheet},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// The current view, which traffic threads read without a lock.
pub type SharedView = Arc<ArcSwap<View>>;

/// The control state at one version, indexed for lookups by requests.
#[derive(Debug, Default)]
pub struct View {
    /// Version of the published control state; 0 before the first sheet.
    pub version: u64,
    /// The sheet in force, if any.
    pub sheet: Option<Arc<Sheet>>,
    /// Targets that are leaving and must get no new work.
    pub leaving: BTreeSet<Target>,
    /// Position in the sheet of the organisation that owns a key, by the key's digest.
    organisation_by_key: BTreeMap<CompactString, usize>,
}

impl View {
    /// Creates a view and indexes the sheet's API keys.
    pub fn new(version: u64, sheet: Option<Arc<Sheet>>, leaving: BTreeSet<Target>) -> Self {
        let organisation_by_key = sheet.iter().flat_map(|sheet| key_index(sheet)).collect();
        Self {
            version,
            sheet,
            leaving,
            organisation_by_key,
        }
    }

    /// The organisation that owns the API key with this SHA-256 digest.
    pub fn account(&self, key_digest: &str) -> Option<&Account> {
        let position = *self.organisation_by_key.get(key_digest)?;
        self.sheet.as_ref()?.organisations.get(position)
    }

    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<&RequestClass> {
        self.sheet
            .as_ref()?
            .classes
            .iter()
            .find(|class| class.name == name)
    }

    /// The model with this name.
    pub fn model(&self, name: &str) -> Option<&Deployment> {
        self.sheet
            .as_ref()?
            .models
            .iter()
            .find(|model| model.name == name)
    }

    /// The target with this name.
    pub fn target(&self, name: &str) -> Option<&Server> {
        self.sheet
            .as_ref()?
            .targets
            .iter()
            .find(|target| target.name == name)
    }

    /// The target with this address, if the sheet names it.
    pub fn target_at(&self, address: SocketAddr) -> Option<&Server> {
        self.sheet
            .as_ref()?
            .targets
            .iter()
            .find(|target| target.address == address)
    }

    /// The plain service whose path prefix covers this path.
    pub fn service(&self, path: &str) -> Option<&PlainService> {
        let covers = |service: &&PlainService| {
            path.strip_prefix(service.path.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        self.sheet.as_ref()?.services.iter().find(covers)
    }
}

/// Pairs each API key's digest with the position of its organisation in the sheet.
fn key_index(sheet: &Sheet) -> Vec<(CompactString, usize)> {
    let mut index = Vec::new();
    for (position, account) in sheet.organisations.iter().enumerate() {
        for digest in &account.key_sha256 {
            index.push((digest.clone(), position));
        }
    }
    index
}
