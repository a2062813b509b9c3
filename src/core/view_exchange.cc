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
  introduced_ = false;
}

void ViewExchange::addPeer(const Endpoint& peer) {
  if (peer == self_ || peer.port == 0) {
    return;
  }
  std::erase(peers_, peer);
  if (peers_.size() >= kMostViewPeers) {
    peers_.erase(peers_.begin());
  }
  peers_.push_back(peer);
}

void ViewExchange::learnPeers(const std::vector<Endpoint>& peers) {
  for (const Endpoint& peer : peers) {
    addPeer(peer);
  }
}

bool ViewExchange::needsPeers(Time now) const {
  if (!reader_.isComplete() && reader_.isTurnedAway()) {
    return true;
  }
  if (!reader_.isComplete()) {
    return now - std::max(startedAt_, reader_.lastAnswerAt()) >= kStoreFirstTry;
  }
  return now - lastCurrentAt_ >= kStoreSilence;
}

void ViewExchange::onTick(Time now) {
  if (reader_.isCurrent(now)) {
    lastCurrentAt_ = now;
  }
  if (!std::exchange(introduced_, true)) {
    introduce();
  }
  if (needsPeers(now) && now >= nextAskAt_) {
    askSome(now);
  }
}

void ViewExchange::introduce() {
  for (const Endpoint& peer : peers_) {
    outgoing_.push_back({peer, ViewRequest{self_, reader_.revision(), false}});
  }
}

void ViewExchange::askSome(Time now) {
  nextAskAt_ = now + kAskPeersEvery;
  std::vector<Endpoint> choice = peers_;
  while (choice.size() > kPeersAsked) {
    choice.erase(choice.begin() + static_cast<std::ptrdiff_t>(random_.below(choice.size())));
  }
  for (const Endpoint& peer : choice) {
    ++counters_.requestsSent;
    outgoing_.push_back({peer, ViewRequest{self_, reader_.revision(), true}});
  }
}

void ViewExchange::onRequest(const ViewRequest& request, Time now) {
  addPeer(request.replyTo);
  if (request.wanted) {
    ++counters_.requestsAnswered;
    outgoing_.push_back({request.replyTo, viewFor(request, now)});
  }
}

bool ViewExchange::needsWholeView(Revision have) const {
  const bool hasNews = reader_.isWhole() && reader_.revision() > have;
  const bool changesWillDo =
      have != 0 && changes_ != nullptr && changes_->Reaches(have) && reader_.history().Covers(have);
  return hasNews && !changesWillDo;
}

ViewTransfer ViewExchange::viewFor(const ViewRequest& request, Time now) {
  ViewTransfer view;
  for (const Endpoint& peer : peers_) {
    if (peer != request.replyTo) {
      view.peers.push_back(peer);
    }
  }
  if (!needsWholeView(request.have) || !views_.admit(AdmissionTokenBucket::kMaxPriority, now)) {
    return view;
  }
  view.revision = reader_.revision();
  view.ageMs = wholeMilliseconds(now - lastCurrentAt_);
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
  views_.charge(static_cast<std::uint32_t>(units));
  return view;
}

bool ViewExchange::onTransfer(const ViewTransfer& transfer, Time now) {
  learnPeers(transfer.peers);
  if (transfer.revision == 0) {
    return false;
  }
  if (transfer.revision <= reader_.revision()) {
    ++counters_.viewsOlder;
    return false;
  }
  ++counters_.viewsTaken;
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
