#include "core/relay/view_pages.h"

#include <algorithm>
#include <map>
#include <optional>

#include "core/view_conversion.h"

namespace cobaltgauge::core {
namespace {

constexpr std::size_t kIpv4Bytes = 4;

/// Gives each string of a page a number.
class NameTable
{
public:
  explicit NameTable(std::vector<std::string>& names)
    : Names(names)
  {
  }

  std::uint32_t GetIndex(const std::string& name)
  {
    const auto next = static_cast<std::uint32_t>(this->Names.size());
    const auto [known, isNew] = this->Indices.try_emplace(name, next);
    if (isNew) {
      this->Names.push_back(name);
    }
    return known->second;
  }

private:
  std::vector<std::string>& Names;
  std::map<std::string, std::uint32_t> Indices;
};

/// Get what the first and the last of ordered keys share, and so all.
std::string GetSharedPrefix(const std::vector<StoreChange>& backends)
{
  if (backends.empty()) {
    return "";
  }
  const std::string& first = backends.front().key;
  const std::string& last = backends.back().key;
  const auto end =
    std::mismatch(first.begin(), first.end(), last.begin(), last.end());
  return { first.begin(), end.first };
}

std::vector<std::uint8_t> PackAddress(const IpAddress& address)
{
  const auto end =
    address.isV6 ? address.bytes.end() : address.bytes.begin() + kIpv4Bytes;
  return { address.bytes.begin(), end };
}

std::optional<IpAddress> UnpackAddress(const std::vector<std::uint8_t>& bytes)
{
  IpAddress address;
  address.isV6 = bytes.size() == address.bytes.size();
  if (!address.isV6 && bytes.size() != kIpv4Bytes) {
    return std::nullopt;
  }
  std::copy(bytes.begin(), bytes.end(), address.bytes.begin());
  return address;
}

std::optional<StoreChange> Unpack(const ViewPage& page,
                                  const PackedBackend& packed)
{
  const std::optional<IpAddress> address = UnpackAddress(packed.address);
  const std::uint32_t highest =
    std::max({ packed.service, packed.zone, packed.softwareVersion });
  if (!address || highest >= page.names.size()) {
    return std::nullopt;
  }
  Registration registration;
  registration.id = packed.id;
  registration.service = page.names[packed.service];
  registration.endpoint = { *address, packed.port };
  registration.zone = page.names[packed.zone];
  registration.softwareVersion = page.names[packed.softwareVersion];
  registration.capacity = packed.capacity;
  registration.state =
    packed.leaving ? BackendState::kLeaving : BackendState::kActive;
  registration.warmUpLeft = std::chrono::milliseconds(packed.warmUpLeftMs);
  registration.startedAtMs = packed.startedAtMs;
  return StoreChange{ page.keyPrefix + packed.keyEnd,
                      page.lowest + packed.sinceLowest,
                      std::move(registration) };
}

} // namespace

void PackBackends(const std::vector<StoreChange>& backends, ViewPage& page)
{
  NameTable names(page.names);
  page.keyPrefix = GetSharedPrefix(backends);
  page.lowest = backends.empty() ? 0 : backends.front().revision;
  for (const StoreChange& change : backends) {
    page.lowest = std::min(page.lowest, change.revision);
  }
  for (const StoreChange& change : backends) {
    const auto& registration = std::get<Registration>(change.item);
    PackedBackend packed;
    packed.keyEnd = change.key.substr(page.keyPrefix.size());
    packed.id = registration.id;
    packed.sinceLowest = change.revision - page.lowest;
    packed.address = PackAddress(registration.endpoint.address);
    packed.port = registration.endpoint.port;
    packed.service = names.GetIndex(registration.service);
    packed.zone = names.GetIndex(registration.zone);
    packed.softwareVersion = names.GetIndex(registration.softwareVersion);
    packed.capacity = registration.capacity;
    packed.leaving = registration.state == BackendState::kLeaving;
    packed.warmUpLeftMs = wholeMilliseconds(registration.warmUpLeft);
    packed.startedAtMs = registration.startedAtMs;
    page.backends.push_back(std::move(packed));
  }
}

std::vector<StoreChange> UnpackBackends(const ViewPage& page)
{
  std::vector<StoreChange> backends;
  for (const PackedBackend& packed : page.backends) {
    if (std::optional<StoreChange> change = Unpack(page, packed)) {
      backends.push_back(std::move(*change));
    }
  }
  return backends;
}

std::string GetLastKey(const ViewPage& page)
{
  return page.backends.empty() ? page.afterKey
                               : page.keyPrefix + page.backends.back().keyEnd;
}

} // namespace cobaltgauge::core
