#include "core/tokens/token_index.h"

#include <algorithm>

#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Separates hash tokens from other uses of the same hash function.
constexpr std::uint64_t kTokenSalt = 0x746f6b656eULL;

} // namespace

SteeringToken HashTokenOf(BackendId id)
{
  const auto hash = static_cast<std::uint32_t>(
    mixHash(static_cast<std::uint64_t>(id), kTokenSalt));
  return SteeringToken{ hash == 0 ? 1 : hash };
}

std::optional<BackendId> TokenIndex::AddBackend(BackendId id)
{
  BackendId& owner = this->Ids.try_emplace(HashTokenOf(id), id).first->second;
  if (owner == id) {
    return std::nullopt;
  }
  const BackendId previous = owner;
  owner = std::min(id, previous);
  this->WithoutHash.insert(std::max(id, previous));
  return owner == id ? std::optional(previous) : std::nullopt;
}

std::optional<BackendId> TokenIndex::RemoveBackend(BackendId id)
{
  const bool isOwner = this->OwnsHash(id);
  this->WithoutHash.erase(id);
  if (!isOwner) {
    return std::nullopt;
  }
  const SteeringToken token = HashTokenOf(id);
  this->Ids.erase(token);
  const auto next = std::find_if(
    this->WithoutHash.begin(),
    this->WithoutHash.end(),
    [token](BackendId other) { return HashTokenOf(other) == token; });
  if (next == this->WithoutHash.end()) {
    return std::nullopt;
  }
  const BackendId owner = *next;
  this->Ids.emplace(token, owner);
  this->WithoutHash.erase(next);
  return owner;
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
    this->Resolver->AddPort(endpoint.port);
  }
}

void TokenIndex::RemoveAddress(const Endpoint& endpoint)
{
  const std::optional<SteeringToken> token = this->Encode(endpoint);
  if (!token) {
    return;
  }
  std::set<Endpoint>& endpoints = this->Addresses[*token];
  endpoints.erase(endpoint);
  if (endpoints.empty()) {
    this->Addresses.erase(*token);
  }
}

std::optional<TokenIndex::Target> TokenIndex::Find(SteeringToken token) const
{
  if (this->Addresses.count(token) != 0) {
    const Endpoint* unique = this->FindUniqueAddress(token);
    return unique == nullptr ? std::nullopt : std::optional<Target>(*unique);
  }
  const auto id = this->Ids.find(token);
  return id == this->Ids.end() ? std::nullopt
                               : std::optional<Target>(id->second);
}

SteeringToken TokenIndex::GetToken(BackendId id,
                                   const Endpoint& endpoint) const
{
  const std::optional<SteeringToken> token = this->Encode(endpoint);
  const bool isUnique = token && this->FindUniqueAddress(*token) != nullptr;
  return isUnique ? *token : HashTokenOf(id);
}

std::optional<SteeringToken> TokenIndex::Encode(const Endpoint& endpoint) const
{
  return this->Resolver == nullptr
    ? std::nullopt
    : this->Resolver->GetCodec().Encode(endpoint);
}

const Endpoint* TokenIndex::FindUniqueAddress(SteeringToken token) const
{
  const auto endpoints = this->Addresses.find(token);
  const bool isUnique =
    endpoints != this->Addresses.end() && endpoints->second.size() == 1;
  return isUnique ? &*endpoints->second.begin() : nullptr;
}

} // namespace cobaltgauge::core
