/// @file
/// Packets that tell a caller at once that a packet was refused.
#pragma once

#include <optional>

#include "core/verdict.h"
#include "net/inner_packet.h"

namespace cobaltgauge::net {

/// Builds the answer to a refused inner packet: CoAP 5.03 with Max-Age (RFC 7252, 5.9.3.4), CoAP
/// 4.29 (RFC 8516) for a rate limit, or a TCP reset.
/// @return nothing where the service wants no answer or the packet cannot be answered.
std::optional<Bytes> buildRefusal(const core::Refuse& refusal, std::uint16_t protocolType,
                                  ByteView packet);

/// Diagnostic payloads that state what is certain.
inline constexpr const char* kNotRunText = "not run";
inline constexpr const char* kOutcomeUnknownText = "outcome unknown";

}  // namespace cobaltgauge::net
