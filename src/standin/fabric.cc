#include "standin/fabric.h"

#include <asio/buffer.hpp>
#include <memory>
#include <sstream>

#include "decoding/file_reader.h"
#include "net/address.h"

namespace cobaltgauge::standin {
namespace {

constexpr int kSocketBufferBytes = 8 << 20;
constexpr std::uint64_t kPermille = 1000;
/// Interval between reads of the list of daemons.
constexpr auto kFileInterval = std::chrono::milliseconds(100);
constexpr std::size_t kMaxFileBytes = 1U << 20U;

const std::vector<ctl::OptionSpec>& fabricOptions() {
  static const std::vector<ctl::OptionSpec> kOptions{
      {"listen", "endpoint that clients, daemons and backends send to", ""},
      {"daemons", "file with one daemon ADDRESS:PORT per line, reloaded every 100 ms", ""},
      {"loss-permille", "packet loss in permille", "0"},
      {"duplicate-permille", "packet duplication in permille", "0"},
      {"delay-ms", "minimum packet delay", "0"},
      {"jitter-ms", "maximum additional delay; reorders packets", "0"},
      {"seed", "random seed", "1"}};
  return kOptions;
}

}  // namespace

Fabric::Fabric(asio::io_context& context, const ctl::CommandOptions& options)
    : context_(context),
      daemonsFile_(options.text("daemons")),
      lossPermille_(options.number("loss-permille")),
      duplicatePermille_(options.number("duplicate-permille")),
      delayMs_(options.number("delay-ms")),
      jitterMs_(options.number("jitter-ms")),
      random_(options.number("seed")),
      socket_(context, net::toUdp(options.endpoint("listen"))),
      fileTimer_(context) {
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  readDaemons();
  receive();
}

void Fabric::readDaemons() {
  std::istringstream in(decoding::FileReader(kMaxFileBytes).Read(daemonsFile_).value_or(""));
  std::vector<asio::ip::udp::endpoint> daemons;
  std::string line;
  while (std::getline(in, line)) {
    if (const auto endpoint = net::parseEndpoint(line)) {
      daemons.push_back(net::toUdp(*endpoint));
    }
  }
  if (!daemons.empty()) {
    daemons_ = std::move(daemons);
  }
  fileTimer_.expires_after(kFileInterval);
  fileTimer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      readDaemons();
    }
  });
}

void Fabric::receive() {
  socket_.async_receive_from(asio::buffer(buffer_), sender_,
                             [this](const asio::error_code& error, std::size_t size) {
                               if (!error) {
                                 onDatagram(size);
                               }
                               receive();
                             });
}

bool Fabric::chance(std::uint64_t permille) { return random_() % kPermille < permille; }

void Fabric::onDatagram(std::size_t size) {
  const net::ByteView datagram(buffer_.data(), size);
  const auto packet = decoder_.decode(datagram);
  const auto summary =
      packet ? reader_.summarize(packet->protocolType, packet->payload) : std::nullopt;
  if (!summary) {
    return;
  }
  const auto client = clientEndpoints_.find(summary->flow.destination.address);
  if (client != clientEndpoints_.end()) {
    deliver(client->second, datagram);
    return;
  }
  clientEndpoints_[summary->flow.source.address] = sender_;
  if (!daemons_.empty()) {
    deliver(daemons_[random_() % daemons_.size()], datagram);
  }
}

void Fabric::deliver(const asio::ip::udp::endpoint& destination, net::ByteView datagram) {
  if (chance(lossPermille_)) {
    return;
  }
  const int copies = chance(duplicatePermille_) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const std::uint64_t delay = delayMs_ + (jitterMs_ == 0 ? 0 : random_() % (jitterMs_ + 1));
    if (delay == 0) {
      asio::error_code ignored;
      socket_.send_to(asio::buffer(datagram.data(), datagram.size()), destination, 0, ignored);
      continue;
    }
    auto bytes = std::make_shared<net::Bytes>(datagram.begin(), datagram.end());
    auto timer = std::make_shared<asio::steady_timer>(context_, std::chrono::milliseconds(delay));
    timer->async_wait([this, bytes, timer, destination](const asio::error_code&) {
      asio::error_code ignored;
      socket_.send_to(asio::buffer(*bytes), destination, 0, ignored);
    });
  }
}

int runFabric(int argc, const char* const* argv) {
  const auto options =
      ctl::CommandOptions::parse("cobaltgauge-standin fabric", fabricOptions(), argc, argv);
  if (!options) {
    return 2;
  }
  asio::io_context context;
  const Fabric fabric(context, *options);
  context.run();
  return 0;
}

}  // namespace cobaltgauge::standin
