// Plays one scenario against the real program on loopback: scenario_player PROGRAM SCENARIO. The player acts
// as the clients, the runners and discovery. tests/scenarios/README.md describes the language.
#ifdef NDEBUG
#error "scenario_player needs assertions"
#endif
#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace {

using Json = nlohmann::json;
using Words = std::vector<std::string>;

std::string g_step;  // the current step, for failure messages

void Require(bool good, const std::string& what) {
  if (!good) std::cerr << "at '" << g_step << "': " << what << std::endl;
  assert(good);
}

struct Message {
  int fd = -1;  // the connection it arrived on
  std::string first, head, body;
};

// Removes one complete message from the front of `bytes`; bodies always have a Content-Length here.
bool TakeMessage(std::string* bytes, Message* message) {
  const std::size_t end = bytes->find("\r\n\r\n");
  if (end == std::string::npos) return false;
  message->head = bytes->substr(0, end + 2);
  message->first = message->head.substr(0, message->head.find("\r\n"));
  const std::size_t at = message->head.find("Content-Length: ");
  const std::size_t size = at == std::string::npos ? 0 : std::stoul(message->head.substr(at + 16));
  if (bytes->size() < end + 4 + size) return false;
  message->body = bytes->substr(end + 4, size);
  bytes->erase(0, end + 4 + size);
  return true;
}

struct Actor {  // a client, a runner or discovery
  int listener = -1;
  bool accepts = true, stops_reading = false;
  std::vector<int> fillers;  // connections that fill the backlog while it doesn't accept
  int port = 0;
  std::string phase = "active";
  std::map<int, std::string> received;  // received bytes, by connection
  std::vector<Message> inbox;           // received messages that no step has expected yet
  std::vector<int> unanswered;          // a runner's jobs and DELETEs or discovery's calls, oldest first
  int fd = -1;                          // a client's connection, or discovery's watch
  int head_sent_on = -1;                // the watch that discovery has sent the response head on
  int answered = -1;                    // the connection of a runner's last response
  int ended = 0;                        // connections that the program ended
  int probes = 0;
  int ignored_calls = 0;         // the number of calls to discovery that get no response
  std::string heartbeat = "\n";  // what discovery sends as heartbeat
  std::chrono::steady_clock::time_point heartbeat_at = std::chrono::steady_clock::time_point::max();
};

class Player {
 public:
  Player(std::string program, const std::string& path) : program_(std::move(program)) {
    std::ifstream file(path);
    Require(file.good(), "cannot read " + path);
    for (std::string line; std::getline(file, line);) {
      if (line.empty() || line[0] == '#') continue;
      g_step = line;
      std::istringstream in(line);
      Words words;
      for (std::string word; in >> word;) {
        const bool continues =
            !words.empty() && words.back().back() == '\\';  // "\ " is a space within a word
        if (continues) words.back().back() = ' ';
        continues ? void(words.back() += word) : words.push_back(word);
      }
      Step(words, line);
    }
    if (pid_ > 0) Stop();
    unlink(path_);  // only reached if the program has exited cleanly
  }

 private:
  void Step(Words& words, const std::string& line) {
    for (std::string& word : words)
      for (const auto& [role, name] : {std::pair{"it", it_}, std::pair{"other", other_}})
        if (word == role || word.starts_with(std::string(role) + "=") || word == std::string(role) + "'s")
          word = name + word.substr(std::strlen(role));
    const std::string verb = words.at(0);
    if (verb == "set") {
      config_[Json::json_pointer(words.at(1))] = Json::parse(words.at(2));
    } else if (verb == "runners") {
      for (std::size_t i = 1; i < words.size(); ++i) AddRunner(words[i]);
    } else if (verb == "start") {
      Start(words);
    } else if (verb == "send") {
      Send(words, line);
    } else if (verb == "expect") {
      Expect(words);
    } else if (verb == "close") {
      Close(words);
    } else if (verb == "wait" && words.at(1) == "time") {  // lets timers of the stopped program fall due
      poll(nullptr, 0, std::stoi(words.at(2)));
    } else if (verb == "wait") {
      Require(words.at(1) == "exit", "wait exit CODE");
      WaitForExit(std::stoi(words.at(2)));
    } else {
      Require(false, "unknown verb");
    }
  }

  // ---- The program ----

  // "r1" accepts connections, "r1:refused" refuses them, and with "r1:late" they are only established after
  // `send r1 accept`: its backlog is full, so the system drops the SYN and retransmits it a second later.
  void AddRunner(std::string name) {
    const std::size_t colon = name.find(':');
    const std::string kind = colon == std::string::npos ? "" : name.substr(colon);
    name = name.substr(0, colon);
    Actor& runner = actors_[name];
    Listen(&runner);
    if (kind == ":refused") close(std::exchange(runner.listener, -1));
    if (kind == ":late") {
      runner.accepts = false;
      Require(listen(runner.listener, 0) == 0, "listen");
      for (bool full = false; !full;) {
        sockaddr_in address = Loopback(runner.port);
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
        pollfd up{fd, POLLOUT, 0};
        full = poll(&up, 1, 50) == 0;
        full ? void(close(fd)) : runner.fillers.push_back(fd);
      }
    }
    runners_.push_back(name);
  }

  static sockaddr_in Loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET, address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
  }

  void Listen(Actor* actor) {
    actor->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof address;
    Require(bind(actor->listener, reinterpret_cast<sockaddr*>(&address), size) == 0, "bind");
    Require(listen(actor->listener, 256) == 0, "listen");
    getsockname(actor->listener, reinterpret_cast<sockaddr*>(&address), &size);
    actor->port = ntohs(address.sin_port);
  }

  Json Members(const Words& names) {
    Json members = Json::array();
    for (const std::string& name : names)
      members.push_back({{"id", name},
                         {"host_port", "127.0.0.1:" + std::to_string(actors_[name].port)},
                         {"locality", "a"},
                         {"flavor", "m"},
                         {"cell", 0},
                         {"phase", actors_[name].phase},
                         {"size", 1.0},
                         {"up_since_ms", 0}});
    return members;
  }

  void Start(const Words& words) {
    MoveDiscovery("d");
    if (!config_.contains("known"))
      config_["known"] = {{"revision", revision_}, {"complete", true}, {"members", Members(runners_)}};
    close(mkstemp(path_));
    WriteConfig();
    if (words.size() > 1) Require(unlink(path_) == 0 && mkfifo(path_, 0600) == 0, "mkfifo");
    int out[2];
    Require(pipe(out) == 0, "pipe");
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // a failed scenario must not leave the program running
      for (const char* name : {"BALANCER_NAME", "BALANCER_LISTEN"}) unsetenv(name);
      setenv("BALANCER_DISCOVERY", config_["discovery"].get_ref<const std::string&>().c_str(), 1);
      setenv("BALANCER_CONFIG", path_, 1);
      dup2(out[1], 2), close_range(3, ~0U, 0);
      rlimit limit{};
      getrlimit(RLIMIT_NOFILE, &limit);
      limit.rlim_cur = config_["limits"]["sockets"].get<rlim_t>();  // enforces limits.sockets
      setrlimit(RLIMIT_NOFILE, &limit);
      execl(program_.c_str(), program_.c_str(), "serve", nullptr);
      _exit(127);
    }
    close(out[1]);
    log_ = out[0];
    if (words.size() > 1) SignalWhileItReads(words);
    std::string output;
    char c = 0;
    while (output.find('\n') == std::string::npos && read(log_, &c, 1) == 1) output.push_back(c);
    const std::size_t colon = output.rfind(':');
    if (output.find(" serves at ") == std::string::npos) {  // a scenario with an invalid configuration
      output_ = output;
      return;
    }
    port_ = std::stoi(output.substr(colon + 1));
    fcntl(log_, F_SETFL, O_NONBLOCK);
  }

  void WriteConfig() { std::ofstream(path_) << config_; }

  // The program reads a named pipe. Opening it here succeeds once the program has opened it, before it has
  // read anything.
  void SignalWhileItReads(const Words& words) {
    std::ofstream pipe(path_);
    for (std::size_t i = 1; i < words.size(); ++i) kill(pid_, words[i] == "HUP" ? SIGHUP : SIGTERM);
    unlink(path_);
    WriteConfig();  // for the reload
    pipe << config_;
  }

  // Sets discovery's address in the configuration to that of this actor.
  void MoveDiscovery(const std::string& name) {
    if (actors_[name].listener < 0) Listen(&actors_[name]);
    config_["discovery"] = "127.0.0.1:" + std::to_string(actors_[name].port);
  }

  void Stop() {
    kill(pid_, SIGTERM);
    WaitForExit(0);
  }

  void WaitForExit(int code) {
    int status = 0;
    WaitUntil("the program's exit", [&] { return waitpid(pid_, &status, WNOHANG) == pid_; });
    pid_ = -1;
    Require(WIFEXITED(status) && WEXITSTATUS(status) == code,
            "status " + std::to_string(status) + " " + output_);
  }

  // ---- Receive ----

  // Serves all sockets until `done` returns true. Steps wait for events, never for a time, so that a slow
  // machine doesn't change the result.
  void WaitUntil(const std::string& what, const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(9);
    while (!done()) {
      Require(std::chrono::steady_clock::now() < end, "timed out waiting for: " + what);
      std::vector<pollfd> fds{{log_, POLLIN, 0}};
      for (auto& [name, actor] : actors_) {
        if (actor.listener >= 0 && actor.accepts) fds.push_back({actor.listener, POLLIN, 0});
        for (auto& [fd, bytes] : actor.received)
          if (!actor.stops_reading) fds.push_back({fd, POLLIN, 0});
      }
      poll(fds.data(), fds.size(), 10);
      char buffer[65536];
      if (log_ >= 0 && fds[0].revents != 0) {
        const ssize_t size = read(log_, buffer, sizeof buffer);
        if (size > 0)
          std::cerr.write(buffer, size), output_.append(buffer, size);  // for example, a sanitizer's report
        if (size == 0) close(std::exchange(log_, -1));
      }
      for (auto& [name, actor] : actors_) {
        Serve(name, actor);
        const auto now = std::chrono::steady_clock::now();
        if (now < actor.heartbeat_at) continue;
        actor.heartbeat_at = now + std::chrono::milliseconds(500);
        if (actor.fd >= 0) SendChunk(actor, actor.heartbeat);
      }
    }
  }

  void Serve(const std::string& name, Actor& actor) {
    if (actor.stops_reading) return;
    for (int fd; actor.listener >= 0 && actor.accepts &&
                 (fd = accept4(actor.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
      actor.received[fd];
    char buffer[65536];
    for (auto it = actor.received.begin(); it != actor.received.end();) {
      auto& [fd, bytes] = *it;
      const ssize_t size = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (size > 0) bytes.append(buffer, size);
      Message message;
      while (TakeMessage(&bytes, &message)) {
        message.fd = fd;
        OnMessage(name, actor, message);
      }
      if (size == 0 || (size < 0 && errno != EAGAIN)) {
        ++actor.ended;
        if (actor.fd == fd) actor.fd = -1;
        std::erase(actor.unanswered, fd);  // no response is possible on it
        close(fd);
        it = actor.received.erase(it);
      } else {
        ++it;
      }
    }
  }

  void OnMessage(const std::string& name, Actor& actor, const Message& message) {
    if (message.first.starts_with("GET /-/load")) {
      ++actor.probes;
      return Write(message.fd, Answer("200", R"({"inflight":0,"util":0.1,"x0":5})"));
    }
    if (name[0] == 'd' && actor.ignored_calls > 0) {
      --actor.ignored_calls;
    } else if (name[0] == 'd') {  // each call becomes a watch that starts with the complete list
      actor.fd = message.fd, actor.head_sent_on = -1;
      actor.unanswered.push_back(message.fd);
      if (name == "d") SendList(name, true, runners_, false);
    }
    if (message.first.starts_with("POST") || message.first.starts_with("DELETE"))
      actor.unanswered.push_back(message.fd);
    actor.inbox.push_back(message);
  }

  // ---- send ----

  static std::string Answer(const std::string& status, const std::string& body,
                            const std::string& head = "") {
    return "HTTP/1.1 " + status + " Words\r\n" + head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  static void Write(int fd, const std::string& bytes) {
    Require(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()), "send");
  }

  int Connect(Actor* actor) {
    const int fd = ConnectTo(port_);
    actor->received[fd];
    return fd;
  }

  static int ConnectTo(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(port);
    Require(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0, "connect");
    return fd;
  }

  static std::string Job(const std::string& cls, const std::string& id, const std::string& more) {
    return "POST /" + cls + "?q=1 HTTP/1.1\r\nHost: service\r\nX-Call-Id: " + id + "\r\nX-Caller: acme\r\n" +
           more + "Content-Length: 4\r\n\r\nwork";
  }

  void SendList(const std::string& who, bool complete, const Words& names, bool split) {
    Actor& actor = actors_[who];
    Json news = {{"revision", ++revision_}, {"complete", complete}, {"members", Members(names)}};
    const std::string text = "\n" + news.dump() + "\n";  // the empty line is a heartbeat
    const std::size_t step = split ? 7 : text.size();
    for (std::size_t at = 0; at < text.size(); at += step) SendChunk(actor, text.substr(at, step));
  }

  // Uses one write: on a connection that the program has closed meanwhile the first write succeeds.
  void SendChunk(Actor& actor, const std::string& piece) {
    std::string bytes;
    if (std::exchange(actor.head_sent_on, actor.fd) != actor.fd)
      bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    Write(actor.fd, bytes + size + piece + "\r\n");
  }

  static std::string Unescaped(const std::string& text) {
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); ++i) {
      const bool escape = text[i] == '\\' && i + 1 < text.size();
      bytes += !escape ? text[i] : text[++i] == 'r' ? '\r' : text[i] == 'n' ? '\n' : '\1';
    }
    return bytes;
  }

  void Send(const Words& words, const std::string& line) {
    const std::string who = words.at(1), what = words.at(2);
    Actor& actor = actors_[who];
    if (who == "program" && what == "HUP") {  // send program HUP [D]: makes D discovery in the file
      const bool missing = words.size() > 3 && words[3] == "missing",
                 text = words.size() > 3 && words[3] == "text";
      if (words.size() > 3 && !missing && !text) MoveDiscovery(words[3]);
      WriteConfig();
      if (text) std::ofstream(path_) << line.substr(line.find(" text") + 5);
      if (missing) unlink(path_);
      const std::size_t before = output_.size();
      kill(pid_, SIGHUP);
      WaitUntil("a log line about the configuration",
                [&] { return output_.find("configuration", before) != std::string::npos; });
    } else if (who == "program" && what == "STOP") {
      int status = 0;
      kill(pid_, SIGSTOP);
      WaitUntil("the program to stop", [&] { return waitpid(pid_, &status, WUNTRACED | WNOHANG) == pid_; });
      Require(WIFSTOPPED(status), "status " + std::to_string(status));
    } else if (who == "program" && what == "CONT") {
      kill(pid_, SIGCONT);
    } else if (who == "program" && what == "files") {  // send program files N: sets its descriptor limit
      rlimit limits{};
      prlimit(pid_, RLIMIT_NOFILE, nullptr, &limits);
      limits.rlim_cur =
          std::min<rlim_t>(std::stoul(words.at(3)), limits.rlim_max);  // bounded by the hard limit
      Require(prlimit(pid_, RLIMIT_NOFILE, &limits, nullptr) == 0, "prlimit");
    } else if (who == "program") {
      kill(pid_, SIGTERM);
      WaitUntil("the log line that it drains",
                [&] { return output_.find(" drains\n") != std::string::npos; });
    } else if (what == "forget") {  // drops what has been received so far
      Serve(who, actor);
      actor.inbox.clear();
    } else if (what == "rest") {
      actor.stops_reading = true;
    } else if (what == "accept") {  // send R accept: also waits until the program's connection is established
      actor.accepts = true;
      WaitUntil("a connection", [&] { return actor.received.size() > actor.fillers.size(); });
    } else if (who[0] == 'd' && what == "deaf") {
      actor.ignored_calls = std::stoi(words.at(3));
    } else if (who[0] == 'd' && what == "oldest") {
      Require(actor.unanswered.size() > 1, "no older call is open");
      actor.fd = actor.unanswered.front();
    } else if (who[0] == 'd' && what == "beat") {
      SendChunk(actor, "\n");
    } else if (who[0] == 'd' && what == "503") {
      Write(actor.fd, Answer(what, ""));
    } else if (who[0] == 'd' && what == "beats") {
      actor.heartbeat_at = {};
      if (words.size() > 3) actor.heartbeat = words[3];
    } else if (who[0] == 'd' && what == "text") {
      SendChunk(actor, Unescaped(line.substr(line.find(" text ") + 6)));
    } else if (who[0] == 'd') {  // send d patch|whole [split] NAME=PHASE ...
      Words names;
      for (std::size_t i = 3; i < words.size(); ++i)
        if (const std::size_t equals = words[i].find('='); equals != std::string::npos) {
          names.push_back(words[i].substr(0, equals));
          actors_[names.back()].phase = words[i].substr(equals + 1);
        }
      if (what != "gap") SendList(who, what == "whole", names, words.size() > 3 && words[3] == "split");
    } else if (what == "callback") {  // send R callback ID STATE [RESULT]
      Json body = {{"id", words.at(3)}, {"from", who}, {"state", words.at(4)}};
      if (words.size() > 5) body["result"] = words[5];
      Post(who, body.dump());
    } else if (what == "text") {  // send C text TEXT: with escapes \r and \n
      if (actor.fd < 0) actor.fd = Connect(&actor);
      Write(actor.fd, Unescaped(line.substr(line.find(" text ") + 6)));
    } else if (what == "each") {  // send C each COUNT TEXT: each on its own connection
      for (int i = 0; i < std::stoi(words.at(3)); ++i) {
        actor.fd = Connect(&actor);
        if (words.size() > 4)
          Write(actor.fd, Unescaped(line.substr(line.find(words[4], line.find(" each ")))));
      }
    } else if (what == "body") {  // send R body TEXT: a callback with this body
      Post(who, line.substr(line.find(" body ") + 6));
    } else if (what == "job") {  // send C job CLASS ID [HEADER:VALUE ...]
      if (actor.fd < 0) actor.fd = Connect(&actor);
      Write(actor.fd, Job(words.at(3), words.at(4), Headers(words, 5)));
    } else if (what == "flood") {  // send C flood CLASS COUNT: pipelined on one connection
      for (int i = 0; i < std::stoi(words.at(4)); ++i)
        Write(actor.fd, Job(words.at(3), who + "-" + std::to_string(i), ""));
      WaitUntil("all bytes to be acknowledged",
                [&, left = 0]() mutable { return ioctl(actor.fd, SIOCOUTQ, &left) == 0 && left == 0; });
    } else if (what == "jobs") {  // send C jobs CLASS COUNT: each on its own connection
      for (int i = 0; i < std::stoi(words.at(4)); ++i)
        Write(Connect(&actor), Job(words.at(3), who + std::to_string(i), ""));
    } else if (what == "again") {  // send R again STATUS [HEADER:VALUE ...]: a surplus response
      Write(actor.answered, Answer(words.at(3), "", Headers(words, 4)));
    } else {  // send R STATUS [HEADER:VALUE ...]: the response to its oldest job or DELETE; send R raw TEXT
      WaitUntil("a job or DELETE to answer", [&] { return !actor.unanswered.empty(); });
      actor.answered = actor.unanswered.front();
      actor.unanswered.erase(actor.unanswered.begin());
      const bool raw = what == "raw";
      Write(actor.answered,
            raw ? Unescaped(line.substr(line.find(" raw ") + 5)) : Answer(what, "", Headers(words, 3)));
    }
  }

  static std::string Headers(const Words& words, std::size_t from) {
    std::string text;
    for (std::size_t i = from; i < words.size(); ++i) {
      const std::size_t colon = words[i].find(':');
      text += words[i].substr(0, colon) + ": " + words[i].substr(colon + 1) + "\r\n";
    }
    return text;
  }

  // Sends a callback on its own connection; the response goes to the inbox of "NAME's".
  void Post(const std::string& who, const std::string& body) {
    Write(Connect(&actors_[who + "'s"]), "POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                             std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  // ---- expect, close ----

  void Expect(const Words& words) {
    const std::string who = words.at(1), what = words.at(2);
    if (who == "any") {  // expect any WORDS: the receiving runner becomes "it", another one "other"
      WaitUntil("a message at a runner", [&] {
        for (const std::string& name : runners_)
          if (!actors_[name].inbox.empty()) return it_ = name, true;
        return false;
      });
      for (const std::string& name : runners_)
        if (name != it_) other_ = name;
      Words known = words;
      known[1] = it_;
      return Expect(known);
    }
    Actor& actor = actors_[who];
    if (what == "nothing") {  // no message so far; use it after an event that a message would have preceded
      Serve(who, actor);
      return Require(actor.inbox.empty(),
                     "unexpected message: " + (actor.inbox.empty() ? "" : actor.inbox[0].first));
    }
    if (what == "without") {  // no received message contains this word
      Serve(who, actor);
      for (const Message& message : actor.inbox)
        Require(message.head.find(words.at(3)) == std::string::npos, message.head);
      return;
    }
    if (what == "shut")  // for an actor that rests: the program has half-closed the connection
      return WaitUntil("a shutdown", [&] {
        pollfd shut{actor.fd, POLLRDHUP, 0};
        return poll(&shut, 1, 0) == 1;
      });
    if (what == "whole") {  // for an actor that rests: its connection was not reset
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(actor.fd, SOL_SOCKET, SO_ERROR, &error, &size);
      return Require(error == 0, std::strerror(error));
    }
    if (what == "end") return WaitUntil("the end of a connection", [&] { return actor.ended > 0; });
    if (what == "probe") return WaitUntil("a probe", [&] { return actor.probes > 0; });
    if (what == "ends")  // expect C ends COUNT: that many of its connections
      return WaitUntil("the ends of connections", [&] { return actor.ended >= std::stoi(words.at(3)); });
    if (what == "said")  // a line may arrive in pieces
      return WaitUntil("the text in the log", [&] { return output_.find(words.at(3)) != std::string::npos; });
    WaitUntil("a message", [&] { return !actor.inbox.empty(); });
    const Message message = actor.inbox.front();
    actor.inbox.erase(actor.inbox.begin());
    const std::string all = message.first + "\n" + message.head + "\n" + message.body + "\n";
    for (std::size_t i = 2; i < words.size(); ++i)  // contains each word; "!WORD": doesn't contain it
      Require((all.find(words[i].substr(words[i][0] == '!')) != std::string::npos) == (words[i][0] != '!'),
              "'" + words[i] + "' and: " + all);
  }

  // close NAME [reset|half]: closes all its connections but not a runner's listener. half: it keeps reading.
  void Close(const Words& words) {
    Actor& actor = actors_[words.at(1)];
    if (words.size() > 2 && words[2] == "half") {
      for (auto& [fd, bytes] : actor.received) shutdown(fd, SHUT_WR);
      return;
    }
    for (auto& [fd, bytes] : actor.received) {
      const linger hard{1, 0};
      if (words.size() > 2) setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      close(fd);
    }
    actor.received.clear(), actor.unanswered.clear();
    actor.fd = -1;
  }

  std::string program_, it_, other_, output_;
  char path_[40] = "/tmp/lichenlug-test-XXXXXX";  // of the configuration
  std::map<std::string, Actor> actors_;
  Words runners_;
  int revision_ = 40, port_ = 0, log_ = -1;
  pid_t pid_ = -1;
  Json config_ = Json::parse(R"({
    "name": "n0", "listen": "127.0.0.1:0", "seed": "1f", "limits": {"sockets": 256},
    "settings": {
      "Dcs": ["a"], "HostTypes": ["m"], "MyZone": "a", "Instances": 1, "Ordinal": 0, "Tick": 4000,
      "Discovery": "on_request", "OverShareWorth": 0.2,
      "Limits": {"Cancelling": true, "ConnectTimeout": 200000, "IdleClose": 5000000, "MaxOpen": 20000,
                 "MaxRetryAfter": 2000000, "MostTries": 5, "Probes": true, "RetryAfter": true},
      "Guarantees": {"AskEvery": 10000000, "ColdShare": 0.3, "DrainGrace": 500000, "OverloadFactor": 4.0,
                     "OverloadFor": 1000000, "RampTime": 8900000},
      "Report": {"Fields": ["active", "cpu", "x0"], "How": "probe"},
      "RequestClasses": [
        {"Name": "index-refresh", "Aim": 300000, "Deadline": 5000000, "Effect": "dedup", "KeyScope": "cell",
         "LateValue": 0.2, "Window": 7500000, "Worth": 3.0},
        {"Name": "publish", "Aim": 300000, "Deadline": 5000000, "Effect": "fragile", "Worth": 10.0,
         "LateValue": 0.3}],
      "Specifics": {"ReportX0": "free slots", "TellsStart": true},
      "Tenants": [{"Name": "acme", "Portion": 1.0, "QuotaPerS": 50.0}]}})");
};

}  // namespace

int main(int argc, char** argv) {
  assert(argc == 3);
  signal(SIGPIPE, SIG_IGN);
  Player(argv[1], argv[2]);
  return 0;
}
