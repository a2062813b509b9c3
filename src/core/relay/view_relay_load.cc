/// @file
/// The part of ViewRelay that carries load up and down the tree of followers.
#include "core/load/fleet_load.h"
#include "core/relay/view_relay.h"

namespace cobaltgauge::core {

void ViewRelay::ShareLoad(const std::vector<Endpoint>& peers, Time now)
{
  if (this->Load == nullptr) {
    return;
  }
  // The tree of a reader that is no seed may be one of many, and a seed that
  // the store fails has none.
  const bool isAlone = peers.empty() && !this->Seeds.HasOthers();
  const bool isRoot = this->Reading &&
    (isAlone || (this->Seeds.IsSelfSeed() && this->Reader.isCurrent(now)));
  this->Load->OnTick({ this->Upstream, isRoot, this->Fleet.GetLatest() }, now);
  if (this->Leaving) {
    return;
  }
  if (std::optional<LoadReport> report = this->Load->TakeReport(now)) {
    this->Outgoing.push_back({ { *this->Upstream }, std::move(*report) });
  }
  this->PassLoadOn(now);
}

void ViewRelay::PassLoadOn(Time now)
{
  std::optional<LoadSummary> summary = this->Load->TakeSummary(now);
  std::vector<Endpoint> destinations = this->Followers.List();
  if (summary && !destinations.empty()) {
    this->Outgoing.push_back({ std::move(destinations), std::move(*summary) });
  }
}

void ViewRelay::OnLoadReport(const LoadReport& report, Time now)
{
  if (this->Load != nullptr && this->Followers.Contains(report.replyTo)) {
    this->Load->OnReport(report, now);
  }
}

void ViewRelay::OnLoadSummary(const LoadSummary& summary, Time now)
{
  const std::optional<Time> sentAt =
    this->Clocks.ToOwn(summary.sender, summary.sentAtUs, now);
  if (this->Load != nullptr && sentAt &&
      this->Load->OnSummary(summary, *sentAt)) {
    this->PassLoadOn(now);
  }
}

} // namespace cobaltgauge::core
