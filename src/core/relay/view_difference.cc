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

} // namespace

void ViewDifference::Order(Revision have)
{
  const bool isInStep = this->Cached.IsValid && this->Cached.From <= have &&
    this->Cached.Generation == this->Backends.generation() &&
    this->Cached.RoutesAt == this->Routes.changedAt();
  if (isInStep) {
    return;
  }
  RegistryDifference difference = this->Backends.changesSince(have);
  this->Cached = {
    true, this->Backends.generation(),   this->Routes.changedAt(),
    have, std::move(difference.undated), std::move(difference.dated)
  };
  // They are few, and a listing may have shown their ends.
  for (StoreChange& change :
       this->Backends.evacuations().GetChangesSince(have)) {
    this->Cached.Undated.push_back(std::move(change));
  }
  if (this->Routes.changedAt() > have) {
    this->Cached.Dated.push_back(
      { "", this->Routes.changedAt(), GetRouteSet(this->Routes) });
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
  const bool tellsRoutes = this->Routes.changedAt() > have;
  if (have < this->Backends.forgottenRevision() ||
      (tellsRoutes && this->Routes.size() > kMostRoutesTold)) {
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
  return excerpt;
}

} // namespace cobaltgauge::core
