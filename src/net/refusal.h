/// @file
/// Builds packets that notify a client of a refused packet.
#pragma once

#include <optional>

#include "core/verdict.h"
#include "net/inner_packet.h"

namespace cobaltgauge::net {

/// Builds the reply to a refused inner packet: CoAP 5.03 with Max-Age (RFC 7252, 5.9.3.4), CoAP
/// 4.29 (RFC 8516) for a rate limit, or a TCP reset.
/// @return nullopt if the service sends no refusals or no reply to this packet is possible.
std::optional<Bytes> buildRefusal(const core::Refuse& refusal, std::uint16_t protocolType,
                                  ByteView packet);

/// Diagnostic payloads (RFC 7252, 5.5.2): whether the request may have been executed.
inline constexpr const char* kNotRunText = "not run";
inline constexpr const char* kOutcomeUnknownText = "outcome unknown";

}  // namespace cobaltgauge::net
