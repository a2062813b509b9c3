#include "core/relay/view_difference.h"

#include <algorithm>
#include <utility>

namespace cobaltgauge::core {
namespace {

RouteSet GetRouteSet(const RouteTable& routes)
{
  return {
    routes.version(), routes.idleTimeout(), routes.routes(), routes.services()
  };
}

std::size_t CountRoutes(const std::vector<StoreChange>& versions)
{
  std::size_t count = 0;
  for (const StoreChange& version : versions) {
    const auto& delta = std::get<RouteDelta>(version.item);
    count += delta.changed.size() + delta.dropped.size();
  }
  return count;
}

} // namespace

std::optional<std::vector<StoreChange>> ViewDifference::GetRoutesSince(
  Revision have) const
{
  if (this->Routes.changedAt() <= have) {
    return std::vector<StoreChange>{};
  }
  std::optional<std::vector<StoreChange>> versions =
    this->Routes.deltasSince(have);
  if (versions && CountRoutes(*versions) <= kMaxRelayedRoutes) {
    return versions;
  }
  if (this->Routes.size() > kMaxRelayedRoutes) {
    return std::nullopt;
  }
  return std::vector<StoreChange>{
    { "", this->Routes.changedAt(), GetRouteSet(this->Routes) }
  };
}

void ViewDifference::UpdateCache(Revision have)
{
  const bool isCacheValid = this->Cached.IsValid &&
    this->Cached.From <= have &&
    this->Cached.Generation == this->Backends.generation();
  if (isCacheValid) {
    return;
  }
  RegistryDifference difference = this->Backends.changesSince(have);
  this->Cached = { true,
                   this->Backends.generation(),
                   have,
                   std::move(difference.boundedRemovals),
                   std::move(difference.exactChanges) };
  // Evacuations are few, and a listing may have ended some at an unknown
  // revision.
  for (StoreChange& change :
       this->Backends.evacuations().GetChangesSince(have)) {
    this->Cached.UnorderedChanges.push_back(std::move(change));
  }
  std::stable_sort(this->Cached.OrderedChanges.begin(),
                   this->Cached.OrderedChanges.end(),
                   [](const StoreChange& left, const StoreChange& right) {
                     return left.revision < right.revision;
                   });
}

std::optional<ChangeRange> ViewDifference::Since(Revision have,
                                                 Revision complete)
{
  std::optional<std::vector<StoreChange>> routes = this->GetRoutesSince(have);
  if (have < this->Backends.discardedRevision() || !routes) {
    return std::nullopt;
  }
  this->UpdateCache(have);
  ChangeRange range;
  range.EndRevision = std::max(have, complete);
  for (const StoreChange& change : this->Cached.UnorderedChanges) {
    if (change.revision > have) {
      range.Changes.push_back(change);
    }
  }
  const std::vector<StoreChange>& ordered = this->Cached.OrderedChanges;
  auto next = std::upper_bound(ordered.begin(),
                               ordered.end(),
                               have,
                               [](Revision revision, const StoreChange& item) {
                                 return revision < item.revision;
                               });
  const std::size_t maxItems =
    std::max(kMaxDifferenceItems, range.Changes.size() + 1);
  for (; next != ordered.end(); ++next) {
    const bool isFull = range.Changes.size() >= maxItems &&
      next->revision != range.Changes.back().revision;
    if (isFull) {
      range.EndRevision = range.Changes.back().revision;
      break;
    }
    range.Changes.push_back(*next);
  }
  for (StoreChange& version : *routes) {
    if (version.revision <= range.EndRevision) {
      range.Changes.push_back(std::move(version));
    }
  }
  return range;
}

} // namespace cobaltgauge::core
