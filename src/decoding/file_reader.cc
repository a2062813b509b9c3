#include "decoding/file_reader.h"

#include <array>
#include <fstream>

namespace cobaltgauge::decoding {
namespace {

constexpr std::size_t kBlockBytes = 64U << 10U;

} // namespace

std::optional<std::string> FileReader::Read(const std::string& path)
{
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    this->LastReason = path + ": cannot open file";
    return std::nullopt;
  }
  std::string content;
  std::array<char, kBlockBytes> block{};
  while (in.read(block.data(), block.size()) || in.gcount() > 0) {
    content.append(block.data(), static_cast<std::size_t>(in.gcount()));
    // The size is counted, since a special file does not tell it.
    if (content.size() > this->MaxBytes) {
      this->LastReason =
        path + ": more than " + std::to_string(this->MaxBytes) + " bytes";
      return std::nullopt;
    }
  }
  if (!in.eof()) {
    this->LastReason = path + ": cannot read file";
    return std::nullopt;
  }
  return content;
}

} // namespace cobaltgauge::decoding
