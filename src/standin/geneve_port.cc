#include "standin/geneve_port.h"

#include <asio/buffer.hpp>
#include <chrono>

#include "net/address.h"

namespace cobaltgauge::standin {
namespace {

constexpr int kSocketBufferBytes = 4 << 20;

}  // namespace

std::int64_t wallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

GenevePort::GenevePort(asio::io_context& context, std::uint32_t vni, Handler handler)
    : vni_(vni), handler_(std::move(handler)), socket_(context) {}

void GenevePort::open(const core::Endpoint& endpoint) {
  const asio::ip::udp::endpoint udp = net::toUdp(endpoint);
  socket_.open(udp.protocol());
  socket_.bind(udp);
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  receive();
}

core::Endpoint GenevePort::localEndpoint() const { return net::fromUdp(socket_.local_endpoint()); }

void GenevePort::receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_, [this](const asio::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        const auto packet = error ? std::nullopt : decoder_.decode({buffer_.data(), size});
        if (packet && packet->vni == vni_) {
          const auto udp = reader_.readUdp(packet->protocolType, packet->payload);
          if (udp) {
            handler_(*udp, packet->routing);
          }
        }
        receive();
      });
}

void GenevePort::send(const core::Endpoint& outer, const core::FlowKey& flow,
                      net::ByteView payload) {
  const auto header = net::encodeHeader(vni_, net::etherTypeOf(flow));
  const net::Bytes inner = net::buildUdpPacket(flow, payload);
  const std::array<asio::const_buffer, 2> parts{asio::buffer(header), asio::buffer(inner)};
  asio::error_code ignored;
  socket_.send_to(parts, net::toUdp(outer), 0, ignored);
}

}  // namespace cobaltgauge::standin
