/// @file
/// The wire form of a list of back ends: 40 to 50 bytes each, where a plain list of their fields
/// takes 90 to 110. Names that repeat stand once, keys without what all of them share, revisions as
/// the distance from the lowest, addresses as their 4 or 16 bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/view_messages.h"

namespace cobaltgauge::net {

struct PackedBackend {
  std::string keySuffix;  ///< What follows the shared prefix.
  core::BackendId id = core::kNoBackend;
  std::uint64_t eraOffset = 0;
  std::uint64_t revisionOffset = 0;   ///< The revision within its era.
  std::vector<std::uint8_t> address;  ///< In network order.
  std::uint16_t port = 0;
  std::uint32_t service = 0;  ///< Index into the names, as the two that follow.
  std::uint32_t zone = 0;
  std::uint32_t softwareVersion = 0;
  std::uint32_t capacity = 1;
  bool leaving = false;
  std::uint32_t warmUpLeftMs = 0;
  std::uint64_t startedAtMs = 0;
  std::uint64_t statement = 0;
};

struct PackedBackends {
  std::string keyPrefix;
  core::StoreEra baseEra{0};
  std::uint64_t baseRevision = 0;
  std::vector<std::string> names;
  std::vector<PackedBackend> backends;
};

PackedBackends packBackends(const std::vector<core::ViewBackend>& backends);

/// @return nothing where an index or an address is not valid.
std::optional<std::vector<core::ViewBackend>> unpackBackends(const PackedBackends& packed);

}  // namespace cobaltgauge::net
