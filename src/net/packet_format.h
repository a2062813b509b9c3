/// @file
/// Seam between the data socket of token steering and one format of packets. An implementation only
/// translates; it decides and keeps nothing but the reason of the last failure.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/types.h"
#include "core/verdict.h"
#include "net/geneve.h"

namespace cobaltgauge::net {

/// Why a datagram is no packet of the format.
enum class PacketFormatError : std::uint8_t {
  kNone,
  kShort,        ///< Shorter than its head.
  kLong,         ///< More data than a packet may hold.
  kWrongLength,  ///< The head's length of the data is not the data's.
  kUnknownFlag,  ///< A flag that the format does not know.
};
inline constexpr std::size_t kPacketFormatErrorCount = 5;

const char* toString(PacketFormatError error);

class PacketFormat {
 public:
  virtual ~PacketFormat() = default;

  /// @return what the core needs of a packet, or nothing; see lastError().
  virtual std::optional<core::PacketSummary> read(ByteView packet) = 0;
  virtual PacketFormatError lastError() const = 0;

  /// @return how many bytes go before a packet on its way to a back end.
  virtual std::size_t prefixBytes() const = 0;
  /// Prepares a packet for its back end.
  /// @param datagram prefixBytes() bytes to be filled, then the packet, whose token is written.
  virtual void prepareForward(const core::ForwardToBackend& forward,
                              std::span<std::uint8_t> datagram) const = 0;

  /// @return the refusal of a flow, for its caller.
  /// @param acknowledgement the caller's last one; any while the flow is not open.
  virtual std::vector<std::uint8_t> refusal(const core::FlowKey& flow,
                                            std::uint32_t acknowledgement) const = 0;
  /// @return where answers to the flow's caller are sent.
  /// @param local where this daemon takes packets.
  virtual core::Endpoint clientEndpoint(const core::FlowKey& flow,
                                        const core::Endpoint& local) const = 0;
};

}  // namespace cobaltgauge::net
