#include "core/relay/peer_clocks.h"

#include <algorithm>

#include "core/constants.h"

namespace cobaltgauge::core {

void PeerClocks::RecordOffset(const ViewUpdate& update, Time now)
{
  const auto echo = Time(static_cast<Time::rep>(update.echoUs));
  if (update.echoUs == 0 || echo > now || now - echo > kSubscriptionLease) {
    return;
  }
  const std::int64_t offset = static_cast<std::int64_t>(update.echoUs) -
    static_cast<std::int64_t>(update.clockUs);
  this->Offsets[update.sender] = { offset, now };
}

std::optional<Time> PeerClocks::GetConfirmedAt(const ViewUpdate& update,
                                               Time now) const
{
  return this->ToLocalTime(update.sender, update.confirmedUs, now);
}

std::optional<Time> PeerClocks::ToLocalTime(const Endpoint& peer,
                                            std::uint64_t timeUs,
                                            Time now) const
{
  const auto entry = this->Offsets.find(peer);
  if (entry == this->Offsets.end()) {
    return std::nullopt;
  }
  const auto time = static_cast<std::int64_t>(timeUs);
  return std::min(now, Time(time + entry->second.OffsetUs));
}

void PeerClocks::Expire(Time now)
{
  std::erase_if(this->Offsets, [now](const auto& item) {
    return now - item.second.UpdatedAt > kClockOffsetTtl;
  });
}

} // namespace cobaltgauge::core
