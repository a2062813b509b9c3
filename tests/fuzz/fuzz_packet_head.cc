/// @file
/// libFuzzer target: the platform's packet header, including forwarding and refusals.
#include "platform/packet_header.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge;
  platform::PacketHeader format;
  const auto summary = format.read({data, size});
  if (!summary) {
    return 0;
  }
  std::vector<std::uint8_t> datagram(format.prefixBytes());
  datagram.insert(datagram.end(), data, data + size);
  core::ForwardToBackend forward;
  forward.backend.id = core::BackendId{size};
  forward.token = core::SteeringToken{1};
  format.prepareForward(forward, datagram);
  format.refusal(summary->flow, summary->acknowledgement);
  return 0;
}
