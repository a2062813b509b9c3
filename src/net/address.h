/// @file
/// Conversions between core addresses, text and Asio types.
#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <optional>
#include <string>

#include "core/types.h"

namespace cobaltgauge::net {

/// @return the address, or nullopt if `text` is not an IPv4 or IPv6 address.
std::optional<core::IpAddress> parseAddress(const std::string& text);

/// Parses "192.0.2.1:80" or "[2001:db8::1]:80".
/// @return the endpoint, or nullopt if `text` is not in either form.
std::optional<core::Endpoint> parseEndpoint(const std::string& text);

std::string formatAddress(const core::IpAddress& address);
std::string formatEndpoint(const core::Endpoint& endpoint);

asio::ip::address toAsio(const core::IpAddress& address);
core::IpAddress fromAsio(const asio::ip::address& address);
asio::ip::udp::endpoint toUdp(const core::Endpoint& endpoint);
asio::ip::tcp::endpoint toTcp(const core::Endpoint& endpoint);
core::Endpoint fromUdp(const asio::ip::udp::endpoint& endpoint);

}  // namespace cobaltgauge::net
