// Stand-ins of the platform's store, of the promotion call and of the database servers, a line
// client, and helpers that start the session daemon. All of them use loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();

inline int64_t NowMs() {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - kStart).count();
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

// ---------------------------------------------------------------------------------------------
// Record of a run

class Record {
 public:
  void Open(const std::string& path) { this->file.open(path, std::ios::trunc); }
  void Line(const std::string& text) {
    std::lock_guard lock(this->mutex);
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%8.3f ", static_cast<double>(NowMs()) / 1000);
    this->file << stamp << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
};

inline Record record;

// ---------------------------------------------------------------------------------------------
// Sockets

inline int Listen(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int FreePort() {
  const int fd = Listen(0);
  const int port = PortOf(fd);
  ::close(fd);
  return port;
}

inline int Connect(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t count = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    done += static_cast<size_t>(count);
  }
  return true;
}

// Reads lines that end with CR LF, and byte counts.
class Reader {
 public:
  explicit Reader(int fd) : fd(fd) {}

  enum class Result { kLine, kClosed, kTimeout };

  Result Line(std::string* line, int64_t limit_ms = -1) {
    const int64_t deadline = NowMs() + limit_ms;
    for (;;) {
      const size_t end = this->buffer.find("\r\n");
      if (end != std::string::npos) {
        *line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return Result::kLine;
      }
      const Result result = this->Fill(limit_ms < 0 ? -1 : deadline - NowMs(), limit_ms < 0);
      if (result != Result::kLine) {
        return result;
      }
    }
  }

  bool Bytes(size_t size, std::string* bytes) {
    while (this->buffer.size() < size) {
      if (this->Fill(-1, true) != Result::kLine) {
        return false;
      }
    }
    *bytes = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return true;
  }

 private:
  Result Fill(int64_t left, bool unlimited) {
    if (!unlimited) {
      pollfd entry{this->fd, POLLIN, 0};
      if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
        return Result::kTimeout;
      }
    }
    char chunk[16384];
    const ssize_t count = ::recv(this->fd, chunk, sizeof(chunk), 0);
    if (count <= 0) {
      return Result::kClosed;
    }
    this->buffer.append(chunk, static_cast<size_t>(count));
    return Result::kLine;
  }

  int fd;
  std::string buffer;
};

// ---------------------------------------------------------------------------------------------
// HTTP server, one thread a connection

struct HttpAnswer {
  int status = 200;
  std::string body;
};

class HttpListener {
 public:
  using Handler = std::function<HttpAnswer(const std::string& method,
                                           const std::string& target,
                                           const std::map<std::string, std::string>& headers,
                                           const std::string& body)>;

  explicit HttpListener(Handler handler) : handler(std::move(handler)), fd(Listen(0)) {
    this->port = PortOf(this->fd);
    std::thread([this] {
      for (;;) {
        const int connection = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
          return;
        }
        std::thread([this, connection] { this->Serve(connection); }).detach();
      }
    }).detach();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

 private:
  void Serve(int connection) {
    const int on = 1;
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    Reader reader(connection);
    std::string line;
    while (reader.Line(&line) == Reader::Result::kLine) {
      std::istringstream words(line);
      std::string method;
      std::string target;
      words >> method >> target;
      std::map<std::string, std::string> headers;
      while (reader.Line(&line) == Reader::Result::kLine && !line.empty()) {
        const size_t colon = line.find(':');
        std::string name = line.substr(0, colon);
        for (char& letter : name) {
          letter = static_cast<char>(std::tolower(letter));
        }
        const size_t value = line.find_first_not_of(' ', colon + 1);
        headers[name] = value == std::string::npos ? "" : line.substr(value);
      }
      std::string body;
      const auto length = headers.find("content-length");
      if (length != headers.end() && !reader.Bytes(std::stoul(length->second), &body)) {
        break;
      }
      const HttpAnswer answer = this->handler(method, target, headers, body);
      if (!SendAll(connection, "HTTP/1.1 " + std::to_string(answer.status) +
                                   " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                   std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body)) {
        break;
      }
    }
    ::close(connection);
  }

  Handler handler;
  int fd;
  int port = 0;
};

// ---------------------------------------------------------------------------------------------
// The platform's store

class Store {
 public:
  Store()
      : http([this](const std::string& method,
                    const std::string& target,
                    const std::map<std::string, std::string>&,
                    const std::string& body) { return this->Handle(method, target, body); }) {}

  std::string address() const { return this->http.address(); }

  /// Writes an object as the operator or a server does.
  void Write(const std::string& kind, const std::string& name, const Json& spec) {
    std::lock_guard lock(this->mutex);
    this->Change(kind, name, spec);
  }

  void Remove(const std::string& kind, const std::string& name) {
    std::lock_guard lock(this->mutex);
    this->Delete(kind, name);
  }

  Json Spec(const std::string& kind, const std::string& name) {
    std::lock_guard lock(this->mutex);
    const auto found = this->objects[kind].find(name);
    return found == this->objects[kind].end() ? Json() : found->second.at("spec");
  }

 private:
  struct Event {
    uint64_t revision;
    std::string kind;
    Json body;
  };

  const Json& Change(const std::string& kind, const std::string& name, const Json& spec) {
    Json& object = this->objects[kind][name];
    if (!object.is_null() && object.at("spec") == spec) {
      return object;
    }
    ++this->revision;
    const uint64_t created =
        object.is_null() ? this->revision : object.at("meta").at("createRevision").get<uint64_t>();
    object = {{"meta",
               {{"name", name},
                {"rev", this->revision},
                {"createRevision", created},
                {"finalizers", Json::array()},
                {"deleting", false}}},
              {"spec", spec},
              {"status", nullptr}};
    this->events.push_back({this->revision, kind, {{"object", object}, {"deleted", false}}});
    this->changed.notify_all();
    return object;
  }

  void Delete(const std::string& kind, const std::string& name) {
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end()) {
      return;
    }
    ++this->revision;
    Json object = found->second;
    object["meta"]["rev"] = this->revision;
    this->objects[kind].erase(found);
    this->events.push_back({this->revision, kind, {{"object", object}, {"deleted", true}}});
    this->changed.notify_all();
  }

  HttpAnswer Handle(const std::string& method, const std::string& target, const std::string& body) {
    const size_t mark = target.find('?');
    std::string path = target.substr(0, mark);
    std::map<std::string, std::string> query;
    if (mark != std::string::npos) {
      std::istringstream parts(target.substr(mark + 1));
      for (std::string part; std::getline(parts, part, '&');) {
        const size_t equals = part.find('=');
        query[part.substr(0, equals)] = part.substr(equals + 1);
      }
    }
    const std::string prefix = "/v1/objects/";
    if (path.rfind(prefix, 0) != 0) {
      return {404, "{}"};
    }
    path = path.substr(prefix.size());
    const size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    std::unique_lock lock(this->mutex);
    if (method == "GET" && query.contains("watch")) {
      return this->Watch(&lock, kind, std::stoull(query["watch"]), std::stoll(query["waitMs"]));
    }
    auto& named = this->objects[kind];
    if (method == "GET" && name.empty()) {
      Json items = Json::array();
      for (const auto& [key, object] : named) {
        if (!query.contains("after") || key > query["after"]) {
          items.push_back(object);
        }
      }
      return {200,
              Json{{"items", items}, {"hasMore", false}, {"currentRev", this->revision}}.dump()};
    }
    if (method == "GET") {
      const auto found = named.find(name);
      return found == named.end() ? HttpAnswer{404, "{}"} : HttpAnswer{200, found->second.dump()};
    }
    if (method == "DELETE") {
      this->Delete(kind, name);
      return {200, "{}"};
    }
    const Json request = Json::parse(body);
    if (method == "POST") {
      const std::string created = request.at("meta").at("name");
      if (named.contains(created)) {
        return {409, named[created].dump()};
      }
      return {201, this->Change(kind, created, request.at("spec")).dump()};
    }
    if (method == "PUT") {
      const auto found = named.find(name);
      if (found == named.end()) {
        return {404, "{}"};
      }
      const Json& meta = request.at("meta");
      if (meta.contains("rev") && meta.at("rev") != found->second.at("meta").at("rev")) {
        return {409, found->second.dump()};
      }
      return {200, this->Change(kind, name, request.at("spec")).dump()};
    }
    return {404, "{}"};
  }

  HttpAnswer Watch(std::unique_lock<std::mutex>* lock,
                   const std::string& kind,
                   uint64_t since,
                   int64_t wait_ms) {
    const auto deadline = Clock::now() + milliseconds(wait_ms);
    Json found = Json::array();
    for (;;) {
      for (const Event& event : this->events) {
        if (event.revision > since && event.kind == kind) {
          found.push_back(event.body);
        }
      }
      if (!found.empty() || this->changed.wait_until(*lock, deadline) == std::cv_status::timeout) {
        return {200, Json{{"events", found}, {"currentRev", this->revision}}.dump()};
      }
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  uint64_t revision = 10;
  std::map<std::string, std::map<std::string, Json>> objects;
  std::vector<Event> events;
  HttpListener http;
};

// ---------------------------------------------------------------------------------------------
// Database servers of one service

struct Entry {
  uint64_t term = 0;
  uint64_t number = 0;
  std::string id;  // Id of the statement that committed the entry.
};

class Service;

class Server {
 public:
  Server(Service* service, std::string id, std::string zone)
      : service(service), id(std::move(id)), zone(std::move(zone)), port(FreePort()) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

  Service* service;
  const std::string id;
  const std::string zone;
  const int port;
  // The fields below are guarded by the service's mutex.
  bool running = false;
  bool draining = false;
  int64_t stopped_ms = 0;
  int64_t born = 0;
  uint64_t sequence = 0;
  uint64_t term = 1;
  uint64_t pause_term = 0;
  int receive_delay_ms = 0;  // Time that a commit takes from the primary to this replica.
  std::vector<Entry> log;
  int listener = -1;
  std::set<int> connections;
};

struct Promotion {
  int64_t at_ms = 0;
  std::string server;
  uint64_t token = 0;
  std::vector<std::string> log;  // Ids of the entries in the log of the promoted server.
};

/// A database: one primary, its replicas, and the promotion call of the platform.
class Service {
 public:
  Service(std::string name, Store* store, int replica_count, int work_ms)
      : name(std::move(name)), store(store), work_ms(work_ms) {
    const char* zones[] = {"zone-a", "zone-b", "zone-c"};
    for (int number = 0; number <= replica_count; ++number) {
      this->servers.push_back(
          std::make_unique<Server>(this, "i-server" + std::to_string(number), zones[number % 3]));
    }
    this->primary = this->servers.front()->id;
    for (auto& server : this->servers) {
      this->Start(server.get(), true);
    }
    std::thread([this] { this->Heartbeat(); }).detach();
  }

  /// Starts a server. Without `keep_log` it holds and knows nothing of before.
  void Start(Server* server, bool keep_log) {
    std::lock_guard lock(this->mutex);
    server->running = true;
    server->pause_term = 0;
    server->born = UnixMs();
    server->sequence = 0;
    if (!keep_log) {
      server->log.clear();
      server->term = 0;
      if (this->primary == server->id) {
        this->primary.clear();  // It no longer knows that it led.
      }
    }
    server->listener = Listen(server->port);
    const int listener = server->listener;
    std::thread([this, server, listener] { this->Accept(server, listener); }).detach();
    this->Replicate();
    this->Report(server);
    record.Line("server " + server->id + (keep_log ? " starts with " : " starts anew, with ") +
                std::to_string(server->log.size()) + " entries");
  }

  /// Starts a further server, as a replica.
  Server* Add(std::string id, std::string zone, int receive_delay_ms) {
    Server* server = nullptr;
    {
      std::lock_guard lock(this->mutex);
      this->servers.push_back(std::make_unique<Server>(this, std::move(id), std::move(zone)));
      server = this->servers.back().get();
      server->receive_delay_ms = receive_delay_ms;
    }
    this->Start(server, true);
    return server;
  }

  /// Returns the servers that run and do not drain; the primary is the first one.
  std::vector<Server*> RunningServers() {
    std::lock_guard lock(this->mutex);
    std::vector<Server*> running;
    for (const auto& server : this->servers) {
      if (server->running && !server->draining) {
        running.insert(server->id == this->primary ? running.begin() : running.end(), server.get());
      }
    }
    return running;
  }

  /// Ends a server as a crash does: it refuses connections and its connections are reset.
  void Crash(Server* server) {
    std::lock_guard lock(this->mutex);
    server->running = false;
    server->stopped_ms = NowMs();
    ::shutdown(server->listener, SHUT_RDWR);
    for (const int connection : server->connections) {
      ::shutdown(connection, SHUT_RDWR);
    }
    this->changed.notify_all();
    record.Line("server " + server->id + " crashes with " + std::to_string(server->log.size()) +
                " entries");
  }

  /// Reports that a server is about to stop.
  void Drain(Server* server) {
    std::lock_guard lock(this->mutex);
    server->draining = true;
    this->Report(server);
    record.Line("the store accepts that server " + server->id + " is draining");
  }

  /// Handles POST /promote.
  HttpAnswer Promote(const std::string& id, uint64_t token) {
    Server* server = this->Find(id);
    {
      std::lock_guard lock(this->mutex);
      if (server == nullptr || !server->running || token < this->newest_token) {
        return {409, "{}"};
      }
      this->newest_token = token;
      if (this->primary == id) {
        return {200, "{}"};
      }
      record.Line("promotion of " + id + " accepted, token " + std::to_string(token));
    }
    std::thread([this, server, token] {
      SleepMs(1000);
      std::lock_guard lock(this->mutex);
      if (!server->running || this->primary == server->id || token < this->newest_token) {
        return;
      }
      uint64_t newest = 0;
      for (const auto& other : this->servers) {
        newest = std::max(newest, other->term);
      }
      server->term = newest + 1;
      this->primary = server->id;
      Promotion promotion{NowMs(), server->id, token, {}};
      for (const Entry& entry : server->log) {
        promotion.log.push_back(entry.id);
      }
      this->promotions.push_back(promotion);
      record.Line("server " + server->id + " leads term " + std::to_string(server->term) +
                  " with " + std::to_string(server->log.size()) + " entries");
      for (const auto& other : this->servers) {
        other->pause_term = 0;
      }
      this->Replicate();
      for (const auto& other : this->servers) {
        if (other->running) {
          this->Report(other.get());
        }
      }
      this->changed.notify_all();
    }).detach();
    return {200, "{}"};
  }

  Server* Find(const std::string& id) {
    for (const auto& server : this->servers) {
      if (server->id == id) {
        return server.get();
      }
    }
    return nullptr;
  }

  const std::string name;
  std::vector<std::unique_ptr<Server>> servers;
  std::mutex mutex;
  std::condition_variable changed;
  std::string primary;
  std::vector<Promotion> promotions;
  int link_us = 0;  // One-way delay between daemons and servers.
  // Called without the mutex when a read, write or commit reaches a server.
  std::function<void(const Server&, const std::string& id, const std::string& text)> on_statement;

 private:
  struct Session {
    char state = 'I';
    bool writable = false;
    uint64_t term = 0;
    std::vector<std::string> writes;
    std::map<std::string, std::string> prepared;  // "READ" or "WRITE" by name.
  };

  // Replicas that run and are not paused receive the log of the primary.
  void Replicate() {
    Server* leader = this->Find(this->primary);
    if (leader == nullptr || !leader->running) {
      return;
    }
    for (const auto& server : this->servers) {
      if (server->running && server->pause_term == 0 && server.get() != leader) {
        if (server->receive_delay_ms == 0) {
          this->Receive(server.get(), leader, leader->log.size());
        } else {
          this->ReceiveLater(server.get(), leader->id, leader->term, leader->log.size());
        }
      }
    }
    this->changed.notify_all();
  }

  // Gives a replica the first `size` entries of the leader's log.
  void Receive(Server* replica, Server* leader, size_t size) {
    if (replica->term != leader->term || replica->log.size() < size) {
      replica->log.assign(leader->log.begin(), leader->log.begin() + static_cast<ptrdiff_t>(size));
    }
    replica->term = leader->term;
    this->changed.notify_all();
  }

  // What is under way when the replica is paused, or when the leader changes, does not arrive.
  void ReceiveLater(Server* replica, std::string leader, uint64_t term, size_t size) {
    std::thread([this, replica, leader = std::move(leader), term, size] {
      SleepMs(replica->receive_delay_ms);
      std::lock_guard lock(this->mutex);
      Server* current = this->Find(this->primary);
      if (current != nullptr && current->id == leader && current->term == term &&
          current->running && replica->running && replica->pause_term == 0) {
        this->Receive(replica, current, size);
      }
    }).detach();
  }

  void Report(Server* server) {
    ++server->sequence;
    this->store->Write("servers", server->id,
                       {{"service", this->name},
                        {"address", server->address()},
                        {"zone", server->zone},
                        {"version", "v1"},
                        {"slots", 16},
                        {"state", server->draining ? "draining" : "ready"},
                        {"coldLeftMs", 0},
                        {"dbRole", this->primary == server->id ? "primary" : "replica"},
                        {"born", server->born},
                        {"seq", server->sequence}});
  }

  void Heartbeat() {
    for (;;) {
      SleepMs(1200);
      std::lock_guard lock(this->mutex);
      for (const auto& server : this->servers) {
        if (server->running) {
          this->Report(server.get());
        } else if (NowMs() - server->stopped_ms > 3600) {
          this->store->Remove("servers", server->id);
        }
      }
    }
  }

  void Accept(Server* server, int listener) {
    for (;;) {
      const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) {
        ::close(listener);
        return;
      }
      {
        std::lock_guard lock(this->mutex);
        if (!server->running || server->listener != listener) {
          ::close(connection);
          continue;
        }
        server->connections.insert(connection);
      }
      std::thread([this, server, connection] {
        this->Serve(server, connection);
        {
          std::lock_guard lock(this->mutex);
          server->connections.erase(connection);
        }
        ::close(connection);
      }).detach();
    }
  }

  static std::string Position(const Server& server) {
    return server.log.empty() ? "0.0"
                              : std::to_string(server.log.back().term) + "." +
                                    std::to_string(server.log.back().number);
  }

  void Serve(Server* server, int connection) {
    const int on = 1;
    ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    Reader reader(connection);
    Session session;
    std::string line;
    int64_t born = 0;
    while (reader.Line(&line) == Reader::Result::kLine) {
      std::istringstream words(line);
      std::string word;
      std::string id;
      words >> word >> id;
      if (word == "OPEN") {
        std::string who;
        std::string expected;
        words >> who >> expected;
        if (id != this->name || (!expected.empty() && expected != server->id)) {
          SendAll(connection, "ERROR WRONGNODE " + server->id + "\r\n");
          return;
        }
        std::lock_guard lock(this->mutex);
        born = server->born;
        SendAll(connection, "READY I " + Position(*server) + "\r\n");
        continue;
      }
      if (word != "QUERY") {
        return;
      }
      const std::string text = line.substr(6 + id.size() + 1);
      std::this_thread::sleep_for(std::chrono::microseconds(this->link_us));
      std::string answer = this->Run(server, &session, id, text);
      std::unique_lock lock(this->mutex);
      if (!server->running || server->born != born) {
        return;
      }
      answer += std::string("READY ") + session.state + " " + Position(*server) + "\r\n";
      lock.unlock();
      std::this_thread::sleep_for(std::chrono::microseconds(this->link_us));
      if (!SendAll(connection, answer)) {
        return;
      }
    }
  }

  std::string Run(Server* server,
                  Session* session,
                  const std::string& id,
                  const std::string& full_text) {
    std::istringstream words(full_text);
    std::string word;
    words >> word;
    std::string demanded;
    if (word == "WAITPOS") {
      words >> demanded >> word;
    }
    std::string name;
    words >> name;
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "STEPDOWN") {
      return this->Order(server, word, name);
    }
    if (word == "SET" || word == "DEALLOC") {
      return "COMPLETE -\r\n";
    }
    if (word == "RESET") {
      session->prepared.clear();
      return "COMPLETE -\r\n";
    }
    if (word == "PREPARE") {
      std::string kind;
      words >> kind;
      session->prepared[name] = kind;
      return "COMPLETE -\r\n";
    }
    std::unique_lock lock(this->mutex);
    const bool leads = this->primary == server->id;
    if (!demanded.empty() && !Holds(*server, demanded)) {
      return "ERROR LAGGING " + server->id + "\r\n";
    }
    if (word == "BEGIN") {
      if (name != "READ" && !leads) {
        return "ERROR READONLY " + server->id + "\r\n";
      }
      session->state = 'T';
      session->writable = name != "READ";
      session->term = server->term;
      session->writes.clear();
      return "COMPLETE -\r\n";
    }
    if (word == "ROLLBACK") {
      session->state = 'I';
      session->writes.clear();
      return "COMPLETE -\r\n";
    }
    bool writes = word == "WRITE";
    if (word == "EXECUTE") {
      if (!session->prepared.contains(name)) {
        return "ERROR UNKSTMT " + name + "\r\n";
      }
      writes = session->prepared[name] == "WRITE";
    }
    if (session->state == 'E') {
      return "ERROR MALFORMED transaction\r\n";
    }
    const bool commit = word == "COMMIT";
    const bool empty_commit = commit && session->writes.empty();
    const bool lost_lead =
        session->state == 'T' && session->writable && (!leads || session->term != server->term);
    if ((writes && !leads) || (lost_lead && !empty_commit)) {
      session->state = session->state == 'T' ? 'E' : 'I';
      return "ERROR READONLY " + server->id + "\r\n";
    }
    lock.unlock();
    record.Line("server " + server->id + " runs " + id + " " + full_text);
    if (this->on_statement) {
      this->on_statement(*server, id, full_text);
    }
    SleepMs(this->work_ms);
    lock.lock();
    if (!server->running) {
      return "";
    }
    if (writes && session->state == 'T') {
      session->writes.push_back(id);
    }
    const bool commits = (writes && session->state == 'I') || (commit && !empty_commit);
    if (commit) {
      session->state = 'I';
    }
    if (commits) {
      if (this->primary != server->id) {
        return "ERROR READONLY " + server->id + "\r\n";
      }
      const uint64_t number = server->log.empty() ? 1 : server->log.back().number + 1;
      server->log.push_back({server->term, number, id});
      this->Replicate();
      // The commit is acknowledged once one replica has received it.
      const bool received = this->changed.wait_for(lock, std::chrono::seconds(30), [&] {
        return !server->running || this->primary != server->id || this->IsReplicated(number, id);
      });
      if (!received || !server->running || !this->IsReplicated(number, id)) {
        return "ERROR TIMEOUT " + server->id + "\r\n";
      }
      session->writes.clear();
    }
    return std::string(commit || writes ? "" : "ROW data\r\n") + "COMPLETE " + server->id + "." +
           id + "\r\n";
  }

  bool IsReplicated(uint64_t number, const std::string& id) const {
    for (const auto& server : this->servers) {
      if (server->id != this->primary && server->running && server->log.size() >= number &&
          server->log[number - 1].id == id) {
        return true;
      }
    }
    return false;
  }

  static bool Holds(const Server& server, const std::string& position) {
    const size_t dot = position.find('.');
    const uint64_t term = std::stoull(position.substr(0, dot));
    const uint64_t number = std::stoull(position.substr(dot + 1));
    if (server.log.empty()) {
      return term == 0 && number == 0;
    }
    const Entry& last = server.log.back();
    return std::make_pair(last.term, last.number) >= std::make_pair(term, number);
  }

  std::string Order(Server* server, const std::string& order, const std::string& term_text) {
    std::lock_guard lock(this->mutex);
    const uint64_t term = term_text.empty() ? 0 : std::stoull(term_text);
    if (order == "PAUSE" && term > server->term && this->primary != server->id) {
      server->pause_term = term;
    } else if (order == "RESUME") {
      server->pause_term = 0;
      this->Replicate();
    } else if (order == "STEPDOWN" && this->primary == server->id && term > server->term) {
      this->primary.clear();
      this->Report(server);
    }
    if (order != "STATUS") {
      record.Line("server " + server->id + " gets the order " + order + " " + term_text);
    }
    return std::string("ROW ") + (this->primary == server->id ? "primary " : "replica ") +
           std::to_string(server->term) + " " + Position(*server) + " " +
           std::to_string(server->pause_term) + " 0 0 " +
           std::to_string(server->connections.size()) + "\r\nCOMPLETE -\r\n";
  }

  Store* store;
  int work_ms;
  uint64_t newest_token = 0;
};

/// The platform's promotion call.
class Cloud {
 public:
  explicit Cloud(Service* service)
      : http([this, service](const std::string&,
                             const std::string& target,
                             const std::map<std::string, std::string>& headers,
                             const std::string& body) -> HttpAnswer {
          if (target != "/promote") {
            return {404, "{}"};
          }
          const auto token = headers.find("x-fence-token");
          const auto holder = headers.find("x-duty-holder");
          if (this->down) {
            record.Line("the platform answers 503 to a promotion call");
            return {503, "{}"};
          }
          const Json request = Json::parse(body);
          const HttpAnswer answer = service->Promote(
              request.at("id"), token == headers.end() ? 0 : std::stoull(token->second));
          record.Line("promotion call of " + (holder == headers.end() ? "?" : holder->second) +
                      " for " + request.at("id").get<std::string>() + ": " +
                      std::to_string(answer.status));
          return answer;
        }) {}

  std::string address() const { return this->http.address(); }

  std::atomic<bool> down{false};

 private:
  HttpListener http;
};

// ---------------------------------------------------------------------------------------------
// Daemons

extern "C" char** environ;

/// A process of the session role, started with the command of the deploy file.
class Daemon {
 public:
  Daemon(std::string name,
         std::string zone,
         const std::string& folder,
         const std::string& store,
         const std::string& cloud)
      : name(std::move(name)),
        settings(folder + "/" + this->name + ".conf"),
        output(folder + "/" + this->name + ".log"),
        pids(folder + "/pids"),
        front_port(FreePort()),
        ready_port(FreePort()) {
    int first = FreePort();
    int last = FreePort();
    if (first > last) {
      std::swap(first, last);
    }
    std::ofstream file(this->settings);
    file << "node=" << this->name << "\nrole=session\nclass=front\nserves=front\nip=127.0.0.1\n"
         << "zone=" << zone << "\nregion=r\nzones.zone-a=r\nzones.zone-b=r\nzones.zone-c=r\n"
         << "listen.front=127.0.0.1:" << this->front_port << "\n"
         << "listen.readyAddr=127.0.0.1:" << this->ready_port << "\n"
         << "portRange=" << first << "," << last << "\nbootstrap=true\nlossCounts=false\n"
         << "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4200\n"
         << "limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=virtual_ip\n"
         << "heartbeatMs=1200\ncontracts=base,drain,config,cost,recover,sql,platform\n"
         << "faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n"
         << "bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=4000\nbounds.ackMs=5000\n"
         << "bounds.catchUpS=4\nbounds.drainMs=7000\nbounds.graceS=6\nbounds.lossSlackMs=200\n"
         << "bounds.configApplyMs=3000\nbounds.downgradeMs=250\nbounds.skewMaxMs=12000\n"
         << "bounds.recoverS=12\nbounds.requireFence=true\nbounds.thawMs=300\n"
         << "platform.address=" << store << "\nplatform.form=objects\nplatform.writesPerS=400\n"
         << "platform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\n"
         << "platform.ttlMinMs=1000\ncloudApi.address=" << cloud << "\ncloudApi.ratePerS=50.0\n"
         << "cloudApi.duties=promotion\ncloudApi.dutyPerS=50.0\n";
  }

  bool Start() {
    // The command of the deploy file, from the root of the repository.
    std::string program = "target/poplarmoor-sessiond";
    char* arguments[] = {program.data(), nullptr};
    const std::string variable = "POPLARMOOR_SETTINGS=";
    std::vector<std::string> values;
    for (char** entry = environ; *entry != nullptr; ++entry) {
      if (std::string(*entry).rfind(variable, 0) != 0) {
        values.emplace_back(*entry);
      }
    }
    values.push_back(variable + this->settings);
    std::vector<char*> environment;
    for (std::string& value : values) {
      environment.push_back(value.data());
    }
    environment.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, this->output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const int error = ::posix_spawn(&this->process, program.c_str(), &actions, nullptr, arguments,
                                    environment.data());
    posix_spawn_file_actions_destroy(&actions);
    record.Line("daemon " + this->name + (error == 0 ? " started" : " could not be started"));
    // run.sh kills the processes in this list if this program itself does not end in time.
    std::ofstream(this->pids, std::ios::app) << this->process << "\n";
    return error == 0;
  }

  bool AwaitReady(int64_t limit_ms) {
    const int64_t deadline = NowMs() + limit_ms;
    while (NowMs() < deadline) {
      const int fd = Connect(this->ready_port);
      if (fd >= 0) {
        SendAll(fd, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        Reader reader(fd);
        std::string line;
        const bool ready = reader.Line(&line, 1000) == Reader::Result::kLine &&
                           line.find(" 200") != std::string::npos;
        ::close(fd);
        if (ready) {
          return true;
        }
      }
      SleepMs(50);
    }
    return false;
  }

  void Signal(int number) {
    if (this->process > 0) {
      ::kill(this->process, number);
    }
  }

  /// Waits for the end of the process; kills it after the limit.
  void End(int64_t limit_ms) {
    const int64_t deadline = NowMs() + limit_ms;
    while (this->process > 0) {
      int status = 0;
      if (::waitpid(this->process, &status, WNOHANG) == this->process) {
        record.Line("daemon " + this->name + " ended, status " + std::to_string(status));
        this->process = -1;
        return;
      }
      if (NowMs() > deadline) {
        ::kill(this->process, SIGCONT);
        ::kill(this->process, SIGKILL);
      }
      SleepMs(5);
    }
  }

  const std::string name;
  const std::string settings;
  const std::string output;
  const std::string pids;
  const int front_port;
  const int ready_port;
  pid_t process = -1;
};

// ---------------------------------------------------------------------------------------------
// Clients

struct Answer {
  enum class End { kComplete, kClosed, kTimeout };
  End end = End::kClosed;
  std::string error;      // Code of the error; empty on success.
  std::string signature;  // Signature of a success.
  char state = '?';
};

class Client {
 public:
  ~Client() { this->Close(); }

  bool Open(int port, const std::string& database) {
    this->fd = Connect(port);
    if (this->fd < 0) {
      return false;
    }
    this->reader = std::make_unique<Reader>(this->fd);
    std::string line;
    if (!SendAll(this->fd, "OPEN " + database + " caller\r\n") ||
        this->reader->Line(&line, 2000) != Reader::Result::kLine || line.rfind("READY", 0) != 0) {
      this->Close();
      return false;
    }
    return true;
  }

  Answer Query(const std::string& id, const std::string& text, int64_t limit_ms) {
    Answer answer;
    if (!SendAll(this->fd, "QUERY " + id + " " + text + "\r\n")) {
      return answer;
    }
    const int64_t deadline = NowMs() + limit_ms;
    std::string line;
    for (;;) {
      const auto result = this->reader->Line(&line, std::max<int64_t>(deadline - NowMs(), 1));
      if (result != Reader::Result::kLine) {
        answer.end =
            result == Reader::Result::kClosed ? Answer::End::kClosed : Answer::End::kTimeout;
        return answer;
      }
      std::istringstream words(line);
      std::string word;
      std::string first;
      words >> word >> first;
      if (word == "ERROR") {
        answer.error = first;
      } else if (word == "COMPLETE") {
        answer.signature = first;
      } else if (word == "READY") {
        answer.state = first.empty() ? '?' : first.front();
        answer.end = Answer::End::kComplete;
        return answer;
      }
    }
  }

  bool is_open() const { return this->fd >= 0; }

  void Close() {
    if (this->fd >= 0) {
      ::close(this->fd);
      this->fd = -1;
    }
  }

 private:
  int fd = -1;
  std::unique_ptr<Reader> reader;
};

inline std::string Describe(const Answer& answer) {
  if (answer.end != Answer::End::kComplete) {
    return answer.end == Answer::End::kClosed ? "connection ended without an answer" : "no answer";
  }
  return answer.error.empty() ? "success " + answer.signature : "error " + answer.error;
}

inline Json Route(const std::string& host,
                  const std::string& service,
                  const std::string& kind,
                  int timeout_ms,
                  int objective_ms,
                  int priority) {
  Json route{{"name", "r-" + host},     {"host", host},
             {"pathPrefix", "/"},       {"kind", kind},
             {"timeoutMs", timeout_ms}, {"sloMs", objective_ms},
             {"priority", priority},    {"service", service},
             {"maxAttempts", 2}};
  if (kind != "primary") {
    route["maxStalenessMs"] = 1500;
  }
  return route;
}

inline Json Config(uint64_t version,
                   const Json& routes,
                   const std::string& service,
                   int connections) {
  return {{"version", version},
          {"routes", routes},
          {"services", Json::array({{{"name", service},
                                     {"healthPath", "/health"},
                                     {"maxConns", connections},
                                     {"protocol", "h1"},
                                     {"tls", false},
                                     {"syncReplicas", 1}}})},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 262144},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000},
            {"txIdleMs", 3000}}}};
}

inline bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/// Folder for settings and logs of the daemons; removed by run.sh.
inline std::string WorkFolder() {
  const char* folder = std::getenv("REVIEW_TEMP");
  return folder == nullptr ? "/tmp" : folder;
}

}  // namespace review
