/// @file
/// Wire form of peer messages: msgpack, then a truncated HMAC-SHA-256 (RFC 2104) over it, so that
/// a stranger's datagram is told from a peer's.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "net/geneve.h"
#include "net/peer_fields.h"

namespace cobaltgauge::net {

inline constexpr std::uint32_t kPeerFormatVersion = 4;
inline constexpr std::size_t kAuthenticatorBytes = 16;

/// A frame with its authenticated sender.
struct ReceivedFrame {
  core::MemberId from = core::kNoMember;
  PeerFrame frame;
};

/// Why a datagram is not a peer message of this cluster.
enum class PeerCodecError : std::uint8_t {
  kNone,
  kShort,
  kAuthenticator,  ///< The cluster key does not match.
  kCluster,        ///< Another cluster's name.
  kFormat,         ///< Another format version.
  kMalformed,
};

const char* toString(PeerCodecError error);
/// @return the name of a kind of message, by its place in PeerFrame; for metrics.
const char* frameName(std::size_t index);

/// Encodes and decodes frames of one cluster; keeps the reason of the last failure.
class PeerCodec {
 public:
  /// @param key shared secret of the cluster.
  PeerCodec(std::string cluster, std::string key, core::MemberId self);

  std::vector<std::uint8_t> encode(const PeerFrame& frame) const;
  std::optional<ReceivedFrame> decode(ByteView datagram);
  /// Decodes what stands before the authenticator, once that was found right.
  std::optional<ReceivedFrame> decodeBody(ByteView body);
  PeerCodecError lastError() const { return lastError_; }

 private:
  std::array<std::uint8_t, kAuthenticatorBytes> authenticate(ByteView body) const;
  std::optional<ReceivedFrame> fail(PeerCodecError error);

  std::string cluster_;
  std::string key_;
  core::MemberId self_;
  PeerCodecError lastError_ = PeerCodecError::kNone;
};

/// Turns a core message into a frame.
PeerFrame toFrame(const core::PeerMessage& message);

}  // namespace cobaltgauge::net
