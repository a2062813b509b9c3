/// @file
/// Entry point of every test program.
#define BOOST_TEST_MODULE cobaltgauge
#include <boost/test/unit_test.hpp>
