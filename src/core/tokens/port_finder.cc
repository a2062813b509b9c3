#include "core/tokens/port_finder.h"

#include <algorithm>

#include "core/constants.h"

namespace cobaltgauge::core {
namespace {

constexpr std::uint32_t kMaxPort = 65535;

} // namespace

bool PortFinder::IsNewHost(const PortCheck& check) const
{
  return std::none_of(
    this->Checks.begin(),
    this->Checks.end(),
    [&check](const PortCheck& known) { return known.Host == check.Host; });
}

std::optional<std::uint16_t> PortFinder::Observe(SteeringToken token)
{
  if (token == kNoToken || this->Checks.size() >= kMaxHostsForPort) {
    return std::nullopt;
  }
  const PortCheck check = this->Codec.GetPortCheck(token);
  if (!this->IsNewHost(check)) {
    return std::nullopt;
  }
  this->Checks.push_back(check);
  if (this->Checks.size() < kMinHostsForPort) {
    return std::nullopt;
  }
  return this->FindPort();
}

std::optional<std::uint16_t> PortFinder::FindPort() const
{
  const std::size_t allowedMismatches = this->Checks.size() / 4;
  const auto required = static_cast<std::ptrdiff_t>(
    std::max(kMinHostsForPort, this->Checks.size() - allowedMismatches));
  std::optional<std::uint16_t> found;
  for (std::uint32_t port = 1; port <= kMaxPort; ++port) {
    const auto candidate = static_cast<std::uint16_t>(port);
    const auto matching = std::count_if(this->Checks.begin(),
                                        this->Checks.end(),
                                        [candidate](const PortCheck& check) {
                                          return check.Matches(candidate);
                                        });
    if (matching < required) {
      continue;
    }
    if (found) {
      return std::nullopt; // Ambiguous until another host is added.
    }
    found = candidate;
  }
  return found;
}

} // namespace cobaltgauge::core
