#include "sim/event_queue.h"

#include <algorithm>
#include <utility>

namespace cobaltgauge::sim {

void EventQueue::at(core::Time time, Action action) {
  items_.push({std::max(time, now_), nextOrder_++, std::move(action)});
}

void EventQueue::runUntil(core::Time end) {
  while (!items_.empty() && items_.top().time <= end) {
    // priority_queue::top() returns a const reference; moving the action avoids a copy.
    Item item = std::move(const_cast<Item&>(items_.top()));
    items_.pop();
    now_ = item.time;
    ++executed_;
    item.action();
  }
  now_ = std::max(now_, end);
}

}  // namespace cobaltgauge::sim
