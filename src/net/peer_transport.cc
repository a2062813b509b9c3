#include "net/peer_transport.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

#include "net/address.h"

namespace cobaltgauge::net {
namespace {

/// Larger frames are sent over TCP, except forwarded packets.
constexpr std::size_t kMaxDatagramBytes = 1400;
constexpr std::size_t kReceiveBufferBytes = 65536;
/// Inbound streams are unauthenticated until their frame is complete, so all of them together have
/// limits. A message of 10,000 backends has 450 KB, and a daemon has at most 32 followers.
constexpr std::size_t kMaxInboundStreams = 256;
constexpr std::size_t kMaxInboundBytes = 32U << 20U;
/// The buffer of an inbound frame grows from this size to at most twice the received bytes.
constexpr std::size_t kFirstReadBytes = 16U << 10U;
/// Size of the length prefix of a frame sent over TCP.
constexpr std::size_t kLengthBytes = 4;
constexpr int kSocketBufferBytes = 4 << 20;
/// Attempts to find a port that is free for both UDP and TCP.
constexpr int kMaxBindAttempts = 16;

std::uint32_t readLength(const std::array<std::uint8_t, kLengthBytes>& bytes) {
  std::uint32_t length = 0;
  for (const std::uint8_t byte : bytes) {
    length = (length << 8U) | byte;
  }
  return length;
}

std::array<std::uint8_t, kLengthBytes> writeLength(std::size_t length) {
  std::array<std::uint8_t, kLengthBytes> bytes{};
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes[kLengthBytes - 1 - i] = static_cast<std::uint8_t>(length >> (8U * i));
  }
  return bytes;
}

}  // namespace

/// A TCP connection that is closed after a timeout, even if the peer is unresponsive.
class PeerTransport::TimedStream : public std::enable_shared_from_this<TimedStream> {
 public:
  TimedStream(asio::ip::tcp::socket socket, PeerTransport& owner)
      : socket_(std::move(socket)), owner_(owner), timer_(socket_.get_executor()) {}

 protected:
  /// Closes the connection after the timeout, which aborts its pending operations.
  void startTimer() {
    timer_.expires_after(owner_.streamTimeout_);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
      if (!error) {
        ++self->owner_.counters_.streamsTimedOut;
        asio::error_code ignored;
        self->socket_.close(ignored);
      }
    });
  }
  void cancelTimer() { timer_.cancel(); }

  asio::ip::tcp::socket socket_;
  PeerTransport& owner_;

 private:
  asio::steady_timer timer_;
};

/// What the inbound streams occupy together. Shared with the streams, which may outlive the
/// transport.
struct PeerTransport::InboundUsage {
  std::size_t streams = 0;
  std::size_t bytes = 0;  ///< Buffered for incomplete frames.
};

/// Reads one length-prefixed frame from an accepted connection.
class PeerTransport::InboundStream : public TimedStream {
 public:
  InboundStream(asio::ip::tcp::socket socket, PeerTransport& owner)
      : TimedStream(std::move(socket), owner), usage_(owner.inboundUsage_) {
    ++usage_->streams;
  }
  ~InboundStream() {
    --usage_->streams;
    usage_->bytes -= body_.size();
  }
  InboundStream(const InboundStream&) = delete;
  InboundStream& operator=(const InboundStream&) = delete;

  void start() {
    startTimer();
    asio::async_read(socket_, asio::buffer(length_),
                     [this, self = shared_from_this()](const asio::error_code& error, std::size_t) {
                       if (error) {
                         cancelTimer();
                         return;
                       }
                       readBody();
                     });
  }

 private:
  void readBody() {
    expected_ = readLength(length_);
    if (expected_ > kMaxPeerFrameBytes) {
      ++owner_.counters_.rejected[PeerCodecError::kMalformed];
      cancelTimer();
      return;
    }
    readPart();
  }

  /// Reads as many bytes as have been received before, so that a sender cannot make the daemon
  /// allocate more than it sends.
  void readPart() {
    const std::size_t received = body_.size();
    const std::size_t part = std::min(std::max(received, kFirstReadBytes), expected_ - received);
    if (usage_->bytes + part > kMaxInboundBytes) {
      ++owner_.counters_.streamsRefused;
      cancelTimer();
      return;
    }
    usage_->bytes += part;
    body_.resize(received + part);
    asio::async_read(socket_, asio::buffer(body_.data() + received, part),
                     [this, self = shared_from_this()](const asio::error_code& error, std::size_t) {
                       onPart(error);
                     });
  }

  void onPart(const asio::error_code& error) {
    if (!error && body_.size() < expected_) {
      readPart();
      return;
    }
    cancelTimer();
    if (!error) {
      owner_.deliver(body_);
    }
  }

  std::shared_ptr<InboundUsage> usage_;
  std::array<std::uint8_t, kLengthBytes> length_{};
  std::size_t expected_ = 0;  ///< Size of the frame according to its length prefix.
  std::vector<std::uint8_t> body_;
};

/// Sends one length-prefixed frame to a peer.
class PeerTransport::OutboundStream : public TimedStream {
 public:
  OutboundStream(asio::io_context& context, std::vector<std::uint8_t> bytes, PeerTransport& owner)
      : TimedStream(asio::ip::tcp::socket(context), owner), bytes_(std::move(bytes)) {
    const auto length = writeLength(bytes_.size());
    bytes_.insert(bytes_.begin(), length.begin(), length.end());
  }

  void start(const core::Endpoint& destination) {
    startTimer();
    socket_.async_connect(toTcp(destination),
                          [this, self = shared_from_this()](const asio::error_code& error) {
                            if (error) {
                              complete(error);
                              return;
                            }
                            write();
                          });
  }

 private:
  void write() {
    asio::async_write(socket_, asio::buffer(bytes_),
                      [this, self = shared_from_this()](const asio::error_code& error,
                                                        std::size_t) { complete(error); });
  }

  void complete(const asio::error_code& error) {
    owner_.counters_.sendErrors += error ? 1U : 0U;
    cancelTimer();
  }

  std::vector<std::uint8_t> bytes_;
};

PeerTransport::PeerTransport(asio::io_context& context, PeerCodec codec, FrameHandler handler)
    : context_(context),
      codec_(std::move(codec)),
      handler_(std::move(handler)),
      socket_(context),
      acceptor_(context),
      buffer_(kReceiveBufferBytes),
      inboundUsage_(std::make_shared<InboundUsage>()) {}

bool PeerTransport::open(const core::Endpoint& endpoint) {
  asio::error_code error;
  const int maxAttempts = endpoint.port == 0 ? kMaxBindAttempts : 1;
  for (int attempt = 0; attempt < maxAttempts; ++attempt) {
    asio::error_code ignored;
    socket_.close(ignored);
    acceptor_.close(ignored);
    const asio::ip::udp::endpoint udp = toUdp(endpoint);
    socket_.open(udp.protocol(), error);
    if (!error) {
      socket_.bind(udp, error);
    }
    if (error) {
      continue;
    }
    const asio::ip::tcp::endpoint tcp(udp.address(), socket_.local_endpoint().port());
    acceptor_.open(tcp.protocol(), error);
    acceptor_.set_option(asio::socket_base::reuse_address(true), ignored);
    acceptor_.bind(tcp, error);
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
      socket_.non_blocking(true);
      socket_.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
      receiveDatagram();
      acceptStream();
      return true;
    }
  }
  lastReason_ = "cannot bind peer endpoint " + formatEndpoint(endpoint) + ": " + error.message();
  return false;
}

core::Endpoint PeerTransport::localEndpoint() const { return fromUdp(socket_.local_endpoint()); }

void PeerTransport::close() {
  asio::error_code ignored;
  socket_.close(ignored);
  acceptor_.close(ignored);
}

void PeerTransport::receiveDatagram() {
  socket_.async_receive_from(asio::buffer(buffer_), sender_,
                             [this](const asio::error_code& error, std::size_t size) {
                               if (error == asio::error::operation_aborted) {
                                 return;
                               }
                               if (!error) {
                                 deliver(ByteView(buffer_.data(), size));
                               }
                               receiveDatagram();
                             });
}

void PeerTransport::acceptStream() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error && inboundUsage_->streams < kMaxInboundStreams) {
      std::make_shared<InboundStream>(std::move(socket), *this)->start();
    } else if (!error) {
      ++counters_.streamsRefused;
    }
    acceptStream();
  });
}

void PeerTransport::deliver(ByteView bytes) {
  counters_.bytesReceived += bytes.size();
  std::optional<ReceivedFrame> received = codec_.decode(bytes);
  if (!received) {
    ++counters_.rejected[codec_.lastError()];
    return;
  }
  handler_(std::move(*received));
}

void PeerTransport::send(const core::Endpoint& destination, const PeerFrame& frame) {
  send(std::vector<core::Endpoint>{destination}, frame);
}

void PeerTransport::send(const std::vector<core::Endpoint>& destinations, const PeerFrame& frame) {
  const std::vector<std::uint8_t> bytes = codec_.encode(frame);
  // Forwarded packets are always sent as datagrams to avoid the delay of a connection setup.
  const bool isDataPacket = std::holds_alternative<ForwardedPacket>(frame);
  counters_.bytesSentByType[frame.index()] += bytes.size() * destinations.size();
  for (const core::Endpoint& destination : destinations) {
    sendBytes(destination, bytes, isDataPacket);
  }
}

void PeerTransport::sendBytes(const core::Endpoint& destination,
                              const std::vector<std::uint8_t>& bytes, bool isDataPacket) {
  counters_.bytesSent += bytes.size();
  if (bytes.size() > kMaxDatagramBytes && !isDataPacket) {
    sendStream(destination, bytes);
    return;
  }
  ++counters_.datagramsSent;
  asio::error_code error;
  socket_.send_to(asio::buffer(bytes), toUdp(destination), 0, error);
  if (error) {
    ++counters_.sendErrors;
  }
}

void PeerTransport::sendStream(const core::Endpoint& destination, std::vector<std::uint8_t> bytes) {
  ++counters_.streamsSent;
  std::make_shared<OutboundStream>(context_, std::move(bytes), *this)->start(destination);
}

}  // namespace cobaltgauge::net
