// The main function of the tests of the model router.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
