/// @file
/// Holds the accepted configuration of one daemon and spreads it. Versions only rise; a version is
/// accepted when it compiles; the same version with other content is refused and counted.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/configuration.h"
#include "core/messages.h"

namespace cobaltgauge::core {

/// What became of an offered configuration.
enum class OfferResult : std::uint8_t { kAccepted, kUnchanged, kOlder, kConflict, kInvalid };

const char* toString(OfferResult result);

/// Counters of a ConfigurationAgent.
struct ConfigurationCounters {
  std::uint64_t accepted = 0;
  std::uint64_t older = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t invalid = 0;
};

class ConfigurationAgent {
 public:
  explicit ConfigurationAgent(ConfigurationCompiler& compiler) : compiler_(compiler) {}

  /// Offers a version from the platform or a peer.
  OfferResult offer(ConfigurationDocument document);

  /// Answers a peer with every service that changed since its version.
  ConfigurationTransfer makeTransfer(const ConfigurationRequest& request) const;

  /// Rebuilds a whole document from a peer's transfer and offers it.
  /// @return kInvalid when the transfer does not fit the version held; ask again with version 0.
  OfferResult offerTransfer(const ConfigurationTransfer& transfer);

  /// Notes the digest of a peer. @return true where a peer holds a version this daemon lacks.
  bool isBehind(const ConfigurationDigest& peer);

  const ConfigurationDigest& digest() const { return digest_; }
  const ConfigurationDocument& document() const { return document_; }
  /// @return the configuration in force, or null before the first one.
  std::shared_ptr<const Configuration> current() const { return current_; }
  /// @return why the last offer was not accepted.
  const std::string& lastReason() const { return lastReason_; }
  const ConfigurationCounters& counters() const { return counters_; }

 private:
  OfferResult reject(OfferResult result, std::string reason);

  ConfigurationCompiler& compiler_;
  ConfigurationDocument document_;
  ConfigurationDigest digest_;
  std::shared_ptr<const Configuration> current_;
  std::string lastReason_;
  ConfigurationCounters counters_;
  ConfigurationDigest lastRejected_;
};

}  // namespace cobaltgauge::core
