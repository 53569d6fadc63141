#include "lab/report/gnuplot.h"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lichenlug::lab {
namespace {

std::string ReadAll(const std::filesystem::path& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

struct Scratch {  // a folder that goes with its owner
  Scratch() {
    std::string pattern = (std::filesystem::temp_directory_path() / "lichenlug-lab-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no folder for scratch files");
    path = pattern;
  }
  ~Scratch() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
  std::filesystem::path path;
};

}  // namespace

std::string Quoted(const std::string& text) {
  std::string out = "\"";
  for (char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += c == '\n' ? ' ' : c;
  }
  return out + "\"";
}

std::string DataBlock(const std::string& name, const std::vector<std::vector<double>>& rows) {
  std::ostringstream out;
  out << "$" << name << " << EOD\n";
  for (const auto& row : rows) {
    for (double x : row) out << x << " ";
    out << "\n";
  }
  out << "EOD\n";
  return out.str();
}

std::string DrawSvg(const std::string& script, int width, int height) {
  const Scratch scratch;
  const auto in = scratch.path / "plot.gp", out = scratch.path / "plot.svg", errors = scratch.path / "errors";
  std::ofstream(in) << "set terminal svg size " << width << "," << height
                    << " dynamic enhanced font 'sans,11' background '#ffffff'\nset output "
                    << Quoted(out.string()) << "\nset encoding utf8\nset termoption noenhanced\n"
                    << script << "\nunset output\n";
  const std::string command = "gnuplot '" + in.string() + "' 2>'" + errors.string() + "'";
  const int code = std::system(command.c_str());
  std::string svg = ReadAll(out);
  const std::size_t begin = svg.find("<svg");
  if (code != 0 || begin == std::string::npos)
    throw std::runtime_error("gnuplot cannot draw: " + ReadAll(errors).substr(0, 300));
  return svg.substr(begin);
}

}  // namespace lichenlug::lab
