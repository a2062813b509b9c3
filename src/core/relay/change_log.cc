#include "core/relay/change_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

/// Count the items that a change carries.
std::size_t WeightOf(const StoreChange& change)
{
  if (const auto* delta = std::get_if<RouteDelta>(&change.item)) {
    return 1 + delta->changed.size() + delta->dropped.size();
  }
  const auto* routes = std::get_if<RouteSet>(&change.item);
  return routes ? 1 + routes->routes.size() : 1;
}

} // namespace

void ChangeLog::Begin(Revision listed)
{
  if (this->Complete == 0) {
    this->Close(listed);
  }
}

void ChangeLog::Append(StoreChange change)
{
  const std::size_t weight = WeightOf(change);
  this->PendingWeight += weight;
  this->HeaviestPending = std::max(this->HeaviestPending, weight);
  this->NewestPending = std::max(this->NewestPending, change.revision);
  // Nothing is kept of a batch that will be left out anyway.
  if (this->PendingWeight <= kMaxLogItems) {
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
  const std::size_t heaviest = std::exchange(this->HeaviestPending, 0);
  const Revision newest = std::exchange(this->NewestPending, 0);
  const bool isWhole = std::exchange(this->Indivisible, false);
  std::vector<StoreChange> changes = std::exchange(this->Pending, {});
  const std::size_t lightest = isWhole ? weight : heaviest;
  if (isFirst || lightest > kMaxBatchItems || weight > kMaxLogItems) {
    this->Clear(newest);
    return;
  }
  std::vector<StoreChange> beyond;
  std::copy_if(changes.begin(),
               changes.end(),
               std::back_inserter(beyond),
               [&complete](const StoreChange& change) {
                 return change.revision > complete;
               });
  if (weight <= kMaxBatchItems) {
    this->AddBatch({ complete, std::move(changes), weight });
  } else {
    this->AddInParts(std::move(changes), complete);
  }
  this->DropOldest();
  for (StoreChange& change : beyond) {
    this->Append(std::move(change));
  }
}

void ChangeLog::AddInParts(std::vector<StoreChange> changes, Revision complete)
{
  // The changes of one revision are never divided, and those that are newer
  // than `complete` come with the last part.
  const auto end = [complete](const StoreChange& change) {
    return std::min(change.revision, complete);
  };
  std::stable_sort(changes.begin(),
                   changes.end(),
                   [&end](const StoreChange& left, const StoreChange& right) {
                     return end(left) < end(right);
                   });
  Batch part;
  for (StoreChange& change : changes) {
    const std::size_t weight = WeightOf(change);
    const bool isFull = part.Weight + weight > kMaxBatchItems;
    if (isFull && part.Complete < end(change)) {
      this->AddBatch(std::exchange(part, {}));
    }
    part.Complete = end(change);
    part.Weight += weight;
    part.Changes.push_back(std::move(change));
  }
  part.Complete = complete;
  this->AddBatch(std::move(part));
}

void ChangeLog::AddBatch(Batch batch)
{
  this->Weight += batch.Weight;
  this->Batches.push_back(std::move(batch));
}

void ChangeLog::DropOldest()
{
  while (this->Weight > kMaxLogItems ||
         this->Batches.size() > kMaxLogBatches) {
    this->Base = this->Batches.front().Complete;
    this->Weight -= this->Batches.front().Weight;
    this->Batches.pop_front();
  }
}

void ChangeLog::Clear(const Revision& shown)
{
  this->Batches.clear();
  this->Weight = 0;
  this->Base = std::max(this->Complete, shown);
}

std::optional<ChangeExcerpt> ChangeLog::Since(Revision have) const
{
  if (!this->Reaches(have)) {
    return std::nullopt;
  }
  ChangeExcerpt excerpt;
  excerpt.Reached = have;
  std::size_t weight = 0;
  for (const Batch& batch : this->Batches) {
    if (batch.Complete <= have) {
      continue;
    }
    weight += batch.Weight;
    if (weight > kMaxBatchItems && !excerpt.Changes.empty()) {
      return excerpt;
    }
    excerpt.Changes.insert(
      excerpt.Changes.end(), batch.Changes.begin(), batch.Changes.end());
    excerpt.Reached = batch.Complete;
  }
  excerpt.Reached = std::max(have, this->Complete);
  return excerpt;
}

} // namespace cobaltgauge::core
