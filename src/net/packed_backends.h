/// @file
/// Compact wire format for a list of backends: 40 to 50 bytes each. Names are indices into a table,
/// keys omit their common prefix, revisions are offsets from the lowest one, and addresses have 4
/// or 16 bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/view_messages.h"

namespace cobaltgauge::net {

struct PackedBackend {
  std::string keySuffix;  ///< Key without the common prefix.
  core::BackendId id = core::kNoBackend;
  std::uint64_t eraOffset = 0;        ///< Offset from `baseEra`.
  std::uint64_t revisionOffset = 0;   ///< Offset from `baseRevision`.
  std::vector<std::uint8_t> address;  ///< 4 or 16 bytes in network byte order.
  std::uint16_t port = 0;
  std::uint32_t service = 0;  ///< Index into `names`, as `zone` and `softwareVersion`.
  std::uint32_t zone = 0;
  std::uint32_t softwareVersion = 0;
  std::uint32_t capacity = 1;
  bool draining = false;
  std::uint32_t remainingWarmUpMs = 0;
  std::uint64_t startedAtMs = 0;
  std::uint64_t updateSequence = 0;
};

struct PackedBackends {
  std::string keyPrefix;
  core::StoreEra baseEra{0};
  std::uint64_t baseRevision = 0;
  std::vector<std::string> names;
  std::vector<PackedBackend> backends;
};

PackedBackends packBackends(const std::vector<core::ViewBackend>& backends);

/// @return nullopt if an index or an address is invalid.
std::optional<std::vector<core::ViewBackend>> unpackBackends(const PackedBackends& packed);

}  // namespace cobaltgauge::net
