#include "core/registration.h"

namespace cobaltgauge::core {

bool Registration::hasSameContentAs(const Registration& other) const {
  Registration withSameSequence = other;
  withSameSequence.updateSequence = updateSequence;
  return *this == withSameSequence;
}

}  // namespace cobaltgauge::core
