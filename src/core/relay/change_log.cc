#include "core/relay/change_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

std::size_t CountItems(const StoreChange& change)
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
  if (this->CompleteRevision == 0) {
    this->Close(listed);
  }
}

void ChangeLog::Append(StoreChange change)
{
  const std::size_t itemCount = CountItems(change);
  this->PendingItemCount += itemCount;
  this->LargestPendingChange = std::max(this->LargestPendingChange, itemCount);
  this->NewestPendingRevision =
    std::max(this->NewestPendingRevision, change.revision);
  // An oversized batch is not stored, as Close() would discard it.
  if (this->PendingItemCount <= kMaxLogItems) {
    this->Pending.push_back(std::move(change));
  }
}

void ChangeLog::Close(Revision complete)
{
  if (complete <= this->CompleteRevision) {
    return;
  }
  const bool isFirst = std::exchange(this->CompleteRevision, complete) == 0;
  const std::size_t itemCount = std::exchange(this->PendingItemCount, 0);
  const std::size_t largestChange =
    std::exchange(this->LargestPendingChange, 0);
  const Revision newest = std::exchange(this->NewestPendingRevision, 0);
  const bool isIndivisible = std::exchange(this->Indivisible, false);
  std::vector<StoreChange> changes = std::exchange(this->Pending, {});
  const std::size_t smallestPart = isIndivisible ? itemCount : largestChange;
  if (isFirst || smallestPart > kMaxBatchItems || itemCount > kMaxLogItems) {
    this->Clear(newest);
    return;
  }
  std::vector<StoreChange> newerChanges;
  std::copy_if(changes.begin(),
               changes.end(),
               std::back_inserter(newerChanges),
               [&complete](const StoreChange& change) {
                 return change.revision > complete;
               });
  if (itemCount <= kMaxBatchItems) {
    this->AddBatch({ complete, std::move(changes), itemCount });
  } else {
    this->AddSplit(std::move(changes), complete);
  }
  this->DropOldest();
  for (StoreChange& change : newerChanges) {
    this->Append(std::move(change));
  }
}

void ChangeLog::AddSplit(std::vector<StoreChange> changes, Revision complete)
{
  // Changes of one revision stay in one batch.  Changes newer than `complete`
  // go into the last batch.
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
    const std::size_t itemCount = CountItems(change);
    const bool isFull = part.ItemCount + itemCount > kMaxBatchItems;
    if (isFull && part.EndRevision < end(change)) {
      this->AddBatch(std::exchange(part, {}));
    }
    part.EndRevision = end(change);
    part.ItemCount += itemCount;
    part.Changes.push_back(std::move(change));
  }
  part.EndRevision = complete;
  this->AddBatch(std::move(part));
}

void ChangeLog::AddBatch(Batch batch)
{
  this->ItemCount += batch.ItemCount;
  this->Batches.push_back(std::move(batch));
}

void ChangeLog::DropOldest()
{
  while (this->ItemCount > kMaxLogItems ||
         this->Batches.size() > kMaxLogBatches) {
    this->Base = this->Batches.front().EndRevision;
    this->ItemCount -= this->Batches.front().ItemCount;
    this->Batches.pop_front();
  }
}

void ChangeLog::Clear(const Revision& newestListed)
{
  this->Batches.clear();
  this->ItemCount = 0;
  this->Base = std::max(this->CompleteRevision, newestListed);
}

std::optional<ChangeRange> ChangeLog::Since(Revision have) const
{
  if (!this->Covers(have)) {
    return std::nullopt;
  }
  ChangeRange range;
  range.EndRevision = have;
  std::size_t itemCount = 0;
  for (const Batch& batch : this->Batches) {
    if (batch.EndRevision <= have) {
      continue;
    }
    itemCount += batch.ItemCount;
    if (itemCount > kMaxBatchItems && !range.Changes.empty()) {
      return range;
    }
    range.Changes.insert(
      range.Changes.end(), batch.Changes.begin(), batch.Changes.end());
    range.EndRevision = batch.EndRevision;
  }
  range.EndRevision = std::max(have, this->CompleteRevision);
  return range;
}

} // namespace cobaltgauge::core
