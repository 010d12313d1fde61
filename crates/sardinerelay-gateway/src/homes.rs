//! The regions in which the requests of a route or an organisation may run. See `docs/design/homes.md`.

use {
    sardinerelay::id::{Region, Zone},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The regions that a request may reach.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes(Option<Vec<Region>>);

impl Homes {
    /// Allows these regions only, or all of them if none is named.
    pub fn new(regions: Vec<Region>) -> Self {
        Self((!regions.is_empty()).then_some(regions))
    }

    /// Returns the regions that both allow, which may be none.
    pub fn and(&self, other: &Self) -> Self {
        let (Some(left), Some(right)) = (&self.0, &other.0) else {
            return Self(self.0.clone().or_else(|| other.0.clone()));
        };
        let common = left.iter().filter(|region| right.contains(region));
        Self(Some(common.cloned().collect()))
    }

    /// Whether all regions are allowed.
    pub fn is_anywhere(&self) -> bool {
        self.0.is_none()
    }

    fn allow(&self, region: &Region) -> bool {
        self.0
            .as_ref()
            .is_none_or(|regions| regions.contains(region))
    }
}

/// The region of each availability zone.
#[derive(Debug, Clone, Default)]
pub struct Regions(BTreeMap<Zone, Region>);

impl Regions {
    /// Creates the regions that the settings name.
    pub fn new(by_zone: BTreeMap<Zone, Region>) -> Self {
        Self(by_zone)
    }

    /// Whether a request with these homes may reach a target in the zone. A zone without a known region is a
    /// region of its own.
    pub fn allow(&self, homes: &Homes, zone: &Zone) -> bool {
        homes.is_anywhere() || homes.allow(self.0.get(zone).unwrap_or(zone))
    }
}
