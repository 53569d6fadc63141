#include "ctl/http_get.h"

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <iterator>
#include <sstream>

namespace lichenlug::ctl {
namespace {

constexpr std::chrono::seconds kTimeout{5};

HttpResponse ReadResponse(std::istream& stream) {
  std::string version, line;
  HttpResponse response;
  if (!(stream >> version >> response.status) || !version.starts_with("HTTP/1.")) {
    return {0, "", "no HTTP response within the timeout"};
  }
  std::getline(stream, line);  // the reason phrase
  while (std::getline(stream, line) && line != "\r" && !line.empty()) {
  }
  response.body.assign(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
  return response;
}

}  // namespace

HttpResponse HttpGet(const std::string& address, const std::string& path) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return {0, "", "give the address as ip:port"};
  asio::ip::tcp::iostream stream;
  stream.expires_after(kTimeout);
  stream.connect(address.substr(0, colon), address.substr(colon + 1));
  if (!stream) return {0, "", stream.error().message()};
  // HTTP/1.0, so that the body ends with the connection and is not chunked.
  stream << "GET " << path << " HTTP/1.0\r\nHost: " << address << "\r\nConnection: close\r\n\r\n"
         << std::flush;
  return ReadResponse(stream);
}

}  // namespace lichenlug::ctl
