// What went wrong, where, and what an operator can do about it. A library's errors are an enumeration of its
// own and one such struct, handed back in tl::expected: the caller has to look, nothing unwinds past the
// event loop, and the parts stay apart, so that each can be tested and stand in a table.
#pragma once

#include <string>

namespace lichenlug {

template <typename Kind>
struct Fault {
  Kind kind;
  std::string place;   // file, line and key; peer; ticket
  std::string cause;   // what was found, and what is expected
  std::string remedy;  // what an operator can do

  // One line.
  std::string Text() const { return place + ": " + cause + "; " + remedy; }
};

}  // namespace lichenlug
