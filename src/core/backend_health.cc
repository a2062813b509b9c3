#include "core/backend_health.h"

#include "core/constants.h"

namespace cobaltgauge::core {

const char* toString(ProbeResult result) {
  switch (result) {
    case ProbeResult::kConnected:
      return "connected";
    case ProbeResult::kRefused:
      return "refused";
    case ProbeResult::kTimedOut:
      return "timed_out";
  }
  return "invalid";
}

void BackendHealth::ask(BackendId backend, Time since, Time now) {
  Signs& signs = signs_[backend];
  signs.lastSign = now;
  if (signs.unansweredSince == Time{}) {
    signs.unansweredSince = since;
    open_.insert(backend);
  }
}

void BackendHealth::onOpening(BackendId backend, Time now) { ask(backend, now, now); }

void BackendHealth::onRepeatedData(BackendId backend, Time firstSentAt, Time now) {
  ask(backend, firstSentAt, now);
}

void BackendHealth::onDoubt(BackendId backend, Time now) {
  Signs& signs = signs_[backend];
  if (signs.dead || signs.doubted) {
    return;
  }
  signs.lastSign = now;
  signs.doubted = true;
  signs.timedOut = 0;
  signs.nextProbe = now;
  open_.insert(backend);
}

void BackendHealth::onAnswer(BackendId backend, Time now) {
  Signs& signs = signs_[backend];
  signs.lastSign = now;
  signs.unansweredSince = Time{};
  counters_.revived += signs.dead ? 1U : 0U;
  signs.dead = false;
  signs.doubted = false;
  open_.erase(backend);
}

bool BackendHealth::isSuspected(BackendId backend, Time now) const {
  const auto found = signs_.find(backend);
  if (found == signs_.end()) {
    return false;
  }
  const Signs& signs = found->second;
  const bool silent =
      signs.unansweredSince != Time{} && now - signs.unansweredSince > kAnswerPatience;
  return signs.dead || signs.doubted || silent;
}

bool BackendHealth::isDead(BackendId backend) const {
  const auto found = signs_.find(backend);
  return found != signs_.end() && found->second.dead;
}

std::vector<BackendId> BackendHealth::takeProbes(std::size_t known, Time now) {
  std::vector<BackendId> due;
  std::size_t suspects = 0;
  std::size_t doubted = 0;
  for (const BackendId id : open_) {
    const Signs& signs = signs_.at(id);
    const bool suspected = isSuspected(id, now);
    suspects += suspected ? 1U : 0U;
    doubted += signs.doubted ? 1U : 0U;
    if (suspected && !signs.probing && now >= signs.nextProbe) {
      due.push_back(id);
    }
  }
  if (suspects > 1 && suspects * 2 > known) {
    return {};
  }
  if (doubted > 1 && doubted * kBackendsPerDoubt > known) {
    dropDoubts();
    return takeProbes(known, now);
  }
  for (const BackendId id : due) {
    signs_.at(id).probing = true;
    ++counters_.probes;
  }
  return due;
}

void BackendHealth::dropDoubts() {
  for (const BackendId id : open_) {
    signs_.at(id).doubted = false;
  }
  std::erase_if(open_, [this](BackendId id) {
    const Signs& signs = signs_.at(id);
    return signs.unansweredSince == Time{} && !signs.dead;
  });
}

bool BackendHealth::onProbe(BackendId backend, ProbeResult result, Time now) {
  const auto found = signs_.find(backend);
  if (found == signs_.end()) {
    return false;
  }
  Signs& signs = found->second;
  signs.probing = false;
  signs.nextProbe = now + kProbeAgainAfter;
  if (result == ProbeResult::kConnected) {
    onAnswer(backend, now);
    return false;
  }
  if (signs.dead || !proves(signs, result, now)) {
    if (signs.unansweredSince == Time{} && !signs.doubted && !signs.dead) {
      open_.erase(backend);
    }
    return false;
  }
  signs.dead = true;
  signs.doubted = false;
  ++counters_.declaredDead;
  return true;
}

bool BackendHealth::proves(Signs& signs, ProbeResult result, Time now) {
  const bool isSilent = signs.unansweredSince != Time{};
  if (result == ProbeResult::kRefused) {
    signs.doubted = false;
    return false;
  }
  if (isSilent || !signs.doubted) {
    return isSilent;
  }
  // Nothing was silent here: a single lost packet must not do.
  signs.nextProbe = now;
  return ++signs.timedOut >= kTimeoutsOfDoubted;
}

void BackendHealth::onResume() {
  for (auto& [id, signs] : signs_) {
    signs.unansweredSince = Time{};
    signs.doubted = false;
  }
  std::erase_if(open_, [this](BackendId id) { return !signs_.at(id).dead; });
}

void BackendHealth::expire(Time now) {
  std::erase_if(signs_, [this, now](const auto& item) {
    const bool forget = now - item.second.lastSign > kSignsMemory && !item.second.probing;
    if (forget) {
      open_.erase(item.first);
    }
    return forget;
  });
}

}  // namespace cobaltgauge::core
