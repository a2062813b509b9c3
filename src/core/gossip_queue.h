/// @file
/// Queue of membership updates to piggyback on probe messages, least often sent first
/// (SWIM, Das et al. 2002, section 4.1).
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/messages.h"

namespace cobaltgauge::core {

class GossipQueue {
 public:
  /// Queues an update; replaces an earlier one for the same member.
  void add(const MemberUpdate& update);

  /// Selects the updates for one message and counts their transmission.
  /// @param memberCount size of the fleet; each update is sent O(log memberCount) times.
  std::vector<MemberUpdate> pick(std::size_t limit, std::size_t memberCount);

 private:
  struct Item {
    MemberUpdate update;
    std::size_t sent = 0;
  };

  std::map<MemberId, Item> items_;
};

}  // namespace cobaltgauge::core
