/// @file
/// The backends of one service that may be selected for new flows.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "core/placement/placement_candidate.h"

namespace cobaltgauge::core {

/** \class CandidateList
 * \brief Unordered list of candidates with lookup by id.
 *
 * Adding, updating and removing a candidate takes constant time.
 */
class CandidateList
{
public:
  /// Add a candidate or replace the one with the same id.
  void Put(const PlacementCandidate& candidate)
  {
    const auto [index, isNew] =
      this->IndexById.try_emplace(candidate.id, this->Items.size());
    if (isNew) {
      this->Items.push_back(candidate);
    } else {
      this->Items[index->second] = candidate;
    }
  }

  void Remove(BackendId id)
  {
    const auto found = this->IndexById.find(id);
    if (found == this->IndexById.end()) {
      return;
    }
    const std::size_t index = found->second;
    this->IndexById.erase(found);
    if (index + 1 != this->Items.size()) {
      this->Items[index] = this->Items.back();
      this->IndexById[this->Items[index].id] = index;
    }
    this->Items.pop_back();
  }

  /// \return null if the backend is not a candidate.
  const PlacementCandidate* Find(BackendId id) const
  {
    const auto found = this->IndexById.find(id);
    return found == this->IndexById.end() ? nullptr
                                          : &this->Items[found->second];
  }

  const std::vector<PlacementCandidate>& GetAll() const { return this->Items; }

private:
  std::vector<PlacementCandidate> Items;
  std::unordered_map<BackendId, std::size_t> IndexById;
};

} // namespace cobaltgauge::core
