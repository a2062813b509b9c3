/// @file
/// Gives daemons that the store does not serve their view from a peer. Each daemon makes itself
/// known to its seeds at start; asks peers while it has no view, or while the store has failed it
/// for a while; and answers whoever asks. Nothing is sent while the store serves it.
///
/// A view is complete up to its revision and is ordered with the store's answers by it, so a peer
/// can bring a daemon forward and never back. A view from a peer does not count as current: no
/// opening is refused because of it.
#pragma once

#include <vector>

#include "core/admission.h"
#include "core/constants.h"
#include "core/random.h"
#include "core/relay/change_log.h"
#include "core/store_reader.h"
#include "core/token_steering.h"
#include "core/view_messages.h"

namespace cobaltgauge::core {

/// A message on its way to a peer.
struct OutgoingView {
  Endpoint destination;
  std::variant<ViewRequest, ViewTransfer> message;
};

/// Counters of a ViewExchange; see docs/METRICS.md.
struct ViewExchangeCounters {
  std::uint64_t requestsSent = 0;
  std::uint64_t requestsAnswered = 0;
  std::uint64_t viewsTaken = 0;
  std::uint64_t viewsOlder = 0;
};

class ViewExchange {
 public:
  /// @param self where this daemon takes peer messages.
  /// @param changes what peers that lack only these get through the relay; null for nothing.
  /// All references outlive the exchange.
  ViewExchange(const Endpoint& self, TokenSteering& steering, StoreSink& sink, StoreReader& reader,
               Random& random, const ChangeLog* changes = nullptr);

  /// Notes that the daemon starts now.
  void start(Time now);
  /// Names daemons that may exist.
  void setSeeds(const std::vector<Endpoint>& seeds);

  void onTick(Time now);
  void onRequest(const ViewRequest& request, Time now);
  /// @return true where the view moved this daemon forward.
  bool onTransfer(const ViewTransfer& transfer, Time now);

  std::vector<OutgoingView> takeMessages();
  const ViewExchangeCounters& counters() const { return counters_; }
  std::size_t peerCount() const { return peers_.size(); }
  /// @return daemons that may exist.
  const std::vector<Endpoint>& peers() const { return peers_; }
  /// Notes daemons that a peer named.
  void learnPeers(const std::vector<Endpoint>& peers);

 private:
  bool needsPeers(Time now) const;
  void introduce();
  void askSome(Time now);
  void addPeer(const Endpoint& peer);
  /// @return true where a peer that is complete up to `have` needs a whole view.
  bool needsWholeView(Revision have) const;
  ViewTransfer viewFor(const ViewRequest& request, Time now);

  Endpoint self_;
  TokenSteering& steering_;
  StoreSink& sink_;
  StoreReader& reader_;
  Random& random_;
  const ChangeLog* changes_;
  std::vector<Endpoint> peers_;  ///< Newest last.
  AdmissionTokenBucket views_{kViewUnitsPerSecond};
  std::vector<OutgoingView> outgoing_;
  bool introduced_ = false;
  Time startedAt_{};
  Time lastCurrentAt_{};
  Time nextAskAt_{};
  ViewExchangeCounters counters_;
};

}  // namespace cobaltgauge::core
