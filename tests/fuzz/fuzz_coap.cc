/// @file
/// libFuzzer target: CoAP decoder. A decoded message must be unchanged after encoding and decoding.
#include <cstdlib>

#include "net/coap_message.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge::net;
  const auto message = decodeCoap({data, size});
  if (!message) {
    return 0;
  }
  const auto again = decodeCoap(encodeCoap(*message));
  const bool same = again && again->code == message->code &&
                    again->messageId == message->messageId && again->token == message->token &&
                    again->payload == message->payload;
  if (!same) {
    std::abort();
  }
  return 0;
}
