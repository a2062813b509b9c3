#include "net/address.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <charconv>

namespace cobaltgauge::net {
namespace {

std::optional<std::uint16_t> parsePort(const std::string& text) {
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc{} || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

core::IpAddress fromAsio(const asio::ip::address& address) {
  core::IpAddress result;
  result.isV6 = address.is_v6();
  if (result.isV6) {
    result.bytes = address.to_v6().to_bytes();
  } else {
    const auto bytes = address.to_v4().to_bytes();
    std::copy(bytes.begin(), bytes.end(), result.bytes.begin());
  }
  return result;
}

asio::ip::address toAsio(const core::IpAddress& address) {
  if (address.isV6) {
    return asio::ip::address_v6(address.bytes);
  }
  asio::ip::address_v4::bytes_type bytes{};
  std::copy_n(address.bytes.begin(), bytes.size(), bytes.begin());
  return asio::ip::address_v4(bytes);
}

std::optional<core::IpAddress> parseAddress(const std::string& text) {
  asio::error_code error;
  const asio::ip::address address = asio::ip::make_address(text, error);
  if (error) {
    return std::nullopt;
  }
  return fromAsio(address);
}

std::optional<core::Endpoint> parseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  std::string host = text.substr(0, colon);
  const bool bracketed = host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const std::optional<core::IpAddress> address = parseAddress(host);
  const std::optional<std::uint16_t> port = parsePort(text.substr(colon + 1));
  if (!address || !port || address->isV6 != bracketed) {
    return std::nullopt;
  }
  return core::Endpoint{*address, *port};
}

std::string formatAddress(const core::IpAddress& address) { return toAsio(address).to_string(); }

std::string formatEndpoint(const core::Endpoint& endpoint) {
  const std::string host = formatAddress(endpoint.address);
  const std::string port = std::to_string(endpoint.port);
  return endpoint.address.isV6 ? "[" + host + "]:" + port : host + ":" + port;
}

asio::ip::udp::endpoint toUdp(const core::Endpoint& endpoint) {
  return {toAsio(endpoint.address), endpoint.port};
}

asio::ip::tcp::endpoint toTcp(const core::Endpoint& endpoint) {
  return {toAsio(endpoint.address), endpoint.port};
}

core::Endpoint fromUdp(const asio::ip::udp::endpoint& endpoint) {
  return {fromAsio(endpoint.address()), endpoint.port()};
}

}  // namespace cobaltgauge::net
