/// @file
/// Transfers full views between peers for daemons that cannot read the store. Each daemon announces
/// itself to its seeds at start, requests views while it has none or while its reads have failed
/// for some time, and answers requests. Nothing is sent while the store answers.
///
/// A view is complete up to its revision, which orders it among the store's responses. A peer can
/// therefore never set a daemon back to an older state. A view from a peer does not count as
/// current and is no reason to reject connection attempts.
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

/// A message to be sent to a peer.
struct OutgoingView {
  Endpoint destination;
  std::variant<ViewRequest, ViewTransfer> message;
};

/// Counters of a ViewExchange; see docs/METRICS.md.
struct ViewExchangeCounters {
  std::uint64_t requestsSent = 0;
  std::uint64_t requestsAnswered = 0;
  std::uint64_t viewsApplied = 0;
  std::uint64_t outdatedViews = 0;
};

class ViewExchange {
 public:
  /// @param self address on which this daemon receives peer messages.
  /// @param changes log of changes that peers can get through the relay instead of a full view; may
  /// be null.
  /// All references must outlive the exchange.
  ViewExchange(const Endpoint& self, TokenSteering& steering, StoreSink& sink, StoreReader& reader,
               Random& random, const ChangeLog* changes = nullptr);

  /// Records the start time of the daemon.
  void start(Time now);
  /// Sets daemons that may exist.
  void setSeeds(const std::vector<Endpoint>& seeds);

  void onTick(Time now);
  void onRequest(const ViewRequest& request, Time now);
  /// @return true if the view was newer and has been applied.
  bool onTransfer(const ViewTransfer& transfer, Time now);

  std::vector<OutgoingView> takeMessages();
  const ViewExchangeCounters& counters() const { return counters_; }
  std::size_t peerCount() const { return peers_.size(); }
  /// @return daemons that may exist.
  const std::vector<Endpoint>& peers() const { return peers_; }
  /// Adds daemons that a peer named.
  void addPeers(const std::vector<Endpoint>& peers);

 private:
  bool needsPeers(Time now) const;
  void announce();
  void requestViews(Time now);
  void addPeer(const Endpoint& peer);
  /// @return true if a peer that is complete up to `have` needs a full view.
  bool needsFullView(Revision have) const;
  ViewTransfer makeTransfer(const ViewRequest& request, Time now);

  Endpoint self_;
  TokenSteering& steering_;
  StoreSink& sink_;
  StoreReader& reader_;
  Random& random_;
  const ChangeLog* changes_;
  std::vector<Endpoint> peers_;  ///< Most recent last.
  AdmissionTokenBucket viewBudget_{kViewUnitsPerSecond};
  std::vector<OutgoingView> outgoing_;
  bool announced_ = false;
  Time startedAt_{};
  Time lastCurrentAt_{};
  Time nextRequestAt_{};
  ViewExchangeCounters counters_;
};

}  // namespace cobaltgauge::core
