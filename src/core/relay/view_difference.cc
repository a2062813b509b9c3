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
  if (versions && CountRoutes(*versions) <= kMostRoutesTold) {
    return versions;
  }
  if (this->Routes.size() > kMostRoutesTold) {
    return std::nullopt;
  }
  return std::vector<StoreChange>{
    { "", this->Routes.changedAt(), GetRouteSet(this->Routes) }
  };
}

void ViewDifference::Order(Revision have)
{
  const bool isInStep = this->Cached.IsValid && this->Cached.From <= have &&
    this->Cached.Generation == this->Backends.generation();
  if (isInStep) {
    return;
  }
  RegistryDifference difference = this->Backends.changesSince(have);
  this->Cached = { true,
                   this->Backends.generation(),
                   have,
                   std::move(difference.boundedRemovals),
                   std::move(difference.exactChanges) };
  // They are few, and a listing may have shown their ends.
  for (StoreChange& change :
       this->Backends.evacuations().GetChangesSince(have)) {
    this->Cached.Undated.push_back(std::move(change));
  }
  std::stable_sort(this->Cached.Dated.begin(),
                   this->Cached.Dated.end(),
                   [](const StoreChange& left, const StoreChange& right) {
                     return left.revision < right.revision;
                   });
}

std::optional<ChangeExcerpt> ViewDifference::Since(Revision have,
                                                   Revision complete)
{
  std::optional<std::vector<StoreChange>> routes = this->GetRoutesSince(have);
  if (have < this->Backends.discardedRevision() || !routes) {
    return std::nullopt;
  }
  this->Order(have);
  ChangeExcerpt excerpt;
  excerpt.Reached = std::max(have, complete);
  for (const StoreChange& change : this->Cached.Undated) {
    if (change.revision > have) {
      excerpt.Changes.push_back(change);
    }
  }
  const std::vector<StoreChange>& dated = this->Cached.Dated;
  auto next = std::upper_bound(dated.begin(),
                               dated.end(),
                               have,
                               [](Revision revision, const StoreChange& item) {
                                 return revision < item.revision;
                               });
  const std::size_t most =
    std::max(kHeaviestDifference, excerpt.Changes.size() + 1);
  for (; next != dated.end(); ++next) {
    const bool isFull = excerpt.Changes.size() >= most &&
      next->revision != excerpt.Changes.back().revision;
    if (isFull) {
      excerpt.Reached = excerpt.Changes.back().revision;
      break;
    }
    excerpt.Changes.push_back(*next);
  }
  for (StoreChange& version : *routes) {
    if (version.revision <= excerpt.Reached) {
      excerpt.Changes.push_back(std::move(version));
    }
  }
  return excerpt;
}

} // namespace cobaltgauge::core
