#include "core/view_exchange.h"

#include <algorithm>
#include <utility>

#include "core/view_conversion.h"

namespace cobaltgauge::core {
ViewExchange::ViewExchange(const Endpoint& self, TokenSteering& steering, StoreSink& sink,
                           StoreReader& reader, Random& random, const ChangeLog* changes)
    : self_(self),
      steering_(steering),
      sink_(sink),
      reader_(reader),
      random_(random),
      changes_(changes) {}

void ViewExchange::start(Time now) {
  startedAt_ = now;
  lastCurrentAt_ = now;
}

void ViewExchange::setSeeds(const std::vector<Endpoint>& seeds) {
  for (const Endpoint& seed : seeds) {
    addPeer(seed);
  }
  announced_ = false;
}

void ViewExchange::addPeer(const Endpoint& peer) {
  if (peer == self_ || peer.port == 0) {
    return;
  }
  std::erase(peers_, peer);
  if (peers_.size() >= kMaxViewPeers) {
    peers_.erase(peers_.begin());
  }
  peers_.push_back(peer);
}

void ViewExchange::addPeers(const std::vector<Endpoint>& peers) {
  for (const Endpoint& peer : peers) {
    addPeer(peer);
  }
}

bool ViewExchange::needsPeers(Time now) const {
  if (!reader_.isSynchronized() && reader_.wasRejected()) {
    return true;
  }
  if (!reader_.isSynchronized()) {
    return now - std::max(startedAt_, reader_.lastReplyAt()) >= kStoreStartupTimeout;
  }
  return now - lastCurrentAt_ >= kStoreSilenceTimeout;
}

void ViewExchange::onTick(Time now) {
  if (reader_.isCurrent(now)) {
    lastCurrentAt_ = now;
  }
  if (!std::exchange(announced_, true)) {
    announce();
  }
  if (needsPeers(now) && now >= nextRequestAt_) {
    requestViews(now);
  }
}

void ViewExchange::announce() {
  for (const Endpoint& peer : peers_) {
    outgoing_.push_back({peer, ViewRequest{self_, reader_.revision(), false}});
  }
}

void ViewExchange::requestViews(Time now) {
  nextRequestAt_ = now + kPeerQueryInterval;
  std::vector<Endpoint> recipients = peers_;
  while (recipients.size() > kPeersPerQuery) {
    recipients.erase(recipients.begin() +
                     static_cast<std::ptrdiff_t>(random_.below(recipients.size())));
  }
  for (const Endpoint& peer : recipients) {
    ++counters_.requestsSent;
    outgoing_.push_back({peer, ViewRequest{self_, reader_.revision(), true}});
  }
}

void ViewExchange::onRequest(const ViewRequest& request, Time now) {
  addPeer(request.replyTo);
  if (request.viewRequested) {
    ++counters_.requestsAnswered;
    outgoing_.push_back({request.replyTo, makeTransfer(request, now)});
  }
}

bool ViewExchange::needsFullView(Revision have) const {
  const bool hasNewerView = reader_.hasAllBackends() && reader_.revision() > have;
  const bool areChangesSufficient =
      have != 0 && changes_ != nullptr && changes_->Covers(have) && reader_.history().Covers(have);
  return hasNewerView && !areChangesSufficient;
}

ViewTransfer ViewExchange::makeTransfer(const ViewRequest& request, Time now) {
  ViewTransfer view;
  for (const Endpoint& peer : peers_) {
    if (peer != request.replyTo) {
      view.peers.push_back(peer);
    }
  }
  if (!needsFullView(request.have) || !viewBudget_.admit(AdmissionTokenBucket::kMaxPriority, now)) {
    return view;
  }
  view.revision = reader_.revision();
  view.ageMs = toMilliseconds(now - lastCurrentAt_);
  view.version = steering_.routes().version();
  view.idleTimeoutMs = static_cast<std::uint32_t>(steering_.routes().idleTimeout().count());
  for (const Route& route : steering_.routes().routes()) {
    view.routes.push_back(toMessage(route));
  }
  for (const ServiceTraits& service : steering_.routes().services()) {
    view.services.push_back(toMessage(service));
  }
  for (const StoreChange& change : steering_.backends().contents()) {
    view.backends.push_back(toMessage(change, std::get<Registration>(change.item)));
  }
  for (const StoreChange& change : steering_.backends().evacuations().GetContents()) {
    view.evacuations.push_back(toMessage(change, std::get<ZoneEvacuation>(change.item)));
  }
  const std::size_t units = (view.routes.size() + view.backends.size()) / kItemsPerViewUnit;
  viewBudget_.charge(static_cast<std::uint32_t>(units));
  return view;
}

bool ViewExchange::onTransfer(const ViewTransfer& transfer, Time now) {
  addPeers(transfer.peers);
  if (transfer.revision == 0) {
    return false;
  }
  if (transfer.revision <= reader_.revision()) {
    ++counters_.outdatedViews;
    return false;
  }
  ++counters_.viewsApplied;
  RouteSet routes;
  routes.version = transfer.version;
  routes.idleTimeout = std::chrono::milliseconds(transfer.idleTimeoutMs);
  for (const ViewRoute& message : transfer.routes) {
    if (std::optional<Route> route = toRoute(message)) {
      routes.routes.push_back(std::move(*route));
    }
  }
  for (const ViewService& message : transfer.services) {
    routes.services.push_back(toTraits(message));
  }
  if (routes.version != 0) {
    sink_.onChange({"peer", transfer.revision, std::move(routes)}, now);
  }
  std::set<std::string> keys;
  for (const ViewBackend& backend : transfer.backends) {
    keys.insert(backend.key);
    sink_.onChange(toChange(backend), now);
  }
  for (const ViewEvacuation& evacuation : transfer.evacuations) {
    keys.insert(evacuation.key);
    sink_.onChange(toChange(evacuation), now);
  }
  sink_.onListed(keys, transfer.revision, now);
  reader_.replace(transfer.revision);
  return true;
}

std::vector<OutgoingView> ViewExchange::takeMessages() { return std::exchange(outgoing_, {}); }

}  // namespace cobaltgauge::core
