/// @file
/// The seeds of the peer message fuzzer must be valid, so that fuzzing covers accepted messages.
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "net/peer_codec.h"

namespace cobaltgauge::tests {
namespace {

BOOST_AUTO_TEST_SUITE(FuzzSeedsTest)

BOOST_AUTO_TEST_CASE(every_peer_message_seed_is_decodable) {
  const std::filesystem::path seeds(COBALTGAUGE_SOURCE_DIR "/tests/fuzz/seeds/fuzz_peer");
  net::PeerCodec codec("fuzz", "key of the fuzzers", core::MemberId{1});
  std::size_t count = 0;
  for (const auto& file : std::filesystem::directory_iterator(seeds)) {
    std::ifstream in(file.path(), std::ios::binary);
    const std::vector<std::uint8_t> bytes(std::istreambuf_iterator<char>(in), {});
    const bool isDecoded = codec.decodeBody(bytes).has_value();
    BOOST_TEST(isDecoded, file.path().filename() << ": " << net::toString(codec.lastError()));
    ++count;
  }
  BOOST_TEST(count > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cobaltgauge::tests
