/// @file
/// Seam between the reader of a configuration store and one store's HTTP interface. An
/// implementation only translates.
#pragma once

#include <memory>
#include <string>

#include "core/store_reader.h"
#include "net/http_answer.h"
#include "net/packet_format.h"

namespace cobaltgauge::net {

class StoreDialect {
 public:
  virtual ~StoreDialect() = default;

  /// @return path and query of the GET that makes this read.
  virtual std::string target(const core::StoreRead& read) const = 0;

  /// Reads an answer that came without failure. An item that cannot be read becomes an
  /// UnreadableItem; an answer that cannot be read as a whole has the outcome kMalformed.
  virtual core::StoreReply parse(const HttpAnswer& answer) const = 0;
};

/// What one surrounding platform speaks.
struct EdgeFormats {
  std::unique_ptr<PacketFormat> packets;
  std::unique_ptr<StoreDialect> store;
};

/// @return the formats of the platform that this build is for; defined in platform/.
EdgeFormats makeEdgeFormats();

}  // namespace cobaltgauge::net
