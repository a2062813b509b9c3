#include "core/configuration_agent.h"

#include <algorithm>

namespace cobaltgauge::core {
namespace {

const ServiceDocument* findService(const ConfigurationDocument& document, const std::string& name) {
  for (const ServiceDocument& service : document.services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

}  // namespace

const char* toString(OfferResult result) {
  switch (result) {
    case OfferResult::kAccepted:
      return "accepted";
    case OfferResult::kUnchanged:
      return "unchanged";
    case OfferResult::kOlder:
      return "older";
    case OfferResult::kConflict:
      return "conflict";
    case OfferResult::kInvalid:
      return "invalid";
  }
  return "unknown";
}

OfferResult ConfigurationAgent::reject(OfferResult result, std::string reason) {
  lastReason_ = std::move(reason);
  switch (result) {
    case OfferResult::kOlder:
      ++counters_.older;
      break;
    case OfferResult::kConflict:
      ++counters_.conflicts;
      break;
    default:
      ++counters_.invalid;
      break;
  }
  return result;
}

OfferResult ConfigurationAgent::offer(ConfigurationDocument document) {
  std::sort(document.services.begin(), document.services.end(),
            [](const ServiceDocument& a, const ServiceDocument& b) { return a.name < b.name; });
  const ConfigurationDigest offered{document.version, contentHashOf(document)};
  if (offered == digest_) {
    return OfferResult::kUnchanged;
  }
  if (offered.version < digest_.version) {
    return reject(OfferResult::kOlder, "version " + std::to_string(offered.version) +
                                           " is older than accepted version " +
                                           std::to_string(digest_.version));
  }
  if (offered.version == digest_.version) {
    return reject(OfferResult::kConflict, "version " + std::to_string(offered.version) +
                                              " was offered with different content; the content "
                                              "accepted first is kept; publish a higher version");
  }
  if (offered == lastRejected_) {
    return OfferResult::kInvalid;  // Already compiled and rejected; lastReason_ is still valid.
  }
  std::optional<std::vector<Service>> services = compiler_.compile(document);
  if (!services) {
    lastRejected_ = offered;
    return reject(OfferResult::kInvalid, compiler_.lastReason());
  }
  for (ServiceDocument& service : document.services) {
    const ServiceDocument* known = findService(document_, service.name);
    const bool same = known != nullptr && known->text == service.text;
    service.changedAt = same ? known->changedAt : document.version;
  }
  document_ = std::move(document);
  digest_ = offered;
  current_ = std::make_shared<const Configuration>(Configuration{digest_, std::move(*services)});
  ++counters_.accepted;
  return OfferResult::kAccepted;
}

ConfigurationTransfer ConfigurationAgent::makeTransfer(const ConfigurationRequest& request) const {
  ConfigurationTransfer transfer;
  transfer.since = request.knownVersion;
  transfer.digest = digest_;
  for (const ServiceDocument& service : document_.services) {
    transfer.allNames.push_back(service.name);
    if (service.changedAt > request.knownVersion) {
      transfer.changed.push_back(service);
    }
  }
  return transfer;
}

OfferResult ConfigurationAgent::offerTransfer(const ConfigurationTransfer& transfer) {
  if (transfer.digest.version <= digest_.version) {
    return OfferResult::kUnchanged;
  }
  ConfigurationDocument document;
  document.version = transfer.digest.version;
  for (const std::string& name : transfer.allNames) {
    const auto sent =
        std::find_if(transfer.changed.begin(), transfer.changed.end(),
                     [&name](const ServiceDocument& service) { return service.name == name; });
    const ServiceDocument* service =
        sent != transfer.changed.end() ? &*sent : findService(document_, name);
    if (service == nullptr) {
      return reject(OfferResult::kInvalid,
                    "configuration transfer is missing service '" + name + "'");
    }
    document.services.push_back(*service);
  }
  if (contentHashOf(document) != transfer.digest.contentHash) {
    return reject(OfferResult::kInvalid,
                  "content hash of the configuration transfer does not match");
  }
  return offer(std::move(document));
}

bool ConfigurationAgent::isBehind(const ConfigurationDigest& peer) {
  if (peer.version == digest_.version && peer.version != 0 &&
      peer.contentHash != digest_.contentHash) {
    reject(OfferResult::kConflict, "a peer has version " + std::to_string(peer.version) +
                                       " with different content; publish a higher version");
  }
  return peer.version > digest_.version;
}

}  // namespace cobaltgauge::core
