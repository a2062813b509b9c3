/// @file
/// Holds the accepted configuration of one daemon and exchanges it with peers. A version is
/// accepted if it is newer and compiles. The same version with different content is rejected as a
/// conflict.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/configuration.h"
#include "core/messages.h"

namespace cobaltgauge::core {

/// Result of offering a configuration.
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

  /// Offers a configuration version from the platform or a peer.
  OfferResult offer(ConfigurationDocument document);

  /// @return all services that changed since the peer's version.
  ConfigurationTransfer makeTransfer(const ConfigurationRequest& request) const;

  /// Reconstructs the full document from a peer's transfer and offers it.
  /// @return kInvalid if the transfer does not apply to the current document; request it again with
  /// known version 0.
  OfferResult offerTransfer(const ConfigurationTransfer& transfer);

  /// Compares the digest of a peer with the accepted configuration and counts a conflict.
  /// @return true if the peer has a newer version.
  bool isBehind(const ConfigurationDigest& peer);

  const ConfigurationDigest& digest() const { return digest_; }
  const ConfigurationDocument& document() const { return document_; }
  /// @return the accepted configuration, or null before the first one.
  std::shared_ptr<const Configuration> current() const { return current_; }
  /// @return why the last offer was rejected.
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
