#include "core/refused_items.h"

#include "core/constants.h"

namespace cobaltgauge::core {

bool RefusedItems::add(const std::string& key, Revision revision) {
  const auto known = revisions_.find(key);
  if (known != revisions_.end() && known->second == revision) {
    return false;
  }
  if (known != revisions_.end()) {
    known->second = revision;
  } else if (revisions_.size() < kMaxRefusedItems) {
    revisions_.emplace(key, revision);
  }
  ++total_;
  return true;
}

void RefusedItems::remove(const std::string& key) { revisions_.erase(key); }

void RefusedItems::retainOnly(const std::set<std::string>& keys) {
  std::erase_if(revisions_, [&keys](const auto& item) { return !keys.contains(item.first); });
}

}  // namespace cobaltgauge::core
