#include "core/gossip_queue.h"

#include <algorithm>
#include <bit>

namespace cobaltgauge::core {
namespace {

/// Minimum number of transmissions per update. Updates that miss a member are repaired by the
/// comparison of view hashes.
constexpr std::size_t kMinSends = 9;

}  // namespace

void GossipQueue::add(const MemberUpdate& update) { items_[update.identity.id] = Item{update, 0}; }

std::vector<MemberUpdate> GossipQueue::pick(std::size_t limit, std::size_t memberCount) {
  std::vector<Item*> order;
  order.reserve(items_.size());
  for (auto& [id, item] : items_) {
    order.push_back(&item);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const Item* a, const Item* b) { return a->sent < b->sent; });
  order.resize(std::min(order.size(), limit));
  std::vector<MemberUpdate> picked;
  picked.reserve(order.size());
  for (Item* item : order) {
    picked.push_back(item->update);
    ++item->sent;
  }
  const std::size_t maxSends = std::max<std::size_t>(kMinSends, std::bit_width(memberCount + 1));
  std::erase_if(items_, [maxSends](const auto& entry) { return entry.second.sent >= maxSends; });
  return picked;
}

}  // namespace cobaltgauge::core
