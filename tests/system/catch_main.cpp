// Main function of the model router's tests.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
