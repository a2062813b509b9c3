#include "core/tokens/token_resolver.h"

#include <utility>

#include "core/constants.h"

namespace cobaltgauge::core {

void TokenResolver::AddPort(std::uint16_t port)
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

std::optional<Endpoint> TokenResolver::Resolve(SteeringToken token)
{
  if (const std::optional<Endpoint> resolved = this->Decode(token)) {
    return resolved;
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

std::optional<Endpoint> TokenResolver::Decode(SteeringToken token) const
{
  std::optional<Endpoint> found;
  for (const std::uint16_t port : this->Ports) {
    const std::optional<Endpoint> decoded = this->Codec.Decode(token, port);
    if (decoded && found) {
      return std::nullopt; // Ambiguous: two ports match.
    }
    found = decoded ? decoded : found;
  }
  return found;
}

std::optional<std::uint16_t> TokenResolver::TakeFoundPort()
{
  return std::exchange(this->FoundPort, std::nullopt);
}

} // namespace cobaltgauge::core
