/// @file
/// libFuzzer target: CoAP messages; what is decoded must survive another round.
#include <cstdlib>

#include "net/coap_message.h"

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
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
