/// @file
/// libFuzzer target: datagrams of the data socket, from the Geneve decoder to refusals.
#include "net/geneve.h"
#include "net/inner_packet.h"
#include "net/refusal.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace cobaltgauge;
  net::GeneveDecoder decoder;
  const auto packet = decoder.decode({data, size});
  if (!packet) {
    return 0;
  }
  net::InnerPacketReader reader;
  if (reader.summarize(packet->protocolType, packet->payload)) {
    core::Refuse refusal;
    refusal.form = core::RefusalForm::kCoap;
    net::buildRefusal(refusal, packet->protocolType, packet->payload);
    refusal.form = core::RefusalForm::kReset;
    net::buildRefusal(refusal, packet->protocolType, packet->payload);
  }
  return 0;
}
