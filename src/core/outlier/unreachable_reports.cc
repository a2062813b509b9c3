#include "core/outlier/unreachable_reports.h"

#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

void UnreachableReports::OnUnreachable(BackendId backend)
{
  const bool isKnown = this->Known.count(backend) != 0;
  if (!isKnown && this->Pending.size() < kMostUnreachableTold) {
    this->Pending.push_back(backend);
  }
}

std::vector<BackendId> UnreachableReports::TakePending()
{
  return std::exchange(this->Pending, {});
}

bool UnreachableReports::Take(const std::vector<BackendId>& backends, Time now)
{
  bool isNews = false;
  for (const BackendId backend : backends) {
    const bool isFull = this->Known.size() >= kMostUnreachableTold;
    if (this->Known.count(backend) != 0 || isFull) {
      continue;
    }
    this->Known[backend] = now + kUnreachableFor;
    this->Unchecked.push_back(backend);
    isNews = true;
  }
  return isNews;
}

std::vector<BackendId> UnreachableReports::TakeUnchecked()
{
  return std::exchange(this->Unchecked, {});
}

std::vector<BackendId> UnreachableReports::GetLatest() const
{
  std::vector<BackendId> list;
  for (const auto& [backend, ends] : this->Known) {
    list.push_back(backend);
  }
  return list;
}

void UnreachableReports::Expire(Time now)
{
  std::erase_if(this->Known,
                [now](const auto& item) { return item.second <= now; });
}

} // namespace cobaltgauge::core
