#include "net/packed_backends.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cobaltgauge::net {
namespace {

constexpr std::size_t kIpv4Bytes = 4;

/// Assigns an index to each distinct name.
class NameTable {
 public:
  explicit NameTable(std::vector<std::string>& names) : names_(names) {}

  std::uint32_t indexOf(const std::string& name) {
    const auto next = static_cast<std::uint32_t>(names_.size());
    const auto [entry, isNew] = indices_.try_emplace(name, next);
    if (isNew) {
      names_.push_back(name);
    }
    return entry->second;
  }

 private:
  std::vector<std::string>& names_;
  std::map<std::string, std::uint32_t> indices_;
};

std::string commonPrefix(const std::vector<core::ViewBackend>& backends) {
  if (backends.empty()) {
    return "";
  }
  std::string prefix = backends.front().key;
  for (const core::ViewBackend& backend : backends) {
    const auto end =
        std::mismatch(prefix.begin(), prefix.end(), backend.key.begin(), backend.key.end());
    prefix.erase(end.first, prefix.end());
  }
  return prefix;
}

std::vector<std::uint8_t> packAddress(const core::IpAddress& address) {
  const auto end = address.isV6 ? address.bytes.end() : address.bytes.begin() + kIpv4Bytes;
  return {address.bytes.begin(), end};
}

std::optional<core::IpAddress> unpackAddress(const std::vector<std::uint8_t>& bytes) {
  core::IpAddress address;
  address.isV6 = bytes.size() == address.bytes.size();
  if (!address.isV6 && bytes.size() != kIpv4Bytes) {
    return std::nullopt;
  }
  std::copy(bytes.begin(), bytes.end(), address.bytes.begin());
  return address;
}

std::uint64_t numberOf(core::StoreEra era) { return static_cast<std::uint64_t>(era); }

core::Revision revisionOf(const PackedBackends& packed, const PackedBackend& item) {
  const core::StoreEra era{numberOf(packed.baseEra) + item.eraOffset};
  return {era, packed.baseRevision + item.revisionOffset};
}

}  // namespace

PackedBackends packBackends(const std::vector<core::ViewBackend>& backends) {
  PackedBackends packed;
  NameTable names(packed.names);
  packed.keyPrefix = commonPrefix(backends);
  if (!backends.empty()) {
    packed.baseEra = backends.front().revision.era;
    packed.baseRevision = backends.front().revision.number;
  }
  for (const core::ViewBackend& backend : backends) {
    packed.baseEra = std::min(packed.baseEra, backend.revision.era);
    packed.baseRevision = std::min(packed.baseRevision, backend.revision.number);
  }
  for (const core::ViewBackend& backend : backends) {
    packed.backends.push_back(
        {backend.key.substr(packed.keyPrefix.size()), backend.id,
         numberOf(backend.revision.era) - numberOf(packed.baseEra),
         backend.revision.number - packed.baseRevision, packAddress(backend.endpoint.address),
         backend.endpoint.port, names.indexOf(backend.service), names.indexOf(backend.zone),
         names.indexOf(backend.softwareVersion), backend.capacity, backend.draining,
         backend.remainingWarmUpMs, backend.startedAtMs, backend.updateSequence});
  }
  return packed;
}

std::optional<std::vector<core::ViewBackend>> unpackBackends(const PackedBackends& packed) {
  std::vector<core::ViewBackend> backends;
  for (const PackedBackend& item : packed.backends) {
    const std::optional<core::IpAddress> address = unpackAddress(item.address);
    const std::uint32_t maxIndex = std::max({item.service, item.zone, item.softwareVersion});
    if (!address || maxIndex >= packed.names.size()) {
      return std::nullopt;
    }
    backends.push_back({packed.keyPrefix + item.keySuffix, revisionOf(packed, item), item.id,
                        packed.names[item.service], core::Endpoint{*address, item.port},
                        packed.names[item.zone], packed.names[item.softwareVersion], item.capacity,
                        item.draining, item.remainingWarmUpMs, item.startedAtMs,
                        item.updateSequence});
  }
  return backends;
}

}  // namespace cobaltgauge::net
