// The compiled part of Boost.JSON, used here without its library.
#include <boost/json/src.hpp>
