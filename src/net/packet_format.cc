#include "net/packet_format.h"

namespace cobaltgauge::net {

const char* toString(PacketFormatError error) {
  switch (error) {
    case PacketFormatError::kNone:
      return "none";
    case PacketFormatError::kShort:
      return "short";
    case PacketFormatError::kLong:
      return "long";
    case PacketFormatError::kWrongLength:
      return "wrong_length";
    case PacketFormatError::kUnknownFlag:
      return "unknown_flag";
  }
  return "invalid";
}

}  // namespace cobaltgauge::net
