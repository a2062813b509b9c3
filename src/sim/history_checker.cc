#include "sim/history_checker.h"

#include <algorithm>
#include <iomanip>
#include <set>
#include <sstream>

namespace cobaltgauge::sim {
namespace {

struct RequestState {
  std::string session;
  int executions = 0;
  bool reportedDone = false;
  bool reportedNotRun = false;
};

struct SessionState {
  std::string service;
  std::set<std::string> backends;
  bool reportedBroken = false;
};

class Checker {
 public:
  explicit Checker(const CheckerBounds& bounds) : bounds_(bounds) {}

  CheckerReport run(const std::vector<Event>& events) {
    for (const Event& event : events) {
      processEvent(event);
    }
    checkSessions();
    checkRequests();
    checkConfigurationDelay();
    computeImbalance();
    return std::move(report_);
  }

 private:
  void addViolation(std::size_t& counter, const std::string& rule, const std::string& evidence) {
    ++counter;
    report_.violations.push_back({rule, evidence});
  }

  void processEvent(const Event& event) {
    switch (event.kind) {
      case EventKind::kSessionOpened:
        ++report_.sessions;
        break;
      case EventKind::kSessionAtBackend:
        sessions_[event.session].service = event.service;
        sessions_[event.session].backends.insert(event.actor);
        checkNewSession(event);
        break;
      case EventKind::kSessionBroken:
      case EventKind::kSessionUnknown:
        sessions_[event.session].reportedBroken = true;
        break;
      case EventKind::kRequestSent:
        ++report_.requests;
        requests_[event.request].session = event.session;
        break;
      case EventKind::kRequestDone:
        requests_[event.request].reportedDone = true;
        break;
      case EventKind::kRequestRefused:
        ++report_.refusals;
        requests_[event.request].reportedNotRun = true;
        break;
      case EventKind::kRequestOutcomeUnknown:
        ++report_.unknownOutcomes;
        break;
      case EventKind::kRequestExecuted:
        ++report_.executions;
        ++requests_[event.request].executions;
        break;
      case EventKind::kRequestDuplicate:
        ++report_.droppedDuplicates;
        break;
      case EventKind::kResponseComplete:
        ++report_.completeResponses;
        break;
      case EventKind::kResponseInvalid:
        addViolation(report_.invalidResponses, "complete response",
                     event.session + " request " + event.request + ": " + event.detail);
        break;
      case EventKind::kMisdelivered:
        addViolation(
            report_.misdelivered, "no misdelivered packet",
            "at " + event.actor + ", t=" + std::to_string(event.timeMs) + " " + event.detail);
        break;
      case EventKind::kBackendDraining:
        drainingSince_.try_emplace(event.actor, event.timeMs);
        break;
      case EventKind::kConfigurationPublished:
        published_.try_emplace(std::stoull(event.detail), event.timeMs);
        break;
      case EventKind::kConfigurationActive:
        checkActivation(event);
        break;
      case EventKind::kFault:
        recordOutage(event);
        break;
    }
  }

  /// Records the start or end of a platform outage or zone partition, during which daemons cannot
  /// read published changes. Delays are measured from the end of such an outage.
  void recordOutage(const Event& event) {
    const bool begins = event.detail.starts_with("platform_down") ||
                        event.detail.starts_with("platform_stale") ||
                        event.detail.starts_with("cut_zone");
    const bool ends =
        event.detail.starts_with("platform_up") || event.detail.starts_with("heal_zone");
    const bool platform = event.detail.starts_with("platform");
    bool& open = platform ? platformOutage_ : partitionOutage_;
    if (begins) {
      open = true;
    } else if (ends) {
      open = false;
      lastOutageEnd_ = event.timeMs;
    }
  }

  /// @return the time from which a change published at `sinceMs` was readable; `nowMs` during an
  /// outage.
  std::int64_t readableSince(std::int64_t sinceMs, std::int64_t nowMs) const {
    if (platformOutage_ || partitionOutage_) {
      return nowMs;
    }
    return std::max(sinceMs, lastOutageEnd_);
  }

  void checkNewSession(const Event& event) {
    const auto draining = drainingSince_.find(event.actor);
    if (draining != drainingSince_.end() &&
        event.timeMs > readableSince(draining->second, event.timeMs) + bounds_.drainMs) {
      addViolation(report_.lateNewSessions, "no new session on a draining backend",
                   event.session + " at " + event.actor + " " +
                       std::to_string(event.timeMs - draining->second) +
                       " ms after draining began");
    }
  }

  void checkActivation(const Event& event) {
    const std::uint64_t version = std::stoull(event.detail);
    std::uint64_t& known = activeVersions_[event.actor];
    if (version < known) {
      addViolation(
          report_.configurationViolations, "configuration version never decreases",
          event.actor + " went from " + std::to_string(known) + " to " + std::to_string(version));
    }
    known = std::max(known, version);
    const std::int64_t firstSeen = firstSeen_.try_emplace(event.actor, event.timeMs).first->second;
    const auto published = published_.find(version);
    if (published == published_.end()) {
      return;
    }
    const std::int64_t delay = event.timeMs - readableSince(published->second, event.timeMs);
    // Daemons that join after the publication are not counted.
    if (firstSeen <= published->second) {
      report_.maxConfigurationDelayMs = std::max(report_.maxConfigurationDelayMs, delay);
    }
  }

  void checkSessions() {
    for (const auto& [session, state] : sessions_) {
      if (state.reportedBroken) {
        addViolation(report_.brokenSessions, "established sessions are kept",
                     session + ": a packet reached a backend without this session");
      } else if (state.backends.size() > 1) {
        addViolation(
            report_.brokenSessions, "established sessions are kept",
            session + " was opened on " + std::to_string(state.backends.size()) + " backends");
      }
    }
  }

  void checkRequests() {
    for (const auto& [request, state] : requests_) {
      if (state.executions > 1) {
        addViolation(report_.doubleExecutions, "at-most-once execution",
                     request + " ran " + std::to_string(state.executions) + " times");
      }
      if (state.reportedNotRun && state.executions > 0) {
        addViolation(report_.falseRefusals, "refused requests are not executed",
                     request + " was executed");
      }
      if (state.reportedDone && state.executions == 0) {
        addViolation(report_.lostRequests, "confirmed requests are executed", request);
      }
    }
  }

  void checkConfigurationDelay() {
    if (report_.maxConfigurationDelayMs > bounds_.configurationMs) {
      addViolation(report_.configurationViolations, "configuration active in time",
                   "maximum delay " + std::to_string(report_.maxConfigurationDelayMs) + " ms");
    }
  }

  void computeImbalance() {
    std::map<std::string, std::map<std::string, std::size_t>> counts;
    for (const auto& [session, state] : sessions_) {
      const bool placed = !state.backends.empty() && !state.service.empty();
      if (placed && !drainingSince_.contains(*state.backends.begin())) {
        ++counts[state.service][*state.backends.begin()];
      }
    }
    for (const auto& [service, backends] : counts) {
      std::size_t total = 0;
      std::size_t largest = 0;
      for (const auto& [backend, count] : backends) {
        total += count;
        largest = std::max(largest, count);
      }
      report_.imbalance[service] =
          static_cast<double>(largest * backends.size()) / static_cast<double>(total);
    }
  }

  CheckerBounds bounds_;
  CheckerReport report_;
  std::map<std::string, SessionState> sessions_;
  std::map<std::string, RequestState> requests_;
  std::map<std::string, std::int64_t> drainingSince_;
  std::map<std::uint64_t, std::int64_t> published_;
  std::map<std::string, std::uint64_t> activeVersions_;
  std::map<std::string, std::int64_t> firstSeen_;
  bool platformOutage_ = false;
  bool partitionOutage_ = false;
  std::int64_t lastOutageEnd_ = 0;
};

constexpr int kLabelWidth = 34;
constexpr std::size_t kMaxShownViolations = 20;

}  // namespace

void HistoryCounts::add(const HistoryCounts& other) {
  sessions += other.sessions;
  requests += other.requests;
  executions += other.executions;
  droppedDuplicates += other.droppedDuplicates;
  refusals += other.refusals;
  unknownOutcomes += other.unknownOutcomes;
  completeResponses += other.completeResponses;
  brokenSessions += other.brokenSessions;
  doubleExecutions += other.doubleExecutions;
  misdelivered += other.misdelivered;
  falseRefusals += other.falseRefusals;
  lostRequests += other.lostRequests;
  invalidResponses += other.invalidResponses;
  lateNewSessions += other.lateNewSessions;
  configurationViolations += other.configurationViolations;
  maxConfigurationDelayMs = std::max(maxConfigurationDelayMs, other.maxConfigurationDelayMs);
}

double HistoryCounts::brokenPerMillion() const {
  constexpr double kMillion = 1e6;
  return sessions == 0
             ? 0
             : kMillion * static_cast<double>(brokenSessions) / static_cast<double>(sessions);
}

CheckerReport checkHistory(std::vector<Event> events, const CheckerBounds& bounds) {
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& a, const Event& b) { return a.timeMs < b.timeMs; });
  return Checker(bounds).run(events);
}

std::string formatReport(const CheckerReport& report) {
  std::ostringstream out;
  const auto row = [&out](const std::string& label, auto value) {
    out << std::left << std::setw(kLabelWidth) << label << value << "\n";
  };
  row("sessions", report.sessions);
  row("requests", report.requests);
  row("executions", report.executions);
  row("duplicates dropped by backends", report.droppedDuplicates);
  row("large responses complete", report.completeResponses);
  row("refused as not run", report.refusals);
  row("outcome unknown", report.unknownOutcomes);
  row("max configuration delay (ms)", report.maxConfigurationDelayMs);
  for (const auto& [service, value] : report.imbalance) {
    row("imbalance " + service + " (max/mean)", value);
  }
  row("broken sessions", report.brokenSessions);
  row("duplicate executions", report.doubleExecutions);
  row("misdelivered packets", report.misdelivered);
  row("false refusals", report.falseRefusals);
  row("lost requests", report.lostRequests);
  row("invalid responses", report.invalidResponses);
  row("late sessions while draining", report.lateNewSessions);
  row("configuration violations", report.configurationViolations);
  for (std::size_t i = 0; i < std::min(report.violations.size(), kMaxShownViolations); ++i) {
    out << "violation: " << report.violations[i].rule << ": " << report.violations[i].evidence
        << "\n";
  }
  return out.str();
}

}  // namespace cobaltgauge::sim
