/// @file
/// Wire format of peer messages: msgpack followed by a truncated HMAC-SHA-256 (RFC 2104), which
/// authenticates the sender.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "net/geneve.h"
#include "net/peer_fields.h"

namespace cobaltgauge::net {

inline constexpr std::uint32_t kPeerFormatVersion = 4;
inline constexpr std::size_t kAuthenticatorBytes = 16;
/// Larger frames are rejected.
inline constexpr std::size_t kMaxPeerFrameBytes = 16U << 20U;

/// A frame with its authenticated sender.
struct ReceivedFrame {
  core::MemberId from = core::kNoMember;
  PeerFrame frame;
};

/// Why a datagram is not a valid peer message of this cluster.
enum class PeerCodecError : std::uint8_t {
  kNone,
  kShort,
  kAuthenticator,  ///< The cluster key does not match.
  kCluster,        ///< Sent by a member of another cluster.
  kFormat,         ///< Unsupported format version.
  kMalformed,
};

const char* toString(PeerCodecError error);
/// @return the metric label of a message type, given its index in PeerFrame.
const char* frameName(std::size_t index);

/// Encodes and decodes frames of one cluster and keeps the error of the last decoding.
class PeerCodec {
 public:
  /// @param key shared secret of the cluster.
  PeerCodec(std::string cluster, std::string key, core::MemberId self);

  std::vector<std::uint8_t> encode(const PeerFrame& frame) const;
  std::optional<ReceivedFrame> decode(ByteView datagram);
  /// Decodes a datagram's body without checking its authenticator.
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

/// Converts a core message to a frame.
PeerFrame toFrame(const core::PeerMessage& message);

}  // namespace cobaltgauge::net
