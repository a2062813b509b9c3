/// @file
/// Membership updates waiting to be piggybacked on probe traffic, least-sent first
/// (SWIM, Das et al. 2002, section 4.1).
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "core/messages.h"

namespace cobaltgauge::core {

class GossipQueue {
 public:
  /// Queues an update; an earlier one about the same member is replaced.
  void add(const MemberUpdate& update);

  /// Picks updates for one message and counts the transmission.
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
