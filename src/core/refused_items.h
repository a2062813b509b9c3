/// @file
/// Remembers which items of the store cannot be read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/registration.h"

namespace cobaltgauge::core {

/// Decides whether a refused item has to be reported: the store shows the same item again in each
/// listing. Remembers a limited number of items, and reports later ones each time.
class RefusedItems {
 public:
  /// @return false if this version of the item was added before.
  bool add(const std::string& key, Revision revision);
  /// Forgets an item that is gone or can be read now.
  void remove(const std::string& key);
  /// Forgets all items but those listed.
  void retainOnly(const std::set<std::string>& keys);

  /// @return the number of items that are remembered.
  std::size_t size() const { return revisions_.size(); }
  /// @return how many times an item was reported.
  std::uint64_t total() const { return total_; }

 private:
  std::map<std::string, Revision> revisions_;  ///< By key.
  std::uint64_t total_ = 0;
};

}  // namespace cobaltgauge::core
