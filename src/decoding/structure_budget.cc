#include "decoding/structure_budget.h"

namespace cobaltgauge::decoding {

bool StructureBudget::CheckSize(std::size_t bytes)
{
  return bytes <= this->Limits.MaxBytes ||
    this->Fail("bytes", this->Limits.MaxBytes);
}

bool StructureBudget::Take(std::uint64_t values)
{
  this->Values += values;
  return this->Values <= this->Limits.MaxValues ||
    this->Fail("values", this->Limits.MaxValues);
}

bool StructureBudget::Enter()
{
  ++this->Depth;
  return this->Depth <= this->Limits.MaxDepth ||
    this->Fail("levels", this->Limits.MaxDepth);
}

bool StructureBudget::Fail(const char* what, std::size_t limit)
{
  this->Violation = "more than " + std::to_string(limit) + " " + what;
  return false;
}

} // namespace cobaltgauge::decoding
