// Draws by gnuplot: a script in, an SVG picture out.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace lichenlug::lab {

// Gives the picture as SVG text without an XML head, to be put into a page. `script` is gnuplot's language;
// data goes in as here-documents. Throws std::runtime_error with gnuplot's first words when it cannot draw.
std::string DrawSvg(const std::string& script, int width, int height);

// A here-document of columns named $NAME.
std::string DataBlock(const std::string& name, const std::vector<std::vector<double>>& rows);

// Text as gnuplot wants it between double quotes.
std::string Quoted(const std::string& text);

}  // namespace lichenlug::lab
