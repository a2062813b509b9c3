/// @file
/// CoAP application protocol between the client and backend stand-ins. It is test workload; the
/// load balancer does not interpret it.
#pragma once

#include <cstdint>
#include <string>

namespace cobaltgauge::standin {

inline constexpr const char* kSessionPath = "session";  ///< POST, payload: session name.
inline constexpr const char* kObservePath = "watch";    ///< GET with Observe.
inline constexpr const char* kSubmitPath = "submit";    ///< POST, payload: "ID DEADLINE_MS".
inline constexpr const char* kFetchPath = "packet";     ///< GET ?ID with Block2: a large response.

/// Number of blocks of a large response, each of kBlockBytes.
inline constexpr std::uint32_t kResponseBlocks = 8;
inline constexpr std::uint32_t kBlockBytes = 512;
/// SZX of RFC 7959, section 2.2: blocks of 2^(SZX + 4) bytes.
inline constexpr std::uint32_t kBlockSizeExponent = 5;

/// @return the content of one block. It depends on the request, which reveals mixed-up responses.
inline std::string responseBlock(const std::string& request, std::uint32_t block) {
  const std::string unit = request + "#" + std::to_string(block) + ";";
  std::string content;
  while (content.size() < kBlockBytes) {
    content += unit;
  }
  content.resize(kBlockBytes);
  return content;
}

/// @return the Block2 option value (RFC 7959, section 2.2).
inline std::uint32_t blockOption(std::uint32_t number, bool more) {
  return (number << 4U) | (more ? 8U : 0U) | kBlockSizeExponent;
}

}  // namespace cobaltgauge::standin
