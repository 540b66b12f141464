// Defines the main function of all test programs.
#define BOOST_TEST_MODULE cornelhead
#include <boost/test/unit_test.hpp>
