#include "core/reach/token_reach.h"

#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

void TokenReach::AddPort(std::uint16_t port)
{
  if (!this->Ports.empty() && this->Ports.back() == port) {
    return;
  }
  std::erase(this->Ports, port);
  if (this->Ports.size() >= kMaxCandidatePorts) {
    this->Ports.erase(this->Ports.begin());
  }
  this->Ports.push_back(port);
}

std::optional<Endpoint> TokenReach::Resolve(SteeringToken token)
{
  if (const std::optional<Endpoint> known = this->Decode(token)) {
    return known;
  }
  const std::optional<std::uint16_t> port = this->Finder.Observe(token);
  if (!port) {
    return std::nullopt;
  }
  this->Finder.Clear();
  this->AddPort(*port);
  this->FoundPort = port;
  return this->Decode(token);
}

std::optional<Endpoint> TokenReach::Decode(SteeringToken token) const
{
  std::optional<Endpoint> found;
  for (const std::uint16_t port : this->Ports) {
    const std::optional<Endpoint> fits = this->Codec.Decode(token, port);
    if (fits && found) {
      return std::nullopt; // Two ports fit; either may be wrong.
    }
    found = fits ? fits : found;
  }
  return found;
}

std::optional<std::uint16_t> TokenReach::TakeFoundPort()
{
  return std::exchange(this->FoundPort, std::nullopt);
}

} // namespace cobaltgauge::core
