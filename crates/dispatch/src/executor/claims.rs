//! Reports of other incarnations than the known one.
//!
//! Reports come from whoever writes to the agent's address or to the store, and may be late or from
//! another program. Which incarnation runs is shown only by the answers from the endpoint's address:
//! an answer to a call that names the known id proves that the known endpoint is still there, and a
//! refusal of that id proves that it is not. Until then, a report of another incarnation is a claim.

use std::time::Duration;

use super::EndpointReport;

/// Maximum number of claims; the oldest one is dropped for another. A few writers may claim to be
/// the endpoint at the same time.
const MAX_CLAIMS: usize = 4;

/// A report of another incarnation than the known one, and the time at which it arrived.
#[derive(Clone, Debug)]
struct Claim {
    arrived_at: Duration,
    report: EndpointReport,
}

/// The claims that no answer of the endpoint has decided yet, in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    claims: Vec<Claim>,
}

impl Claims {
    pub(super) fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Adds a claim, which replaces an earlier report of the same incarnation.
    pub(super) fn add(&mut self, now: Duration, report: EndpointReport) {
        let same = self.claims.iter().position(|claim| claim.report.is_same_incarnation(&report));
        if let Some(index) = same {
            if report.sequence < self.claims[index].report.sequence {
                return;
            }
            self.claims.remove(index);
        } else if self.claims.len() >= MAX_CLAIMS {
            self.claims.remove(0);
        }
        self.claims.push(Claim { arrived_at: now, report });
    }

    /// Removes and returns the claim to be this incarnation.
    pub(super) fn take(&mut self, id: &str, incarnation: u64) -> Option<EndpointReport> {
        let is_match =
            |claim: &Claim| claim.report.id == id && claim.report.incarnation == incarnation;
        let index = self.claims.iter().position(is_match)?;
        Some(self.claims.remove(index).report)
    }

    /// Removes and returns the claim to be the latest incarnation.
    pub(super) fn take_latest(&mut self) -> Option<EndpointReport> {
        let claims = self.claims.iter().enumerate();
        let (index, _) = claims.max_by_key(|(_, claim)| claim.report.incarnation)?;
        Some(self.claims.remove(index).report)
    }

    /// Drops the claims that had arrived when the known endpoint was asked for the listing that it
    /// has answered.
    pub(super) fn drop_disproved(&mut self, requested_at: Duration) {
        self.claims.retain(|claim| claim.arrived_at > requested_at);
    }

    /// Drops the claims of an endpoint that has left.
    pub(super) fn drop_id(&mut self, id: &str) {
        self.claims.retain(|claim| claim.report.id != id);
    }
}
