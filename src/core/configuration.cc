#include "core/configuration.h"

#include "core/hashing.h"

namespace cobaltgauge::core {

std::uint64_t contentHashOf(const ConfigurationDocument& document) {
  std::uint64_t hash = 0;
  for (const ServiceDocument& service : document.services) {
    hash = mixHash(hash, hashName(service.name));
    hash = mixHash(hash, hashName(service.text));
  }
  return hash;
}

}  // namespace cobaltgauge::core
