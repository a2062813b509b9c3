#include "daemon/store_link.h"

#include "daemon/clock.h"

namespace cobaltgauge::daemon {

StoreLink::StoreLink(asio::io_context& context, const core::Endpoint& store,
                     const net::StoreProtocol& protocol, core::StoreReader& reader,
                     Listener listener)
    : protocol_(protocol),
      reader_(reader),
      listener_(std::move(listener)),
      client_(context, store),
      timer_(context) {
  client_.setProgressListener([this] { reader_.onProgress(bootTime()); });
}

void StoreLink::start() {
  if (reader_.isReading() || !reader_.isActive()) {
    return;
  }
  const core::Time now = bootTime();
  const std::optional<core::StoreRead> read = reader_.nextRead(now);
  if (!read) {
    timer_.expires_after(reader_.nextReadAt() - now);
    timer_.async_wait([this](const asio::error_code& error) {
      if (!error) {
        start();
      }
    });
    return;
  }
  const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(read->timeout);
  client_.get(protocol_.target(*read), timeout,
              [this, request = *read, now](const net::HttpResult& response) {
                onResponse(request, now, response);
              });
}

void StoreLink::restart() {
  client_.cancel();
  timer_.cancel();
  reader_.onResume(bootTime());
  start();
}

void StoreLink::onResponse(const core::StoreRead& read, core::Time sentAt,
                           const net::HttpResult& response) {
  const core::Time now = bootTime();
  core::StoreReply reply = toReply(response);
  reply.outcome = reader_.onReply(reply, now);
  listener_(read, reply, now - sentAt);
  start();
}

core::StoreReply StoreLink::toReply(const net::HttpResult& response) const {
  core::StoreReply reply;
  reply.reason = response.reason;
  switch (response.failure) {
    case net::HttpFailure::kNone:
      return protocol_.parse(response);
    case net::HttpFailure::kTimedOut:
      reply.outcome = core::ReadOutcome::kTimedOut;
      break;
    case net::HttpFailure::kConnectionLost:
      reply.outcome = core::ReadOutcome::kConnectionLost;
      break;
    case net::HttpFailure::kTooLarge:
      reply.outcome = core::ReadOutcome::kTooLarge;
      break;
    case net::HttpFailure::kMalformed:
      reply.outcome = core::ReadOutcome::kMalformed;
      break;
  }
  return reply;
}

}  // namespace cobaltgauge::daemon
