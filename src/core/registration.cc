#include "core/registration.h"

namespace cobaltgauge::core {

bool Registration::saysTheSameAs(const Registration& other) const {
  Registration numberedAlike = other;
  numberedAlike.statement = statement;
  return *this == numberedAlike;
}

}  // namespace cobaltgauge::core
