/// @file
/// Interface between the reader of a configuration store and a store's HTTP API. Implementations
/// only convert requests and responses.
#pragma once

#include <memory>
#include <string>

#include "core/store_reader.h"
#include "net/http_result.h"
#include "net/packet_format.h"

namespace cobaltgauge::net {

class StoreProtocol {
 public:
  virtual ~StoreProtocol() = default;

  /// @return path and query of the GET request for a read.
  virtual std::string target(const core::StoreRead& read) const = 0;

  /// Parses a response received without failure. An invalid item becomes an UnreadableItem; an
  /// invalid response has the outcome kMalformed.
  virtual core::StoreReply parse(const HttpResult& response) const = 0;
};

/// Packet format and store protocol of a platform.
struct PlatformFormats {
  std::unique_ptr<PacketFormat> packets;
  std::unique_ptr<StoreProtocol> store;
};

/// @return the formats of the platform selected at build time; defined in platform/.
PlatformFormats makePlatformFormats();

}  // namespace cobaltgauge::net
