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
  const auto clock = this->Relations.find(update.sender);
  if (clock == this->Relations.end()) {
    return std::nullopt;
  }
  const auto confirmed = static_cast<std::int64_t>(update.confirmedUs);
  return std::min(now, Time(confirmed + clock->second.OffsetUs));
}

void PeerClocks::Expire(Time now)
{
  std::erase_if(this->Relations, [now](const auto& item) {
    return now - item.second.LearnedAt > kClockMemory;
  });
}

} // namespace cobaltgauge::core
