#include "core/registration.h"

namespace cobaltgauge::core {

bool Registration::hasSameContentAs(const Registration& other) const {
  Registration withSameStatement = other;
  withSameStatement.statement = statement;
  return *this == withSameStatement;
}

}  // namespace cobaltgauge::core
