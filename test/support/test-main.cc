// Holds the main function of every test program.
#define BOOST_TEST_MODULE cornelhead
#include <boost/test/unit_test.hpp>
