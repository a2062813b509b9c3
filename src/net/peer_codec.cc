#include "net/peer_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <limits>
#include <msgpack.hpp>
#include <stdexcept>
#include <type_traits>

#include "decoding/msgpack_parser.h"

namespace cobaltgauge::net {
namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

template <typename T>
concept HasFields = requires(T& value) {
  fieldsOf(value);
};

// Encoding.

template <typename T>
void pack(Packer& packer, const T& value);

template <typename Sequence>
void packSequence(Packer& packer, const Sequence& values) {
  packer.pack_array(static_cast<std::uint32_t>(values.size()));
  for (const auto& value : values) {
    pack(packer, value);
  }
}

void pack(Packer& packer, const std::vector<std::uint8_t>& bytes) {
  packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
  packer.pack_bin_body(reinterpret_cast<const char*>(bytes.data()),
                       static_cast<std::uint32_t>(bytes.size()));
}

void pack(Packer& packer, const std::vector<core::ViewBackend>& backends);

template <typename T>
void pack(Packer& packer, const std::vector<T>& values) {
  packSequence(packer, values);
}

template <typename T, std::size_t N>
void pack(Packer& packer, const std::array<T, N>& values) {
  packSequence(packer, values);
}

template <typename T>
void pack(Packer& packer, const T& value) {
  if constexpr (HasFields<const T>) {
    std::apply(
        [&packer](const auto&... fields) {
          packer.pack_array(sizeof...(fields));
          (pack(packer, fields), ...);
        },
        fieldsOf(value));
  } else if constexpr (std::is_enum_v<T>) {
    packer.pack(static_cast<std::underlying_type_t<T>>(value));
  } else {
    packer.pack(value);
  }
}

void pack(Packer& packer, const std::vector<core::ViewBackend>& backends) {
  pack(packer, packBackends(backends));
}

// Decoding. A mismatch throws msgpack::type_error, which decodeBody() catches.

template <typename T>
void unpack(const msgpack::object& object, T& value);

const msgpack::object_array& arrayOf(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  return object.via.array;
}

void unpack(const msgpack::object& object, std::vector<std::uint8_t>& bytes) {
  if (object.type != msgpack::type::BIN) {
    throw msgpack::type_error();
  }
  bytes.assign(object.via.bin.ptr, object.via.bin.ptr + object.via.bin.size);
}

void unpack(const msgpack::object& object, std::vector<core::ViewBackend>& backends);

template <typename T>
void unpack(const msgpack::object& object, std::vector<T>& values) {
  const msgpack::object_array& array = arrayOf(object);
  // Grows with the valid elements: one takes up more memory than its encoding.
  values.clear();
  for (std::uint32_t i = 0; i < array.size; ++i) {
    unpack(array.ptr[i], values.emplace_back());
  }
}

template <typename T, std::size_t N>
void unpack(const msgpack::object& object, std::array<T, N>& values) {
  const msgpack::object_array& array = arrayOf(object);
  if (array.size != N) {
    throw msgpack::type_error();
  }
  for (std::size_t i = 0; i < N; ++i) {
    unpack(array.ptr[i], values[i]);
  }
}

/// Highest valid value of an enumeration; strongly typed identifiers allow the full range.
template <typename T>
constexpr std::uint64_t highestValue() {
  if constexpr (std::is_same_v<T, core::MemberState>) {
    return static_cast<std::uint64_t>(core::MemberState::kLeft);
  } else if constexpr (std::is_same_v<T, core::RecordPurpose>) {
    return static_cast<std::uint64_t>(core::RecordPurpose::kHandover);
  } else if constexpr (std::is_same_v<T, core::RequestKind>) {
    return static_cast<std::uint64_t>(core::RequestKind::kDownload);
  } else {
    return std::numeric_limits<std::underlying_type_t<T>>::max();
  }
}

template <typename T>
void unpack(const msgpack::object& object, T& value) {
  if constexpr (HasFields<T>) {
    const msgpack::object_array& array = arrayOf(object);
    std::apply(
        [&array](auto&... fields) {
          if (array.size != sizeof...(fields)) {
            throw msgpack::type_error();
          }
          std::size_t index = 0;
          (unpack(array.ptr[index++], fields), ...);
        },
        fieldsOf(value));
  } else if constexpr (std::is_enum_v<T>) {
    std::underlying_type_t<T> number{};
    object.convert(number);
    if (number > highestValue<T>()) {
      throw msgpack::type_error();
    }
    value = static_cast<T>(number);
  } else {
    object.convert(value);
  }
}

void unpack(const msgpack::object& object, std::vector<core::ViewBackend>& backends) {
  PackedBackends packed;
  unpack(object, packed);
  std::optional<std::vector<core::ViewBackend>> unpacked = unpackBackends(packed);
  if (!unpacked) {
    throw msgpack::type_error();
  }
  backends = std::move(*unpacked);
}

template <std::size_t Index = 0>
PeerFrame unpackFrame(std::uint64_t type, const msgpack::object& body) {
  if constexpr (Index < std::variant_size_v<PeerFrame>) {
    if (type == Index) {
      std::variant_alternative_t<Index, PeerFrame> message;
      unpack(body, message);
      return message;
    }
    return unpackFrame<Index + 1>(type, body);
  } else {
    throw msgpack::type_error();
  }
}

/// A view of 20,000 backends has 300,000 values, the largest message of all.
constexpr decoding::DecodingLimits kMessageLimits{
    .MaxBytes = kMaxPeerFrameBytes, .MaxDepth = 16, .MaxValues = 1U << 20U};
constexpr std::uint32_t kEnvelopeFields = 5;

}  // namespace

const char* toString(PeerCodecError error) {
  switch (error) {
    case PeerCodecError::kNone:
      return "none";
    case PeerCodecError::kShort:
      return "short";
    case PeerCodecError::kAuthenticator:
      return "authenticator";
    case PeerCodecError::kCluster:
      return "cluster";
    case PeerCodecError::kFormat:
      return "format";
    case PeerCodecError::kMalformed:
      return "malformed";
  }
  return "invalid";
}

const char* frameName(std::size_t index) {
  static constexpr std::array<const char*, std::variant_size_v<PeerFrame>> kNames{
      "ping",
      "ack",
      "ping_request",
      "member_sync",
      "configuration_request",
      "configuration",
      "records",
      "records_ack",
      "route_hint",
      "listing_request",
      "forwarded_packet",
      "view_request",
      "view_transfer",
      "view_subscription",
      "view_update",
      "outlier_report",
      "load_report",
      "load_summary",
      "group_notice",
      "view_page_request",
      "view_page"};
  return index < kNames.size() ? kNames[index] : "invalid";
}

PeerCodec::PeerCodec(std::string cluster, std::string key, core::MemberId self)
    : cluster_(std::move(cluster)), key_(std::move(key)), self_(self) {}

std::array<std::uint8_t, kAuthenticatorBytes> PeerCodec::authenticate(ByteView body) const {
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()), body.data(), body.size(),
       digest.data(), &length);
  std::array<std::uint8_t, kAuthenticatorBytes> truncated{};
  std::copy_n(digest.begin(), truncated.size(), truncated.begin());
  return truncated;
}

std::vector<std::uint8_t> PeerCodec::encode(const PeerFrame& frame) const {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(kEnvelopeFields);
  packer.pack(kPeerFormatVersion);
  packer.pack(cluster_);
  pack(packer, self_);
  packer.pack(static_cast<std::uint32_t>(frame.index()));
  std::visit([&packer](const auto& message) { pack(packer, message); }, frame);
  const auto* data = reinterpret_cast<const std::uint8_t*>(buffer.data());
  std::vector<std::uint8_t> datagram(data, data + buffer.size());
  const auto authenticator = authenticate(datagram);
  datagram.insert(datagram.end(), authenticator.begin(), authenticator.end());
  return datagram;
}

std::optional<ReceivedFrame> PeerCodec::fail(PeerCodecError error) {
  lastError_ = error;
  return std::nullopt;
}

std::optional<ReceivedFrame> PeerCodec::decode(ByteView datagram) {
  if (datagram.size() <= kAuthenticatorBytes) {
    return fail(PeerCodecError::kShort);
  }
  const ByteView body = datagram.first(datagram.size() - kAuthenticatorBytes);
  const auto expected = authenticate(body);
  if (CRYPTO_memcmp(expected.data(), datagram.data() + body.size(), expected.size()) != 0) {
    return fail(PeerCodecError::kAuthenticator);
  }
  return decodeBody(body);
}

std::optional<ReceivedFrame> PeerCodec::decodeBody(ByteView body) {
  decoding::MsgpackParser parser(kMessageLimits);
  const std::optional<msgpack::object_handle> handle =
      parser.Parse({reinterpret_cast<const char*>(body.data()), body.size()});
  if (!handle) {
    return fail(PeerCodecError::kMalformed);
  }
  try {
    const msgpack::object_array& envelope = arrayOf(handle->get());
    if (envelope.size != kEnvelopeFields) {
      return fail(PeerCodecError::kMalformed);
    }
    if (envelope.ptr[0].as<std::uint32_t>() != kPeerFormatVersion) {
      return fail(PeerCodecError::kFormat);
    }
    if (envelope.ptr[1].as<std::string>() != cluster_) {
      return fail(PeerCodecError::kCluster);
    }
    ReceivedFrame received;
    unpack(envelope.ptr[2], received.from);
    received.frame = unpackFrame(envelope.ptr[3].as<std::uint64_t>(), envelope.ptr[4]);
    lastError_ = PeerCodecError::kNone;
    return received;
  } catch (const std::exception&) {
    return fail(PeerCodecError::kMalformed);
  }
}

PeerFrame toFrame(const core::PeerMessage& message) {
  return std::visit([](const auto& alternative) -> PeerFrame { return alternative; }, message);
}

}  // namespace cobaltgauge::net
