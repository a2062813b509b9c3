/// @file
/// Performs the reads of a StoreReader over HTTP on the event loop of the daemon.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <string>

#include "core/store_reader.h"
#include "net/http_client.h"
#include "net/store_protocol.h"

namespace cobaltgauge::daemon {

class StoreLink {
 public:
  /// Called after the reader has processed a reply.
  using Listener =
      std::function<void(const core::StoreRead&, const core::StoreReply&, core::Duration latency)>;

  StoreLink(asio::io_context& context, const core::Endpoint& store,
            const net::StoreProtocol& protocol, core::StoreReader& reader, Listener listener);

  /// Starts or schedules the next read. Must be called at startup and whenever the reader becomes
  /// active; subsequent reads are scheduled automatically while it is active.
  void start();

  /// Cancels the outstanding read and starts a new one. Used at startup and after the process was
  /// suspended, when the response may never arrive.
  void restart();

 private:
  void onResponse(const core::StoreRead& read, core::Time sentAt, const net::HttpResult& response);
  core::StoreReply toReply(const net::HttpResult& response) const;

  const net::StoreProtocol& protocol_;
  core::StoreReader& reader_;
  Listener listener_;
  net::HttpClient client_;
  asio::steady_timer timer_;
};

}  // namespace cobaltgauge::daemon
