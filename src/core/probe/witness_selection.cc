#include "core/probe/witness_selection.h"

#include <algorithm>
#include <optional>
#include <tuple>

#include "core/hashing.h"

namespace cobaltgauge::core {
namespace {

/// Keeps the backend with the most recent response.
class MostRecentResponder
{
public:
  void Consider(const Registration& registration, Time respondedAt)
  {
    if (!this->Best ||
        std::tie(respondedAt, registration.id) >
          std::tie(this->RespondedAt, this->Best->id)) {
      this->Best = registration;
      this->RespondedAt = respondedAt;
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
  Time RespondedAt{};
};

/// Maximum number of candidates examined for missing witnesses, including the
/// suspect and witnesses that are already selected.
constexpr std::size_t kMaxSampledCandidates = 8;

} // namespace

std::vector<Endpoint> SelectWitnesses(BackendId suspect,
                                      const BackendHealth& health,
                                      BackendRegistry& backends,
                                      Random& random,
                                      Time now)
{
  std::vector<Endpoint> witnesses;
  const Registration* suspectRegistration = backends.registrationOf(suspect);
  if (suspectRegistration == nullptr) {
    return witnesses;
  }
  MostRecentResponder sameZone;
  MostRecentResponder otherZone;
  for (const auto& [id, respondedAt] : health.respondingBackends(now)) {
    const Registration* responder = backends.registrationOf(id);
    if (responder != nullptr &&
        responder->endpoint.address != suspectRegistration->endpoint.address) {
      (responder->zone == suspectRegistration->zone ? sameZone : otherZone)
        .Consider(*responder, respondedAt);
    }
  }
  sameZone.AddTo(witnesses);
  otherZone.AddTo(witnesses);
  const auto& others =
    backends.candidates(serviceIdOf(suspectRegistration->service));
  const std::size_t sampleSize =
    std::min(others.size(), kMaxSampledCandidates);
  const std::size_t start = others.empty() ? 0 : random.below(others.size());
  for (std::size_t i = 0;
       i < sampleSize && witnesses.size() < FailureProbe::kMaxWitnesses;
       ++i) {
    const BackendId id = others[(start + i) % others.size()].id;
    const Endpoint& endpoint = backends.find(id)->endpoint;
    const bool isNew =
      std::find(witnesses.begin(), witnesses.end(), endpoint) ==
      witnesses.end();
    if (isNew && endpoint.address != suspectRegistration->endpoint.address) {
      witnesses.push_back(endpoint);
    }
  }
  return witnesses;
}

} // namespace cobaltgauge::core
