/// @file
/// Discrete-event loop in virtual time. Events at the same time run in the order of scheduling, so
/// a run with the same seed is the same run.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "core/types.h"

namespace cobaltgauge::sim {

class EventQueue {
 public:
  using Action = std::function<void()>;

  core::Time now() const { return now_; }

  /// Schedules an action; a time in the past means "now".
  void at(core::Time time, Action action);
  void after(core::Duration delay, Action action) { at(now_ + delay, std::move(action)); }

  /// Runs events until the queue is empty or the next one lies after `end`.
  void runUntil(core::Time end);

  std::uint64_t executed() const { return executed_; }

 private:
  struct Item {
    core::Time time;
    std::uint64_t order;
    Action action;
  };
  struct Later {
    bool operator()(const Item& a, const Item& b) const {
      return a.time != b.time ? a.time > b.time : a.order > b.order;
    }
  };

  std::priority_queue<Item, std::vector<Item>, Later> items_;
  core::Time now_{};
  std::uint64_t nextOrder_ = 0;
  std::uint64_t executed_ = 0;
};

}  // namespace cobaltgauge::sim
