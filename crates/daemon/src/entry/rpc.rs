//! The gRPC interface for peers and agents.

use std::sync::Arc;

use cowslipwing_claims::LeaseVote;
use cowslipwing_proto::peer_server::{Peer, PeerServer};
use cowslipwing_proto::{
    AnnounceReply, Announcement, FoldRequest, FoldState, ForwardReply, ForwardRequest, Heard,
    LeaseCheck, LeaseReply, LoanReply, LoanRequest, PromiseReply, PromiseRequest, Repayment,
    RepaymentReply, Transfer, TransferReply,
};
use cowslipwing_server::Listener;
use cowslipwing_types::{EntryId, Incarnation, MemberVersion};
use tonic::service::interceptor::InterceptedService;
use tonic::{Request, Response, Status};

use super::shared::{Shared, lock};
use super::{forward, link, quotas, takeover, transfer};
use crate::convert::range_epochs_from_proto;
use crate::net::{self, CheckRecipient};

/// Serves calls until the entry stops. Calls that are addressed to another incarnation of the entry
/// are refused.
pub(crate) async fn serve(shared: Arc<Shared>, listener: Listener) {
    let recipient_check = CheckRecipient { id: shared.id.clone() };
    let service = PeerServer::new(PeerService { shared })
        .max_decoding_message_size(net::MAX_MESSAGE_BYTES)
        .max_encoding_message_size(net::MAX_MESSAGE_BYTES);
    let service = InterceptedService::new(service, recipient_check);
    listener.serve_http2(service).await;
}

struct PeerService {
    shared: Arc<Shared>,
}

impl PeerService {
    /// Records an announcement and opens a link to a new incarnation.
    fn on_announcement(&self, announcement: &Announcement) -> Result<(), Status> {
        let incarnation: Incarnation = announcement.incarnation.parse().map_err(|_| {
            Status::invalid_argument("the incarnation in the announcement is not a valid name")
        })?;
        let now = self.shared.now();
        lock(&self.shared.agent_registry).record(now, incarnation, announcement.clone());
        link::on_announcement(&self.shared, announcement);
        Ok(())
    }

    fn record_peer_activity(&self, entry: &str, version: u64) {
        if let Ok(id) = entry.parse::<EntryId>() {
            self.shared.record_peer_activity(&id, MemberVersion::new(version));
        }
    }

    /// Votes on the leases of a peer, and lists the agents that announced themselves for the first
    /// time since the peer's last check.
    fn reply_to_lease_check(&self, check: &LeaseCheck) -> LeaseReply {
        let (quota_version, hold) = quotas::quota_status(&self.shared);
        let voter = lock(&self.shared.lease_voter);
        let base = LeaseReply {
            member_version: voter.member_version().get(),
            stopping: self.shared.is_stopping(),
            within_version: quota_version.get(),
            hold_ms: u64::try_from(hold.as_millis()).unwrap_or(u64::MAX),
            ..LeaseReply::default()
        };
        let requester_version = MemberVersion::new(check.member_version);
        let vote = voter.confirm(
            self.shared.now(),
            requester_version,
            &range_epochs_from_proto(&check.ranges),
        );
        let LeaseVote::Confirmed(confirmed) = vote else {
            return LeaseReply { abstains: true, ..base };
        };
        // The voter stays locked, so that no promise is made before the agents are listed.
        let registry = lock(&self.shared.agent_registry);
        let heard = registry
            .after_position(check.heard_after)
            .map(|(_, agent)| Heard {
                position: agent.position,
                announcement: Some(agent.announcement.clone()),
            })
            .collect();
        let confirmed = confirmed.into_iter().map(|range| range.get()).collect();
        LeaseReply { confirmed, heard, ..base }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn announce(
        &self,
        req: Request<Announcement>,
    ) -> Result<Response<AnnounceReply>, Status> {
        let announcement = req.into_inner();
        self.on_announcement(&announcement)?;
        let members = self.shared.members().iter().map(|(_, member)| member.clone()).collect();
        let withdrawn =
            link::is_withdrawn(&self.shared, &announcement.endpoint, &announcement.site);
        let next_offset = self.shared.with_fold(|fold| fold.next_offset().get());
        Ok(Response::new(AnnounceReply { members, withdrawn, next_offset }))
    }

    async fn check_lease(&self, req: Request<LeaseCheck>) -> Result<Response<LeaseReply>, Status> {
        let check = req.into_inner();
        self.record_peer_activity(&check.entry, check.member_version);
        Ok(Response::new(self.reply_to_lease_check(&check)))
    }

    async fn promise(
        &self,
        req: Request<PromiseRequest>,
    ) -> Result<Response<PromiseReply>, Status> {
        let req = req.into_inner();
        self.record_peer_activity(&req.entry, req.member_version);
        Ok(Response::new(takeover::promise(&self.shared, &req)))
    }

    async fn forward(
        &self,
        req: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        let reply = forward::serve_forwarded(&self.shared, req.into_inner()).await;
        Ok(Response::new(reply))
    }

    async fn lend(&self, req: Request<LoanRequest>) -> Result<Response<LoanReply>, Status> {
        Ok(Response::new(quotas::lend(&self.shared, &req.into_inner())))
    }

    async fn repay(&self, req: Request<Repayment>) -> Result<Response<RepaymentReply>, Status> {
        quotas::on_repaid(&self.shared, &req.into_inner());
        Ok(Response::new(RepaymentReply {}))
    }

    async fn transfer_ranges(
        &self,
        req: Request<Transfer>,
    ) -> Result<Response<TransferReply>, Status> {
        let accepted = transfer::accept(&self.shared, req.into_inner());
        Ok(Response::new(TransferReply { accepted }))
    }

    async fn fetch_fold(&self, _: Request<FoldRequest>) -> Result<Response<FoldState>, Status> {
        Ok(Response::new(self.shared.with_fold(|fold| FoldState::from(fold))))
    }
}
