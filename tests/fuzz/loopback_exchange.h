/// @file
/// One exchange of bytes over a loopback connection, for targets that read from sockets.
#pragma once

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <cstdint>

namespace cobaltgauge::fuzz {

/// The fuzzer's end of a connection: sends the input, then waits until the other end closes.
class LoopbackEnd {
 public:
  LoopbackEnd(asio::ip::tcp::socket socket, const std::uint8_t* data, std::size_t size)
      : socket_(std::move(socket)), input_(data, data + size) {}

  void start() {
    asio::error_code ignored;
    // A reset leaves no connection in TIME_WAIT, of which a run would have thousands.
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    asio::async_write(socket_, asio::buffer(input_), [this](const asio::error_code&, std::size_t) {
      asio::error_code failure;
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    });
    receive();
  }

  bool isClosed() const { return closed_; }

 private:
  void receive() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [this](const asio::error_code& error, std::size_t) {
                              closed_ = error.operator bool();
                              if (!closed_) {
                                receive();
                              }
                            });
  }

  asio::ip::tcp::socket socket_;
  std::vector<std::uint8_t> input_;
  std::array<char, 4096> buffer_{};
  bool closed_ = false;
};

/// Runs the event loop until the condition holds.
/// @return false if it does not hold within ten seconds.
template <typename Condition>
bool runUntil(asio::io_context& context, Condition condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  context.restart();
  while (!condition() && std::chrono::steady_clock::now() < end) {
    context.run_one_for(std::chrono::milliseconds(100));
  }
  return condition();
}

}  // namespace cobaltgauge::fuzz
