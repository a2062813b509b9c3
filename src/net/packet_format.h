/// @file
/// Interface between the data socket of token steering and a platform's packet format.
/// Implementations only convert packets; they make no routing decisions.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/types.h"
#include "core/verdict.h"
#include "net/geneve.h"

namespace cobaltgauge::net {

/// Why a datagram is not a valid packet of the format.
enum class PacketFormatError : std::uint8_t {
  kNone,
  kShort,        ///< Shorter than the header.
  kLong,         ///< More data than the format allows.
  kWrongLength,  ///< The length field does not match the data length.
  kUnknownFlag,  ///< An unknown flag is set.
};
inline constexpr std::size_t kPacketFormatErrorCount = 5;

const char* toString(PacketFormatError error);

class PacketFormat {
 public:
  virtual ~PacketFormat() = default;

  /// @return the packet's summary for the core, or nullopt on an error; see lastError().
  virtual std::optional<core::PacketSummary> read(ByteView packet) = 0;
  virtual PacketFormatError lastError() const = 0;

  /// @return the number of bytes that precede a packet sent to a backend.
  virtual std::size_t prefixBytes() const = 0;
  /// Fills in the prefix and the token of a packet to be sent to a backend.
  /// @param datagram prefixBytes() bytes for the prefix, followed by the packet.
  virtual void prepareForward(const core::ForwardToBackend& forward,
                              std::span<std::uint8_t> datagram) const = 0;

  /// @return the packet that refuses a flow, to be sent to its client.
  /// @param acknowledgement the client's last acknowledgement; any value before the flow is open.
  virtual std::vector<std::uint8_t> refusal(const core::FlowKey& flow,
                                            std::uint32_t acknowledgement) const = 0;
  /// @return the destination for packets to the flow's client.
  /// @param local endpoint on which this daemon receives packets.
  virtual core::Endpoint clientEndpoint(const core::FlowKey& flow,
                                        const core::Endpoint& local) const = 0;
};

}  // namespace cobaltgauge::net
