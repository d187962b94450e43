//! Serves peers and agents.

use std::sync::Arc;

use cowslipwing_claims::LeaseVote;
use cowslipwing_proto::peer_server::{Peer, PeerServer};
use cowslipwing_proto::{
    AnnounceReply, Announcement, FoldRequest, FoldState, ForwardReply, ForwardRequest, Heard,
    LeaseCheck, LeaseReply, LoanReply, LoanRequest, PromiseReply, PromiseRequest, Repayment,
    RepaymentReply, Transfer, TransferReply,
};
use cowslipwing_types::{EntryId, Incarnation, MemberVersion};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::service::interceptor::InterceptedService;
use tonic::{Request, Response, Status};

use super::shared::{Shared, lock};
use super::{forward, link, loans, takeover, transfer};
use crate::convert::range_epochs_from_proto;
use crate::net::{self, CheckRecipient};

/// Serves until the entry stops.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let addressee = CheckRecipient { id: shared.id.clone() };
    let service = PeerServer::new(Service { shared })
        .max_decoding_message_size(net::MAX_MESSAGE_BYTES)
        .max_encoding_message_size(net::MAX_MESSAGE_BYTES);
    let service = InterceptedService::new(service, addressee);
    let server = tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener));
    if let Err(error) = server.await {
        log::error!("entry: the server for peers stopped: {error}.");
    }
}

struct Service {
    shared: Arc<Shared>,
}

impl Service {
    fn hear(&self, announcement: &Announcement) -> Result<(), Status> {
        let incarnation: Incarnation = announcement
            .incarnation
            .parse()
            .map_err(|_| Status::invalid_argument("incarnation"))?;
        let now = self.shared.now();
        lock(&self.shared.announcements).record(now, incarnation, announcement.clone());
        link::learn(&self.shared, announcement);
        Ok(())
    }

    fn note_sign_of_life(&self, entry: &str, version: u64) {
        if let Ok(id) = entry.parse::<EntryId>() {
            self.shared.heard_from(&id, MemberVersion::new(version));
        }
    }

    fn answer_check(&self, check: &LeaseCheck) -> LeaseReply {
        let (within, hold) = loans::within(&self.shared);
        let votes = lock(&self.shared.votes);
        let base = LeaseReply {
            member_version: votes.member_version().get(),
            stopping: self.shared.is_stopping(),
            within_version: within.get(),
            hold_ms: u64::try_from(hold.as_millis()).unwrap_or(u64::MAX),
            ..LeaseReply::default()
        };
        let asker = MemberVersion::new(check.member_version);
        let answer =
            votes.confirm(self.shared.now(), asker, &range_epochs_from_proto(&check.ranges));
        let LeaseVote::Confirmed(confirmed) = answer else {
            return LeaseReply { abstains: true, ..base };
        };
        // The votes stay locked, so that no promise comes between them and the list.
        let announcements = lock(&self.shared.announcements);
        let heard = announcements
            .after_position(check.heard_after)
            .map(|(_, announced)| Heard {
                position: announced.position,
                announcement: Some(announced.announcement.clone()),
            })
            .collect();
        let confirmed = confirmed.into_iter().map(|range| range.get()).collect();
        LeaseReply { confirmed, heard, ..base }
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn announce(
        &self,
        req: Request<Announcement>,
    ) -> Result<Response<AnnounceReply>, Status> {
        let announcement = req.into_inner();
        self.hear(&announcement)?;
        let members = self.shared.members().iter().map(|(_, member)| member.clone()).collect();
        let withdrawn = link::is_withdrawn(&self.shared, &announcement.endpoint);
        let next_offset = self.shared.read(|fold| fold.next_offset().get());
        Ok(Response::new(AnnounceReply { members, withdrawn, next_offset }))
    }

    async fn check_lease(&self, req: Request<LeaseCheck>) -> Result<Response<LeaseReply>, Status> {
        let check = req.into_inner();
        self.note_sign_of_life(&check.entry, check.member_version);
        Ok(Response::new(self.answer_check(&check)))
    }

    async fn promise(
        &self,
        req: Request<PromiseRequest>,
    ) -> Result<Response<PromiseReply>, Status> {
        let req = req.into_inner();
        self.note_sign_of_life(&req.entry, req.member_version);
        Ok(Response::new(takeover::promise(&self.shared, &req)))
    }

    async fn forward(
        &self,
        req: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        let reply = forward::answer(&self.shared, req.into_inner()).await;
        Ok(Response::new(reply))
    }

    async fn lend(&self, req: Request<LoanRequest>) -> Result<Response<LoanReply>, Status> {
        Ok(Response::new(loans::lend(&self.shared, &req.into_inner())))
    }

    async fn repay(&self, req: Request<Repayment>) -> Result<Response<RepaymentReply>, Status> {
        loans::on_repaid(&self.shared, &req.into_inner());
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
        Ok(Response::new(self.shared.read(|fold| FoldState::from(fold))))
    }
}
