#include "core/proof/witnesses.h"

#include <algorithm>
#include <optional>
#include <tuple>

#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// The back end heard last of those that were offered.
class LastHeard
{
public:
  void Offer(const Registration& registration, Time heardAt)
  {
    if (!this->Best ||
        std::tie(heardAt, registration.id) >
          std::tie(this->HeardAt, this->Best->id)) {
      this->Best = registration;
      this->HeardAt = heardAt;
    }
  }

  void AddTo(std::vector<Endpoint>& witnesses) const
  {
    if (this->Best) {
      witnesses.push_back(this->Best->endpoint);
    }
  }

private:
  std::optional<Registration> Best;
  Time HeardAt{};
};

/// Back ends that are looked at for missing witnesses: those that are found
/// already and the suspect may be among them.
constexpr std::size_t kLooks = 8;

} // namespace

std::vector<Endpoint> ChooseWitnesses(BackendId suspect,
                                      const BackendHealth& health,
                                      BackendRegistry& backends,
                                      Random& random,
                                      Time now)
{
  std::vector<Endpoint> witnesses;
  const Registration* silent = backends.registrationOf(suspect);
  if (silent == nullptr) {
    return witnesses;
  }
  LastHeard near;
  LastHeard far;
  for (const auto& [id, heardAt] : health.respondingBackends(now)) {
    const Registration* heard = backends.registrationOf(id);
    if (heard != nullptr &&
        heard->endpoint.address != silent->endpoint.address) {
      (heard->zone == silent->zone ? near : far).Offer(*heard, heardAt);
    }
  }
  near.AddTo(witnesses);
  far.AddTo(witnesses);
  const auto& others = backends.candidates(serviceIdOf(silent->service));
  const std::size_t looks = std::min(others.size(), kLooks);
  const std::size_t start = others.empty() ? 0 : random.below(others.size());
  for (std::size_t look = 0;
       look < looks && witnesses.size() < DeathTrial::kMostWitnesses;
       ++look) {
    const BackendId id = others[(start + look) % others.size()].id;
    const Endpoint& drawn = backends.find(id)->endpoint;
    const bool isNew =
      std::find(witnesses.begin(), witnesses.end(), drawn) == witnesses.end();
    if (isNew && drawn.address != silent->endpoint.address) {
      witnesses.push_back(drawn);
    }
  }
  return witnesses;
}

} // namespace cobaltgauge::core
