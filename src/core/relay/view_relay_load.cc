/// @file
/// ViewRelay: load reports up and load summaries down the relay tree.
#include "core/load/fleet_load.h"
#include "core/relay/view_relay.h"

namespace cobaltgauge::core {

void ViewRelay::ShareLoad(const std::vector<Endpoint>& peers, Time now)
{
  if (this->Load == nullptr) {
    return;
  }
  // The tree of a reader that is not a seed may be one of several.  A seed
  // that cannot read the store is not the root of a tree.
  const bool hasNoPeers = peers.empty() && !this->Seeds.HasOthers();
  const bool isRoot = this->Reading &&
    (hasNoPeers || (this->Seeds.IsSelfSeed() && this->Reader.isCurrent(now)));
  this->Load->OnTick({ this->Upstream, isRoot, this->Fleet.GetLatestCount() },
                     now);
  this->SendLoad(now);
}

void ViewRelay::SendLoad(Time now)
{
  if (this->Leaving) {
    return;
  }
  // The upstream may have been dropped since the last tick.
  const bool isUpstreamCurrent =
    this->Upstream && this->Load->GetUpstream() == this->Upstream;
  std::optional<LoadReport> report =
    isUpstreamCurrent ? this->Load->TakeReport(now) : std::nullopt;
  if (report) {
    this->Outgoing.push_back({ { *this->Upstream }, std::move(*report) });
  }
  const std::vector<Endpoint> followers = this->Followers.List();
  for (LoadSummary& summary : this->Load->TakeSummaries(now)) {
    if (!followers.empty()) {
      this->Outgoing.push_back({ followers, std::move(summary) });
    }
  }
}

void ViewRelay::OnLoadReport(const LoadReport& report, Time now)
{
  if (this->Load != nullptr && this->Followers.Contains(report.replyTo)) {
    this->Load->OnReport(report, now);
    this->SendLoad(now);
  }
}

void ViewRelay::OnLoadSummary(const LoadSummary& summary, Time now)
{
  const std::optional<Time> sentAt =
    this->Clocks.ToLocalTime(summary.sender, summary.sentAtUs, now);
  if (this->Load != nullptr && sentAt) {
    this->Load->OnSummary(summary, *sentAt, now);
    this->SendLoad(now);
  }
}

} // namespace cobaltgauge::core
