#include "core/reach/answering_backends.h"

#include "core/constants.h"
#include "core/hashing.h"

namespace cobaltgauge::core {

BackendId UnregisteredIdOf(const Endpoint& backend)
{
  return backendIdOf(ServiceId{ 0 }, backend, 0);
}

void AnsweringBackends::OnAnswer(const Endpoint& route,
                                 const Endpoint& backend,
                                 Time now)
{
  const bool isKnown = this->Ids.count(UnregisteredIdOf(backend)) != 0;
  if (!isKnown && this->Ids.size() >= kMostAnsweringBackends) {
    return;
  }
  this->Ids.emplace(UnregisteredIdOf(backend), backend);
  this->Routes[route][backend] = now;
}

std::vector<Endpoint> AnsweringBackends::Find(const Endpoint& route,
                                              Time now) const
{
  std::vector<Endpoint> found;
  const auto answers = this->Routes.find(route);
  if (answers == this->Routes.end()) {
    return found;
  }
  for (const auto& [backend, last] : answers->second) {
    if (now - last < kAnswerProves) {
      found.push_back(backend);
    }
  }
  return found;
}

std::optional<Endpoint> AnsweringBackends::FindById(BackendId id) const
{
  const auto found = this->Ids.find(id);
  return found == this->Ids.end() ? std::nullopt
                                  : std::optional(found->second);
}

void AnsweringBackends::Expire(Time now)
{
  this->Ids.clear();
  for (auto& [route, answers] : this->Routes) {
    std::erase_if(answers, [now](const auto& answer) {
      return now - answer.second >= kAnswerProves;
    });
    for (const auto& [backend, last] : answers) {
      this->Ids.emplace(UnregisteredIdOf(backend), backend);
    }
  }
  std::erase_if(this->Routes,
                [](const auto& route) { return route.second.empty(); });
}

} // namespace cobaltgauge::core
