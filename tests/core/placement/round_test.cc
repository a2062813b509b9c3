/// A daemon's round over back ends that are as good.
#include "core/placement/placement_limits.h"
#include "support/token_fixtures.h"

namespace cobaltgauge::tests {
namespace {

struct RoundFixture : TokenFixture
{
  std::map<core::BackendId, int> Placed;

  /// Open flows that end at once.
  void OpenAndClose(std::uint16_t firstPort, std::uint16_t count)
  {
    for (std::uint16_t port = firstPort; port < firstPort + count; ++port) {
      this->now += 100ms;
      const core::BackendId backend = this->openAndAnswer(port);
      ++this->Placed[backend];
      core::PacketSummary end =
        TokenFixture::packet(port, core::PacketKind::kClosing);
      end.token = core::HashTokenOf(backend);
      this->steering.onPacket(end, this->now);
      this->steering.onTick(this->now);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(RoundSuite, RoundFixture)

BOOST_AUTO_TEST_CASE(BackEndsAlikeGetOpeningsInTurn)
{
  this->OpenAndClose(1000, 300);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    BOOST_TEST(this->Placed[core::BackendId{ id }] == 100);
  }
}

BOOST_AUTO_TEST_CASE(ABackEndThatReturnsGetsNoMoreThanItsTurn)
{
  this->OpenAndClose(1000, 30);
  this->steering.backends().remove(keyOf(2), ++this->revision, this->now);
  this->OpenAndClose(2000, 60);
  this->putBackend(2, makeRegistration(2, "web", 1, 2));
  this->Placed.clear();
  this->OpenAndClose(3000, 30);
  BOOST_TEST(this->Placed[core::BackendId{ 2 }] == 10);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
