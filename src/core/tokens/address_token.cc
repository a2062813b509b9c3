#include "core/tokens/address_token.h"

#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

constexpr unsigned kCheckBits = 8;
constexpr std::uint32_t kCheckMask = (1U << kCheckBits) - 1;
/// Selects the high bits of a product, which depend on all bits of both
/// factors.
constexpr unsigned kCheckShift = 32 - kCheckBits;

std::uint8_t ComputeCheck(std::uint32_t multiplier, std::uint16_t port)
{
  const std::uint32_t product = multiplier * (std::uint32_t{ port } + 1);
  return static_cast<std::uint8_t>(product >> kCheckShift);
}

} // namespace

bool PortCheck::Matches(std::uint16_t port) const
{
  return ComputeCheck(this->Multiplier, port) == this->Check;
}

AddressTokenCodec::AddressTokenCodec(const IpAddress& localAddress,
                                     std::uint64_t seed)
  : FirstByte(localAddress.bytes[0])
  , HasIpv4(!localAddress.isV6)
  , Seed(seed)
{
}

std::uint32_t AddressTokenCodec::GetMultiplier(std::uint32_t host) const
{
  const std::uint64_t address =
    (std::uint64_t{ this->FirstByte } << 24U) | host;
  // Multiplication by an odd number is invertible modulo 2^32.
  return static_cast<std::uint32_t>(mixHash(this->Seed, address)) | 1U;
}

std::optional<SteeringToken> AddressTokenCodec::Encode(
  const Endpoint& endpoint) const
{
  const auto& bytes = endpoint.address.bytes;
  const bool isEncodable =
    !endpoint.address.isV6 && bytes[0] == this->FirstByte;
  if (!this->HasIpv4 || !isEncodable) {
    return std::nullopt;
  }
  const std::uint32_t host = (std::uint32_t{ bytes[1] } << 16U) |
    (std::uint32_t{ bytes[2] } << 8U) | bytes[3];
  const std::uint8_t check =
    ComputeCheck(this->GetMultiplier(host), endpoint.port);
  const auto token = SteeringToken{ (host << kCheckBits) | check };
  return token == kNoToken ? std::nullopt : std::optional(token);
}

PortCheck AddressTokenCodec::GetPortCheck(SteeringToken token) const
{
  const auto value = static_cast<std::uint32_t>(token);
  const std::uint32_t host = value >> kCheckBits;
  return { host,
           this->GetMultiplier(host),
           static_cast<std::uint8_t>(value & kCheckMask) };
}

std::optional<Endpoint> AddressTokenCodec::Decode(SteeringToken token,
                                                  std::uint16_t port) const
{
  const PortCheck check = this->GetPortCheck(token);
  if (!this->HasIpv4 || token == kNoToken || !check.Matches(port)) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.address.bytes[0] = this->FirstByte;
  endpoint.address.bytes[1] = static_cast<std::uint8_t>(check.Host >> 16U);
  endpoint.address.bytes[2] = static_cast<std::uint8_t>(check.Host >> 8U);
  endpoint.address.bytes[3] = static_cast<std::uint8_t>(check.Host);
  endpoint.port = port;
  return endpoint;
}

} // namespace cobaltgauge::core
