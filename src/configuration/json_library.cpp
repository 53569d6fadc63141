// Compiles Boost.JSON from its headers, so that its library need not be linked.
#include <boost/json/src.hpp>
