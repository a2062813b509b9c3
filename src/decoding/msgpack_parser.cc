#include "decoding/msgpack_parser.h"

#include <algorithm>
#include <utility>

#include "decoding/structure_budget.h"

namespace cobaltgauge::decoding {
namespace {

/// Reports the values that a document declares to a StructureBudget.
class MsgpackScanner : public msgpack::null_visitor
{
public:
  explicit MsgpackScanner(StructureBudget& budget)
    : Budget(budget)
  {
  }

  bool start_array(std::uint32_t size) { return this->Enter(size); }
  bool end_array() { return this->Leave(); }
  bool start_map(std::uint32_t size)
  {
    return this->Enter(2 * std::uint64_t{ size });
  }
  bool end_map() { return this->Leave(); }
  void insufficient_bytes(std::size_t, std::size_t) { this->Truncated = true; }

  bool IsTruncated() const { return this->Truncated; }

private:
  bool Enter(std::uint64_t values)
  {
    return this->Budget.Take(values) && this->Budget.Enter();
  }
  bool Leave()
  {
    this->Budget.Leave();
    return true;
  }

  StructureBudget& Budget;
  bool Truncated = false;
};

/// Lets strings and binary data refer to the document.
bool ReferToDocument(msgpack::type::object_type, std::size_t, void*)
{
  return true;
}

} // namespace

std::nullopt_t MsgpackParser::Fail(std::string reason)
{
  this->LastReason = std::move(reason);
  return std::nullopt;
}

std::optional<msgpack::object_handle> MsgpackParser::Parse(
  std::string_view bytes)
{
  // Each value takes up at least one byte.
  DecodingLimits limits = this->Limits;
  limits.MaxValues = std::min(limits.MaxValues, bytes.size());
  StructureBudget budget(limits);
  MsgpackScanner scanner(budget);
  std::size_t end = 0;
  if (!budget.CheckSize(bytes.size()) ||
      !msgpack::parse(bytes.data(), bytes.size(), end, scanner)) {
    const std::string& violation = budget.GetViolation();
    return this->Fail(!violation.empty()        ? violation
                        : scanner.IsTruncated() ? "truncated MessagePack"
                                                : "not valid MessagePack");
  }
  if (end != bytes.size()) {
    return this->Fail("unexpected bytes after the document");
  }
  try {
    return msgpack::unpack(bytes.data(), bytes.size(), &ReferToDocument);
  } catch (const std::exception& error) {
    return this->Fail(error.what());
  }
}

} // namespace cobaltgauge::decoding
