/// @file
/// Carries out what a StoreReader wants to read, over HTTP on the daemon's event loop.
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
  /// Called after each answer, once the reader has taken it.
  using Listener =
      std::function<void(const core::StoreRead&, const core::StoreReply&, core::Duration latency)>;

  StoreLink(asio::io_context& context, const core::Endpoint& store,
            const net::StoreProtocol& dialect, core::StoreReader& reader, Listener listener);

  /// Makes the read that is due; to be called at start and when the reader became active. Later
  /// ones follow by themselves while it is.
  void start();

  /// Gives the read under way up, whose answer may never come, and reads at once. For a process
  /// that was suspended.
  void restart();

 private:
  void onAnswer(const core::StoreRead& read, core::Time sentAt, const net::HttpResult& answer);
  core::StoreReply toReply(const net::HttpResult& answer) const;

  const net::StoreProtocol& dialect_;
  core::StoreReader& reader_;
  Listener listener_;
  net::HttpClient client_;
  asio::steady_timer timer_;
};

}  // namespace cobaltgauge::daemon
