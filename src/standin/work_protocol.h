/// @file
/// What client and back end stand-ins say to each other over CoAP: paths, payloads and the content
/// of large answers. This is the users' workload, not a protocol of the balancer.
#pragma once

#include <cstdint>
#include <string>

namespace cobaltgauge::standin {

inline constexpr const char* kSessionPath = "session";  ///< POST, payload: session name.
inline constexpr const char* kObservePath = "watch";    ///< GET with Observe: pushes.
inline constexpr const char* kSubmitPath = "submit";    ///< POST, payload: "ID DEADLINE_MS".
inline constexpr const char* kFetchPath = "packet";     ///< GET ?ID with Block2: a large answer.

/// A large answer is this many blocks of kBlockBytes.
inline constexpr std::uint32_t kResponseBlocks = 8;
inline constexpr std::uint32_t kBlockBytes = 512;
/// Block size exponent of RFC 7959: 2^(SZX + 4) bytes.
inline constexpr std::uint32_t kBlockSizeExponent = 5;

/// @return the content of one block; depends on the request, so that mixed answers show.
inline std::string responseBlock(const std::string& request, std::uint32_t block) {
  const std::string unit = request + "#" + std::to_string(block) + ";";
  std::string content;
  while (content.size() < kBlockBytes) {
    content += unit;
  }
  content.resize(kBlockBytes);
  return content;
}

/// Block2 option value: number, more flag, size exponent (RFC 7959, section 2.2).
inline std::uint32_t blockOption(std::uint32_t number, bool more) {
  return (number << 4U) | (more ? 8U : 0U) | kBlockSizeExponent;
}

}  // namespace cobaltgauge::standin
