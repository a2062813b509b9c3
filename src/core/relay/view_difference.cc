#include "core/relay/view_difference.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cobaltgauge::core {
namespace {

RouteSet GetRouteSet(const RouteTable& routes)
{
  return {
    routes.version(), routes.idleTimeout(), routes.routes(), routes.services()
  };
}

/// Cut ordered changes behind the last revision that fits whole.
void CutToPart(std::vector<StoreChange>& changes,
               std::size_t undated,
               ChangeExcerpt& excerpt)
{
  std::size_t end = std::max(kHeaviestDifference, undated + 1);
  if (end >= changes.size()) {
    return;
  }
  while (end < changes.size() &&
         changes[end].revision == changes[end - 1].revision) {
    ++end;
  }
  if (end < changes.size()) {
    excerpt.Reached = changes[end - 1].revision;
    changes.resize(end);
  }
}

} // namespace

std::optional<ChangeExcerpt> ViewDifference::Since(Revision have,
                                                   Revision complete) const
{
  if (have < this->Backends.forgottenRevision()) {
    return std::nullopt;
  }
  RegistryDifference difference = this->Backends.changesSince(have);
  // They are few, and a listing may have shown their ends.
  for (StoreChange& change :
       this->Backends.evacuations().GetChangesSince(have)) {
    difference.undated.push_back(std::move(change));
  }
  if (this->Routes.changedAt() > have) {
    difference.dated.push_back(
      { "", this->Routes.changedAt(), GetRouteSet(this->Routes) });
  }
  std::stable_sort(difference.dated.begin(),
                   difference.dated.end(),
                   [](const StoreChange& left, const StoreChange& right) {
                     return left.revision < right.revision;
                   });
  ChangeExcerpt excerpt;
  excerpt.Reached = std::max(have, complete);
  const std::size_t undated = difference.undated.size();
  excerpt.Changes = std::move(difference.undated);
  std::move(difference.dated.begin(),
            difference.dated.end(),
            std::back_inserter(excerpt.Changes));
  CutToPart(excerpt.Changes, undated, excerpt);
  return excerpt;
}

} // namespace cobaltgauge::core
