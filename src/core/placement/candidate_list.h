/// @file
/// The back ends of one service that may be given new flows.
#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "core/placement/placement_candidate.h"

namespace cobaltgauge::core {

/** \class CandidateList
 * \brief Candidates in no order, each found by its id.
 *
 * A change of one back end costs the same whatever the number of the others.
 * Collecting 8,000 of them anew took 2 ms, at every opening while back ends
 * come and go.
 */
class CandidateList
{
public:
  /// Add a candidate, or take what it says now.
  void Put(const PlacementCandidate& candidate)
  {
    const auto [place, isNew] =
      this->Places.try_emplace(candidate.id, this->Items.size());
    if (isNew) {
      this->Items.push_back(candidate);
    } else {
      this->Items[place->second] = candidate;
    }
  }

  void Remove(BackendId id)
  {
    const auto found = this->Places.find(id);
    if (found == this->Places.end()) {
      return;
    }
    const std::size_t place = found->second;
    this->Places.erase(found);
    if (place + 1 != this->Items.size()) {
      this->Items[place] = this->Items.back();
      this->Places[this->Items[place].id] = place;
    }
    this->Items.pop_back();
  }

  /// \return null where it is none.
  const PlacementCandidate* Find(BackendId id) const
  {
    const auto found = this->Places.find(id);
    return found == this->Places.end() ? nullptr : &this->Items[found->second];
  }

  const std::vector<PlacementCandidate>& GetAll() const { return this->Items; }

private:
  std::vector<PlacementCandidate> Items;
  std::unordered_map<BackendId, std::size_t> Places;
};

} // namespace cobaltgauge::core
