#include "core/relay/peer_clocks.h"

#include <algorithm>

#include "core/constants.h"

namespace cobaltgauge::core {

void PeerClocks::Note(const ViewUpdate& update, Time now)
{
  const auto echo = Time(static_cast<Time::rep>(update.echoUs));
  if (update.echoUs == 0 || echo > now || now - echo > kSubscriptionLease) {
    return;
  }
  const std::int64_t offset = static_cast<std::int64_t>(update.echoUs) -
    static_cast<std::int64_t>(update.clockUs);
  this->Relations[update.sender] = { offset, now };
}

std::optional<Time> PeerClocks::GetConfirmation(const ViewUpdate& update,
                                                Time now) const
{
  return this->ToOwn(update.sender, update.confirmedUs, now);
}

std::optional<Time> PeerClocks::ToOwn(const Endpoint& peer,
                                      std::uint64_t timeUs,
                                      Time now) const
{
  const auto clock = this->Relations.find(peer);
  if (clock == this->Relations.end()) {
    return std::nullopt;
  }
  const auto time = static_cast<std::int64_t>(timeUs);
  return std::min(now, Time(time + clock->second.OffsetUs));
}

void PeerClocks::Expire(Time now)
{
  std::erase_if(this->Relations, [now](const auto& item) {
    return now - item.second.LearnedAt > kClockOffsetTtl;
  });
}

} // namespace cobaltgauge::core
