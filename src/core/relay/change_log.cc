#include "core/relay/change_log.h"

#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

/// Count the items that a change carries.
std::size_t WeightOf(const StoreChange& change)
{
  const auto* delta = std::get_if<RouteDelta>(&change.item);
  return delta ? 1 + delta->changed.size() + delta->dropped.size() : 1;
}

} // namespace

void ChangeLog::Append(StoreChange change)
{
  this->PendingWeight += WeightOf(change);
  // Nothing is kept of a batch that will be left out anyway.
  if (this->PendingWeight <= kHeaviestBatch) {
    this->Pending.push_back(std::move(change));
  }
}

void ChangeLog::Close(Revision complete)
{
  if (complete <= this->Complete) {
    return;
  }
  const bool isFirst = std::exchange(this->Complete, complete) == 0;
  const std::size_t weight = std::exchange(this->PendingWeight, 0);
  std::vector<StoreChange> changes = std::exchange(this->Pending, {});
  if (isFirst || weight > kHeaviestBatch) {
    this->Clear();
    return;
  }
  this->Batches.push_back({ complete, std::move(changes), weight });
  this->Weight += weight;
  while (this->Weight > kHeaviestLog || this->Batches.size() > kMostBatches) {
    this->Base = this->Batches.front().Complete;
    this->Weight -= this->Batches.front().Weight;
    this->Batches.pop_front();
  }
}

void ChangeLog::Clear()
{
  this->Batches.clear();
  this->Weight = 0;
  this->Base = this->Complete;
}

std::optional<std::vector<StoreChange>> ChangeLog::Since(Revision have) const
{
  if (have < this->Base || this->Complete == 0) {
    return std::nullopt;
  }
  std::vector<StoreChange> changes;
  for (const Batch& batch : this->Batches) {
    if (batch.Complete > have) {
      changes.insert(
        changes.end(), batch.Changes.begin(), batch.Changes.end());
    }
  }
  return changes;
}

} // namespace cobaltgauge::core
