#include "core/reach/token_index.h"

#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Any constant; keeps tokens apart from other uses of the same hash.
constexpr std::uint64_t kTokenSalt = 0x746f6b656eULL;

} // namespace

SteeringToken HashTokenOf(BackendId id)
{
  const auto hash = static_cast<std::uint32_t>(
    mixHash(static_cast<std::uint64_t>(id), kTokenSalt));
  return SteeringToken{ hash == 0 ? 1 : hash };
}

void TokenIndex::AddBackend(BackendId id)
{
  this->Ids.try_emplace(HashTokenOf(id), id);
}

void TokenIndex::ForgetBackend(BackendId id)
{
  if (this->OwnsHash(id)) {
    this->Ids.erase(HashTokenOf(id));
  }
}

bool TokenIndex::OwnsHash(BackendId id) const
{
  const auto owner = this->Ids.find(HashTokenOf(id));
  return owner != this->Ids.end() && owner->second == id;
}

void TokenIndex::AddAddress(const Endpoint& endpoint)
{
  if (const std::optional<SteeringToken> token = this->Encode(endpoint)) {
    this->Addresses[*token].insert(endpoint);
    this->Reach->AddPort(endpoint.port);
  }
}

void TokenIndex::ForgetAddress(const Endpoint& endpoint)
{
  const std::optional<SteeringToken> token = this->Encode(endpoint);
  if (!token) {
    return;
  }
  std::set<Endpoint>& sharing = this->Addresses[*token];
  sharing.erase(endpoint);
  if (sharing.empty()) {
    this->Addresses.erase(*token);
  }
}

std::optional<TokenIndex::Name> TokenIndex::Find(SteeringToken token) const
{
  if (this->Addresses.count(token) != 0) {
    const Endpoint* only = this->FindOnlyAddress(token);
    return only == nullptr ? std::nullopt : std::optional<Name>(*only);
  }
  const auto id = this->Ids.find(token);
  return id == this->Ids.end() ? std::nullopt
                               : std::optional<Name>(id->second);
}

SteeringToken TokenIndex::GetToken(BackendId id,
                                   const Endpoint& endpoint) const
{
  const std::optional<SteeringToken> token = this->Encode(endpoint);
  const bool isCertain = token && this->FindOnlyAddress(*token) != nullptr;
  return isCertain ? *token : HashTokenOf(id);
}

std::optional<SteeringToken> TokenIndex::Encode(const Endpoint& endpoint) const
{
  return this->Reach == nullptr ? std::nullopt
                                : this->Reach->GetCodec().Encode(endpoint);
}

const Endpoint* TokenIndex::FindOnlyAddress(SteeringToken token) const
{
  const auto sharing = this->Addresses.find(token);
  const bool isOnly =
    sharing != this->Addresses.end() && sharing->second.size() == 1;
  return isOnly ? &*sharing->second.begin() : nullptr;
}

} // namespace cobaltgauge::core
