/// @file
/// Passive signs of life of back ends, from the callers' packets alone: an opening that is sent
/// again was not answered, and a packet that acknowledges new bytes proves an answer. Signs only
/// steer new flows away for a while; nothing that is open moves because of them.
#pragma once

#include <unordered_map>

#include "core/types.h"

namespace cobaltgauge::core {

class BackendEvidence {
 public:
  /// Notes that a caller has received something new from the back end.
  void onAnswer(BackendId backend, Time now);

  /// Notes that an opening sent on at `forwardedAt` was not answered by now.
  void onSilence(BackendId backend, Time forwardedAt, Time now);

  /// @return true where the back end left an opening unanswered and has shown no life since.
  bool isSuspected(BackendId backend, Time now) const;

  /// Forgets back ends without recent signs.
  void expire(Time now);

 private:
  struct Signs {
    Time lastAnswer{};
    Time silentSince{};   ///< When the unanswered opening was sent on.
    Time suspectedAt{};   ///< Zero where it is not suspected.
  };

  std::unordered_map<BackendId, Signs> signs_;
};

}  // namespace cobaltgauge::core
