#include "core/load/load_meter.h"

#include <algorithm>
#include <utility>

namespace cobaltgauge::core {
namespace {

constexpr std::int64_t kParts = kLoadSecondParts;
constexpr Duration kPart = Duration(1s) / kParts;

} // namespace

void SlidingSecond::Add(Time now)
{
  const std::int64_t part = now / kPart;
  const std::int64_t passed = std::min(part - this->Latest, kParts);
  for (std::int64_t i = 0; i < passed; ++i) {
    this->Parts.at(static_cast<std::size_t>((part - i) % kParts)) = 0;
  }
  this->Latest = std::max(this->Latest, part);
  ++this->Parts.at(static_cast<std::size_t>(part % kParts));
}

std::uint32_t SlidingSecond::Get(Time now) const
{
  const std::int64_t part = now / kPart;
  std::uint32_t sum = 0;
  for (std::int64_t i = std::max(this->Latest - kParts, part - kParts) + 1;
       i <= this->Latest;
       ++i) {
    sum += this->Parts.at(static_cast<std::size_t>((i + kParts) % kParts));
  }
  return sum;
}

void LoadMeter::Put(FlowFingerprint flow, const Request& request)
{
  this->OnGone(flow);
  if (this->Requests.size() < kMostRequestsCounted) {
    this->Requests.emplace(flow, request);
    ++this->Zones[request.Key].InFlight;
  }
}

void LoadMeter::Fade(Request& request)
{
  if (std::exchange(request.IsCounted, false)) {
    --this->Zones[request.Key].InFlight;
  }
}

Duration LoadMeter::GetFadeTime(ServiceId service) const
{
  const auto usual = this->Usual.find(service);
  return usual == this->Usual.end() || !usual->second.IsKnown()
    ? Duration(kFadesLatest)
    : std::clamp<Duration>(usual->second.Get() * kAnswerTimesPerFade,
                           kFadesEarliest,
                           kFadesLatest);
}

void LoadMeter::OnOpening(FlowFingerprint flow, const LoadKey& key, Time now)
{
  this->Put(flow, { key, now, now + kOpeningFades, true, true });
  this->Zones[key].Openings.Add(now);
}

void LoadMeter::OnRequest(FlowFingerprint flow, const LoadKey& key, Time now)
{
  const Time fadesAt = now + this->GetFadeTime(key.first);
  this->Put(flow, { key, now, fadesAt, false, true });
}

void LoadMeter::OnAnswered(FlowFingerprint flow, Time now)
{
  const auto request = this->Requests.find(flow);
  if (request != this->Requests.end() && !request->second.IsOpening) {
    this->Usual[request->second.Key.first].OnAnswer(now -
                                                    request->second.SentAt);
  }
  this->OnGone(flow);
}

void LoadMeter::OnGone(FlowFingerprint flow)
{
  const auto request = this->Requests.find(flow);
  if (request != this->Requests.end()) {
    this->Fade(request->second);
    this->Requests.erase(request);
  }
}

void LoadMeter::OnOpeningEnded(const OpeningResult& result, Time now)
{
  if (result.Outcome == OpeningOutcome::kTurnedAway ||
      result.Outcome == OpeningOutcome::kReset) {
    this->Zones[{ result.Service, result.Zone }].Rejected.Add(now);
  }
}

void LoadMeter::OnTick(Time now)
{
  for (auto& [flow, request] : this->Requests) {
    if (request.FadesAt <= now) {
      this->Fade(request);
    }
  }
  std::erase_if(this->Requests, [now](const auto& item) {
    return now - item.second.SentAt > kRequestForgottenAfter;
  });
  std::erase_if(this->Zones, [now](const auto& item) {
    const Counts& counts = item.second;
    return counts.InFlight == 0 && counts.Openings.Get(now) == 0 &&
      counts.Rejected.Get(now) == 0;
  });
}

void LoadMeter::Clear()
{
  this->Requests.clear();
  this->Zones.clear();
}

std::vector<ZoneLoad> LoadMeter::GetLoads(Time now) const
{
  std::vector<ZoneLoad> loads;
  for (const auto& [key, counts] : this->Zones) {
    loads.push_back({ key.first,
                      key.second,
                      counts.InFlight,
                      counts.Openings.Get(now),
                      counts.Rejected.Get(now) });
  }
  return loads;
}

} // namespace cobaltgauge::core
