#include "daemon/peers/peer_link.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/hashing.h"
#include "daemon/clock.h"
#include "daemon/log.h"
#include "daemon/token_log.h"
#include "net/address.h"

namespace cobaltgauge::daemon {

PeerLink::PeerLink(asio::io_context& context,
                   const Settings& settings,
                   const SharedView& view,
                   core::Random& random,
                   Listener listener)
  : Self(settings.clusterListen)
  , View(view)
  , OnPeerEvent(std::move(listener))
  , Exchange(this->Self,
             view.Steering,
             view.Updater,
             view.Reader,
             random,
             &view.Changes)
  , Outliers(static_cast<std::uint64_t>(core::memberIdOf(settings.name)))
  , Load(this->Self,
         this->Meter,
         [this](core::Time now) {
           // The slots of a sampled view would make every zone look
           // overloaded.
           return this->View.Reader.hasAllBackends()
             ? this->View.Steering.backends().countSlots(now)
             : core::ZoneSlots{};
         })
  , Difference(view.Steering.backends(), view.Steering.routes())
  , Relay(this->Self,
          view.Reader,
          view.Updater,
          view.Changes,
          this->Outliers,
          random)
  , Backfill(this->Self,
             view.Reader,
             view.Updater,
             view.Steering.backends(),
             random)
  , Peers(
      context,
      net::PeerCodec(settings.clusterName,
                     settings.clusterKey,
                     core::memberIdOf(settings.name)),
      [this](const net::ReceivedFrame& received) { this->OnFrame(received); })
{
  this->SetLoadReports(settings.loadReports);
  this->Relay.SetLoad(&this->Load);
  this->Relay.SetDifference(&this->Difference);
  this->Relay.SetTiming(core::RelayTiming::ForBound(std::min(
    { settings.applyWithin, settings.drainWithin, settings.evacuateWithin })));
}

bool PeerLink::Open()
{
  return this->Peers.open(this->Self);
}

void PeerLink::SetSeeds(const Settings& settings)
{
  // All machines use the same cluster port; the ports of the seeds are
  // ignored.
  std::vector<core::Endpoint> seeds = settings.clusterSeeds;
  for (core::Endpoint& seed : seeds) {
    seed.port = this->Self.port;
  }
  this->Exchange.setSeeds(seeds);
  this->Relay.SetSeeds(seeds);
}

void PeerLink::OnTick(core::Time now)
{
  this->Exchange.onTick(now);
  this->Relay.OnTick(this->Exchange.peers(), now);
  this->BackfillView(now);
  this->LogUpstream(now);
  this->LogOutliers();
  this->LogLoad();
  this->Send();
  this->OnPeerEvent(now, false);
}

void PeerLink::OnStoreReply(core::Time now)
{
  // Requests a view from peers if the first read failed.
  this->Exchange.onTick(now);
  this->Relay.OnStoreReply(now);
  this->Send();
}

void PeerLink::SendNotice(const core::UnreachableGroupsNotice& notice)
{
  if (notice.Groups.empty()) {
    return;
  }
  const std::vector<core::Endpoint> neighbors = this->Relay.GetNeighbors();
  if (!neighbors.empty()) {
    this->Peers.send(neighbors, notice);
  }
}

void PeerLink::Leave()
{
  this->Relay.Leave();
  this->Send();
}

void PeerLink::OnFrame(const net::ReceivedFrame& received)
{
  const core::Time now = bootTime();
  bool changed = false;
  const auto& frame = received.frame;
  if (const auto* request = std::get_if<core::ViewRequest>(&frame)) {
    this->Exchange.onRequest(*request, now);
  } else if (const auto* transfer = std::get_if<core::ViewTransfer>(&frame)) {
    changed = this->ApplyTransfer(*transfer, now);
  } else if (const auto* subscription =
               std::get_if<core::ViewSubscription>(&frame)) {
    this->Exchange.addPeers({ subscription->replyTo });
    this->Relay.OnSubscription(*subscription, now);
  } else if (const auto* update = std::get_if<core::ViewUpdate>(&frame)) {
    changed = this->ApplyUpdate(*update, now);
  } else if (const auto* report = std::get_if<core::OutlierReport>(&frame)) {
    this->Relay.OnOutlierReport(*report, now);
    this->LogOutliers();
  } else if (const auto* load = std::get_if<core::LoadReport>(&frame)) {
    this->Relay.OnLoadReport(*load, now);
  } else if (const auto* summary = std::get_if<core::LoadSummary>(&frame)) {
    this->Relay.OnLoadSummary(*summary, now);
  } else if (const auto* notice =
               std::get_if<core::UnreachableGroupsNotice>(&frame)) {
    this->View.Steering.onGroupNotice(*notice, now);
  } else if (const auto* pageRequest =
               std::get_if<core::ViewPageRequest>(&frame)) {
    this->Backfill.OnRequest(*pageRequest, now);
  } else if (const auto* page = std::get_if<core::ViewPage>(&frame)) {
    changed = this->Backfill.OnPage(*page, now);
  }
  this->Send();
  this->OnPeerEvent(now, changed);
}

bool PeerLink::ApplyTransfer(const core::ViewTransfer& transfer,
                             core::Time now)
{
  const core::Revision before = this->View.Reader.revision();
  if (!this->Exchange.onTransfer(transfer, now)) {
    return false;
  }
  logEvent(LogLevel::kInfo,
           "view_from_peer",
           { { "revision_before", toString(before) },
             { "revision", toString(transfer.revision) },
             { "version", std::to_string(transfer.version) },
             { "age_ms", std::to_string(transfer.ageMs) },
             { "backends", std::to_string(transfer.backends.size()) } });
  this->Relay.OnStoreReply(now);
  return true;
}

bool PeerLink::ApplyUpdate(const core::ViewUpdate& update, core::Time now)
{
  this->Exchange.addPeers(update.peers);
  const core::UpdateOutcome outcome = this->Relay.OnUpdate(update, now);
  this->LogUpstream(now);
  return outcome == core::UpdateOutcome::kApplied;
}

void PeerLink::BackfillView(core::Time now)
{
  if (!this->Backfill.IsNeeded()) {
    return;
  }
  core::BackfillPeers peers;
  peers.Known = this->Exchange.peers();
  if (this->Relay.GetUpstream()) {
    peers.Near.push_back(*this->Relay.GetUpstream());
  }
  peers.Seeds = this->Relay.GetSeeds();
  peers.IsSeed = this->Relay.IsSeed();
  peers.FleetSize = this->Relay.GetFleetSize(now);
  this->Backfill.OnTick(peers, now);
}

void PeerLink::LogUpstream(core::Time now)
{
  if (this->Relay.GetUpstream() == this->LoggedUpstream) {
    return;
  }
  this->LoggedUpstream = this->Relay.GetUpstream();
  const bool found = this->LoggedUpstream.has_value();
  const core::Duration age = now - this->View.Reader.confirmedAt();
  logEvent(
    LogLevel::kInfo,
    found ? "upstream_found" : "upstream_lost",
    { { "peer", found ? net::formatEndpoint(*this->LoggedUpstream) : "none" },
      { "reads_store", this->Relay.IsReading() ? "yes" : "no" },
      { "view_age_ms", std::to_string(age / std::chrono::milliseconds(1)) },
      { "revision", toString(this->View.Reader.revision()) },
      { "version", std::to_string(this->View.Steering.routes().version()) } });
}

void PeerLink::LogOutliers()
{
  for (const core::BackendId backend : this->Relay.TakeDetectedOutliers()) {
    logOutlier(backend, this->View.Reader.revision());
  }
}

void PeerLink::LogLoad()
{
  const core::BackendRegistry& backends = this->View.Steering.backends();
  for (const core::ZoneBusyChange& change : this->Load.TakeBusyChanges()) {
    logZoneBusyChange(change, backends, this->Load.CountDaemons());
  }
}

void PeerLink::Send()
{
  const auto send = [this](const auto& destinations, const auto& content) {
    std::visit(
      [this, &destinations](const auto& message) {
        this->Peers.send(destinations, message);
      },
      content);
  };
  for (const core::OutgoingView& outgoing : this->Exchange.takeMessages()) {
    send(outgoing.destination, outgoing.message);
  }
  for (const core::OutgoingBackfillMessage& outgoing :
       this->Backfill.TakeMessages()) {
    send(outgoing.Destination, outgoing.Message);
  }
  for (const core::OutgoingRelayMessage& outgoing :
       this->Relay.TakeMessages()) {
    send(outgoing.Destinations, outgoing.Message);
  }
}

} // namespace cobaltgauge::daemon
