#include "net/packet_format.h"

namespace cobaltgauge::net {

const char* toString(PacketFault fault) {
  switch (fault) {
    case PacketFault::kNone:
      return "none";
    case PacketFault::kShort:
      return "short";
    case PacketFault::kLong:
      return "long";
    case PacketFault::kWrongLength:
      return "wrong_length";
    case PacketFault::kUnknownFlag:
      return "unknown_flag";
  }
  return "invalid";
}

}  // namespace cobaltgauge::net
