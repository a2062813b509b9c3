#include "decoding/json_parser.h"

#include "decoding/structure_budget.h"

namespace cobaltgauge::decoding {
namespace {

/// Reports the values of a document to a StructureBudget.
class JsonScanner : public nlohmann::json_sax<nlohmann::json>
{
public:
  explicit JsonScanner(StructureBudget& budget)
    : Budget(budget)
  {
  }

  bool null() override { return this->Budget.Take(1); }
  bool boolean(bool) override { return this->Budget.Take(1); }
  bool number_integer(number_integer_t) override
  {
    return this->Budget.Take(1);
  }
  bool number_unsigned(number_unsigned_t) override
  {
    return this->Budget.Take(1);
  }
  bool number_float(number_float_t, const string_t&) override
  {
    return this->Budget.Take(1);
  }
  bool string(string_t&) override { return this->Budget.Take(1); }
  bool binary(binary_t&) override { return this->Budget.Take(1); }
  bool key(string_t&) override { return this->Budget.Take(1); }
  bool start_object(std::size_t) override { return this->Enter(); }
  bool end_object() override { return this->Leave(); }
  bool start_array(std::size_t) override { return this->Enter(); }
  bool end_array() override { return this->Leave(); }
  bool parse_error(std::size_t position,
                   const std::string&,
                   const nlohmann::json::exception&) override
  {
    // The message of the exception quotes the document.
    this->ErrorPosition = position;
    return false;
  }

  std::size_t GetErrorPosition() const { return this->ErrorPosition; }

private:
  bool Enter() { return this->Budget.Take(1) && this->Budget.Enter(); }
  bool Leave()
  {
    this->Budget.Leave();
    return true;
  }

  StructureBudget& Budget;
  std::size_t ErrorPosition = 0;
};

} // namespace

std::optional<nlohmann::json> JsonParser::Parse(std::string_view text)
{
  StructureBudget budget(this->Limits);
  JsonScanner scanner(budget);
  if (!budget.CheckSize(text.size()) ||
      !nlohmann::json::sax_parse(text, &scanner)) {
    const std::string& violation = budget.GetViolation();
    this->LastReason = violation.empty()
      ? "not valid JSON at byte " + std::to_string(scanner.GetErrorPosition())
      : violation;
    return std::nullopt;
  }
  return nlohmann::json::parse(text);
}

} // namespace cobaltgauge::decoding
