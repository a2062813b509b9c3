/// @file
/// Seam between the reader of a configuration store and one store's HTTP interface. An
/// implementation only translates.
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

  /// @return path and query of the GET that makes this read.
  virtual std::string target(const core::StoreRead& read) const = 0;

  /// Reads an answer that came without failure. An item that cannot be read becomes an
  /// UnreadableItem; an answer that cannot be read as a whole has the outcome kMalformed.
  virtual core::StoreReply parse(const HttpResult& result) const = 0;
};

/// What one surrounding platform speaks.
struct PlatformFormats {
  std::unique_ptr<PacketFormat> packets;
  std::unique_ptr<StoreProtocol> store;
};

/// @return the formats of the platform that this build is for; defined in platform/.
PlatformFormats makePlatformFormats();

}  // namespace cobaltgauge::net
