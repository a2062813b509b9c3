#include "core/tokens/token_index.h"

#include <boost/test/unit_test.hpp>
#include <map>

#include "support/core_fixtures.h"

namespace cobaltgauge::tests {
namespace {

using core::BackendId;

struct TokenIndexFixture
{
  core::TokenResolver Resolver{
    core::AddressTokenCodec(endpoint(1, 1, 1).address, 7)
  };
  core::TokenIndex Index{ &this->Resolver };

  core::SteeringToken AddressToken(const core::Endpoint& address) const
  {
    return *this->Resolver.GetCodec().Encode(address);
  }
};

BOOST_FIXTURE_TEST_SUITE(TokenIndexTest, TokenIndexFixture)

BOOST_AUTO_TEST_CASE(address_and_hash_tokens_find_the_backend)
{
  const core::Endpoint address = endpoint(2, 3, 8080);
  this->Index.AddBackend(BackendId{ 5 });
  this->Index.AddAddress(address);
  const core::SteeringToken written =
    this->Index.GetToken(BackendId{ 5 }, address);
  BOOST_TEST((written == this->AddressToken(address)));
  BOOST_TEST(
    (std::get<core::Endpoint>(*this->Index.Find(written)) == address));
  const auto byHash = this->Index.Find(core::HashTokenOf(BackendId{ 5 }));
  BOOST_TEST((std::get<BackendId>(*byHash) == BackendId{ 5 }));
}

BOOST_AUTO_TEST_CASE(tokens_are_hashes_without_a_resolver)
{
  core::TokenIndex hashes(nullptr);
  const core::Endpoint address = endpoint(2, 3, 8080);
  hashes.AddAddress(address);
  BOOST_TEST((hashes.GetToken(BackendId{ 5 }, address) ==
              core::HashTokenOf(BackendId{ 5 })));
  BOOST_TEST(!hashes.Find(this->AddressToken(address)).has_value());
}

// Guards against daemons that send packets with a shared hash token to
// different backends, depending on which one they knew first.
BOOST_AUTO_TEST_CASE(shared_hash_token_belongs_to_the_same_backend_everywhere)
{
  std::map<core::SteeringToken, BackendId> seen;
  BackendId second{ 1 };
  while (seen.try_emplace(core::HashTokenOf(second), second).second) {
    second = BackendId{ static_cast<std::uint64_t>(second) + 1 };
  }
  const BackendId first = seen.at(core::HashTokenOf(second));
  core::TokenIndex reversed(nullptr);
  this->Index.AddBackend(first);
  this->Index.AddBackend(second);
  reversed.AddBackend(second);
  reversed.AddBackend(first);
  for (core::TokenIndex* index : { &this->Index, &reversed }) {
    BOOST_TEST(index->OwnsHash(first));
    BOOST_TEST(!index->OwnsHash(second));
    index->RemoveBackend(first);
    BOOST_TEST(index->OwnsHash(second));
  }
}

// About one pair in 256 of the ports of a host shares a token.
BOOST_AUTO_TEST_CASE(colliding_address_tokens_are_replaced_by_hashes)
{
  std::map<core::SteeringToken, core::Endpoint> seen;
  core::Endpoint first;
  core::Endpoint second = endpoint(2, 3, 1);
  while (seen.try_emplace(this->AddressToken(second), second).second) {
    ++second.port;
  }
  first = seen.at(this->AddressToken(second));
  const core::SteeringToken shared = this->AddressToken(first);
  this->Index.AddAddress(first);
  this->Index.AddAddress(second);
  BOOST_TEST(!this->Index.Find(shared).has_value());
  BOOST_TEST((this->Index.GetToken(BackendId{ 5 }, first) ==
              core::HashTokenOf(BackendId{ 5 })));
  this->Index.RemoveAddress(second);
  BOOST_TEST((std::get<core::Endpoint>(*this->Index.Find(shared)) == first));
}

BOOST_AUTO_TEST_CASE(removed_backends_and_addresses_are_not_found)
{
  const core::Endpoint address = endpoint(2, 3, 8080);
  this->Index.AddBackend(BackendId{ 5 });
  this->Index.AddAddress(address);
  BOOST_TEST(this->Index.OwnsHash(BackendId{ 5 }));
  this->Index.RemoveBackend(BackendId{ 5 });
  this->Index.RemoveAddress(address);
  BOOST_TEST(!this->Index.OwnsHash(BackendId{ 5 }));
  BOOST_TEST(!this->Index.Find(this->AddressToken(address)).has_value());
  BOOST_TEST(!this->Index.Find(core::HashTokenOf(BackendId{ 5 })).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
