#include "decoding/file_reader.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

namespace cobaltgauge::tests {
namespace {

struct TemporaryFile
{
  explicit TemporaryFile(const std::string& content)
  {
    std::ofstream(this->Path, std::ios::binary) << content;
  }
  ~TemporaryFile() { std::remove(this->Path.c_str()); }

  std::string Path = "file_reader_test." + std::to_string(getpid());
};

BOOST_AUTO_TEST_SUITE(FileReaderTest)

BOOST_AUTO_TEST_CASE(file_up_to_the_limit_is_read)
{
  const TemporaryFile file(std::string(100, '\0'));
  BOOST_TEST(decoding::FileReader(100).Read(file.Path).value() ==
             std::string(100, '\0'));
}

BOOST_AUTO_TEST_CASE(larger_file_is_refused)
{
  const TemporaryFile file(std::string(101, 'x'));
  decoding::FileReader reader(100);
  BOOST_TEST(!reader.Read(file.Path).has_value());
  BOOST_TEST(reader.GetLastReason() == file.Path + ": more than 100 bytes");
}

// Guards against reading a special file until memory is exhausted.
BOOST_AUTO_TEST_CASE(endless_file_is_refused)
{
  BOOST_TEST(!decoding::FileReader(1U << 20U).Read("/dev/zero").has_value());
}

BOOST_AUTO_TEST_CASE(missing_file_and_folder_are_refused)
{
  decoding::FileReader reader(100);
  BOOST_TEST(!reader.Read("no such file").has_value());
  BOOST_TEST(reader.GetLastReason() == "no such file: cannot open file");
  BOOST_TEST(!reader.Read(".").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cobaltgauge::tests
