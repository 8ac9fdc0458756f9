// Stand-ins of the users' platform for the cases of the second review: the metadata store with the
// promotion call, database servers, clients, and the platform's supervision of a daemon's process.
// Everything listens on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
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
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace standin {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline Clock::time_point& Started() {
  static Clock::time_point started = Clock::now();
  return started;
}

inline long NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - Started()).count();
}

inline void SleepMs(long ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Writes record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  void Add(const std::string& text) {
    std::lock_guard lock(this->mutex);
    this->file << NowMs() << " ms  " << text << std::endl;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
};

// Long texts are shortened in the record.
inline std::string Short(const std::string& text) {
  return text.size() <= 120 ? text
                            : text.substr(0, 80) + "... (" + std::to_string(text.size()) + " bytes)";
}

// -----------------------------------------------------------------------------
// Sockets

inline sockaddr_in ToAddress(const std::string& text) {
  sockaddr_in address{};
  const size_t colon = text.find(':');
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const std::string& ip, uint16_t port, std::string* address) {
  const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in wanted = ToAddress(ip + ":" + std::to_string(port));
  if (bind(socket_fd, reinterpret_cast<sockaddr*>(&wanted), sizeof(wanted)) != 0 ||
      listen(socket_fd, 512) != 0) {
    throw std::runtime_error("cannot listen on " + ip);
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(socket_fd, reinterpret_cast<sockaddr*>(&bound), &size);
  *address = ip + ":" + std::to_string(ntohs(bound.sin_port));
  return socket_fd;
}

// Finds `count` ascending ports that are free on all the given loopback addresses.
inline std::vector<uint16_t> FreePorts(const std::vector<std::string>& ips, size_t count) {
  std::vector<uint16_t> ports;
  for (uint32_t port = 20000 + static_cast<uint32_t>(getpid() * 37 % 20000);
       ports.size() < count && port < 60000; ++port) {
    bool is_free = true;
    for (const std::string& ip : ips) {
      try {
        std::string address;
        close(Listen(ip, static_cast<uint16_t>(port), &address));
      } catch (const std::exception&) {
        is_free = false;
      }
    }
    if (is_free) {
      ports.push_back(static_cast<uint16_t>(port));
    }
  }
  return ports;
}

// A connection with buffered reading and a time limit for each read.
class Connection {
 public:
  explicit Connection(int socket_fd) : socket_fd(socket_fd) {
    const int on = 1;
    setsockopt(socket_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { close(this->socket_fd); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(const std::string& text) {
    size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t count =
          send(this->socket_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  // Returns false at the end of the connection or after the time limit.
  bool ReadLine(std::string* line, int limit_ms) {
    size_t scanned = 0;
    for (;;) {
      const size_t end = this->buffer.find("\r\n", scanned);
      if (end != std::string::npos) {
        *line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return true;
      }
      scanned = this->buffer.empty() ? 0 : this->buffer.size() - 1;
      if (!this->Fill(limit_ms)) {
        return false;
      }
    }
  }

  bool ReadBytes(size_t count, std::string* bytes, int limit_ms) {
    while (this->buffer.size() < count) {
      if (!this->Fill(limit_ms)) {
        return false;
      }
    }
    *bytes = this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return true;
  }

  void Shut() { shutdown(this->socket_fd, SHUT_RDWR); }

 private:
  bool Fill(int limit_ms) {
    pollfd entry{this->socket_fd, POLLIN, 0};
    if (poll(&entry, 1, limit_ms) <= 0) {
      return false;
    }
    char chunk[65536];
    const ssize_t count = recv(this->socket_fd, chunk, sizeof(chunk), 0);
    if (count <= 0) {
      return false;
    }
    this->buffer.append(chunk, static_cast<size_t>(count));
    return true;
  }

  int socket_fd;
  std::string buffer;
};

// Accepts connections and serves each on a thread of its own, until Stop().
class Listener {
 public:
  using Serve = std::function<void(std::shared_ptr<Connection>)>;

  Listener(const std::string& ip, uint16_t port, Serve serve) : serve(std::move(serve)) {
    this->socket_fd = Listen(ip, port, &this->bound);
    this->thread = std::thread([this] { this->Run(); });
  }
  ~Listener() { this->Stop(); }

  const std::string& address() const { return this->bound; }

  void Stop() {
    if (this->stopping.exchange(true)) {
      return;
    }
    shutdown(this->socket_fd, SHUT_RDWR);
    this->thread.join();
    close(this->socket_fd);
    {
      std::lock_guard lock(this->mutex);
      for (const auto& weak : this->connections) {
        if (const auto connection = weak.lock()) {
          connection->Shut();
        }
      }
    }
    for (std::thread& worker : this->workers) {
      worker.join();
    }
  }

 private:
  void Run() {
    while (!this->stopping) {
      const int accepted = accept4(this->socket_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        if (this->stopping) {
          return;
        }
        SleepMs(5);
        continue;
      }
      const auto connection = std::make_shared<Connection>(accepted);
      std::lock_guard lock(this->mutex);
      this->connections.push_back(connection);
      this->workers.emplace_back([this, connection] { this->serve(connection); });
    }
  }

  Serve serve;
  int socket_fd = -1;
  std::string bound;
  std::atomic<bool> stopping{false};
  std::thread thread;
  std::mutex mutex;
  std::vector<std::weak_ptr<Connection>> connections;
  std::vector<std::thread> workers;
};

// -----------------------------------------------------------------------------
// The platform's store

class Store {
 public:
  explicit Store(const std::string& ip)
      : listener(ip, 0, [this](std::shared_ptr<Connection> connection) {
          this->Serve(std::move(connection));
        }) {}
  ~Store() { this->Stop(); }

  const std::string& address() const { return this->listener.address(); }

  // Writes an object as another writer does, such as the operator or a server.
  void Write(const std::string& kind, const std::string& name, const Json& spec) {
    std::lock_guard lock(this->mutex);
    this->Change(kind, name, spec, false);
  }

  void Delete(const std::string& kind, const std::string& name) {
    std::lock_guard lock(this->mutex);
    this->Change(kind, name, Json(), true);
  }

  void Stop() {
    {
      std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->changed.notify_all();
    this->listener.Stop();
  }

 private:
  struct Object {
    Json meta;
    Json spec;
    Json status;
  };
  struct Event {
    uint64_t rev;
    std::string kind;
    Json object;
    bool deleted;
  };

  static Json ToJson(const Object& object) {
    return {{"meta", object.meta}, {"spec", object.spec}, {"status", object.status}};
  }

  void Change(const std::string& kind, const std::string& name, const Json& spec, bool deleted) {
    Object& object = this->objects[kind][name];
    if (!deleted && !object.meta.is_null() && object.spec == spec) {
      return;  // A change that changes nothing does not increase the revision.
    }
    ++this->revision;
    if (object.meta.is_null()) {
      object.meta = {{"name", name},
                     {"createRevision", this->revision},
                     {"finalizers", Json::array()},
                     {"deleting", false}};
    }
    object.meta["rev"] = this->revision;
    object.spec = spec;
    this->events.push_back({this->revision, kind, ToJson(object), deleted});
    if (deleted) {
      this->objects[kind].erase(name);
    }
    this->changed.notify_all();
  }

  void Serve(std::shared_ptr<Connection> connection) {
    std::string line;
    while (connection->ReadLine(&line, 60000)) {
      std::istringstream words(line);
      std::string method;
      std::string target;
      words >> method >> target;
      size_t length = 0;
      while (connection->ReadLine(&line, 10000) && !line.empty()) {
        std::string name = line.substr(0, line.find(':'));
        for (char& letter : name) {
          letter = static_cast<char>(tolower(letter));
        }
        if (name == "content-length") {
          length = std::stoul(line.substr(line.find(':') + 1));
        }
      }
      std::string body;
      if (!connection->ReadBytes(length, &body, 10000)) {
        return;
      }
      int status = 200;
      const std::string answer = this->Answer(method, target, body, &status);
      if (!connection->Send("HTTP/1.1 " + std::to_string(status) +
                            " -\r\nContent-Type: application/json\r\nContent-Length: " +
                            std::to_string(answer.size()) + "\r\n\r\n" + answer)) {
        return;
      }
    }
  }

  static std::string Parameter(const std::string& target, const std::string& name) {
    const size_t query = target.find('?');
    if (query == std::string::npos) {
      return {};
    }
    std::istringstream parts(target.substr(query + 1));
    for (std::string part; std::getline(parts, part, '&');) {
      if (part.rfind(name + "=", 0) == 0) {
        return part.substr(name.size() + 1);
      }
    }
    return {};
  }

  std::string Answer(const std::string& method,
                     const std::string& target,
                     const std::string& body,
                     int* status) {
    std::unique_lock lock(this->mutex);
    const std::string prefix = "/v1/objects/";
    std::string path = target.substr(0, target.find('?'));
    if (path.rfind(prefix, 0) != 0) {
      *status = 404;
      return "{}";
    }
    path = path.substr(prefix.size());
    const size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    std::string name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    const std::string watch = Parameter(target, "watch");
    if (method == "GET" && name.empty() && !watch.empty()) {
      return this->Watch(&lock, kind, std::stoull(watch), Parameter(target, "waitMs"));
    }
    if (method == "GET" && name.empty()) {
      Json items = Json::array();
      for (const auto& [object_name, object] : this->objects[kind]) {
        items.push_back(ToJson(object));
      }
      return Json{{"items", items}, {"hasMore", false}, {"currentRev", this->revision}}.dump();
    }
    Json sent = body.empty() ? Json::object() : Json::parse(body);
    if (method == "POST") {
      name = sent.at("meta").at("name");
    }
    const auto found = this->objects[kind].find(name);
    const bool exists = found != this->objects[kind].end();
    const uint64_t expected = sent.contains("meta") ? sent["meta"].value("rev", uint64_t{0}) : 0;
    if (method == "POST" && exists) {
      *status = 409;
      return ToJson(found->second).dump();
    }
    if (method != "POST" && !exists) {
      *status = 404;
      return "{}";
    }
    if (method == "GET") {
      return ToJson(found->second).dump();
    }
    if (method != "POST" && expected != 0 && found->second.meta["rev"] != expected) {
      *status = 409;
      return ToJson(found->second).dump();
    }
    if (method == "DELETE") {
      this->Change(kind, name, Json(), true);
      return "{}";
    }
    this->Change(kind, name, sent.value("spec", Json()), false);
    return ToJson(this->objects[kind][name]).dump();
  }

  std::string Watch(std::unique_lock<std::mutex>* lock,
                    const std::string& kind,
                    uint64_t since,
                    const std::string& wait) {
    const auto deadline =
        Clock::now() + std::chrono::milliseconds(wait.empty() ? 0 : std::stol(wait));
    for (;;) {
      Json found = Json::array();
      for (const Event& event : this->events) {
        if (event.rev > since && event.kind == kind) {
          found.push_back({{"deleted", event.deleted}, {"object", event.object}});
        }
      }
      if (!found.empty() || this->stopping || Clock::now() >= deadline) {
        return Json{{"events", found}, {"currentRev", this->revision}}.dump();
      }
      this->changed.wait_until(*lock, deadline);
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  uint64_t revision = 100;
  bool stopping = false;
  std::map<std::string, std::map<std::string, Object>> objects;
  std::vector<Event> events;
  Listener listener;
};

// -----------------------------------------------------------------------------
// Database servers

// A service of one primary and its replicas. Replicas have each commit at once; no promotion takes
// place in the cases that use this stand-in.
struct Service {
  std::mutex mutex;
  std::string name;
  std::string primary;
  uint64_t term = 3;
  uint64_t number = 1000;
  std::map<std::string, std::string> items;
  size_t max_connections = 23;
};

class Server {
 public:
  Server(const std::string& ip, std::string id, Service* service)
      : id(std::move(id)), service(service), listener(ip, 0, [this](auto connection) {
          this->Serve(std::move(connection));
        }) {}

  const std::string& address() const { return this->listener.address(); }

  Json Entry(const std::string& zone) const {
    return {{"service", this->service->name},
            {"address", this->address()},
            {"zone", zone},
            {"version", "v1"},
            {"slots", 3},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"dbRole", this->service->primary == this->id ? "primary" : "replica"},
            {"seq", 1}};
  }

  std::atomic<uint64_t> statements{0};  // Statements of clients that this server has run.
  // Called with the id of each prepared statement that is executed, and the hash of its shape.
  std::function<void(const std::string& statement, size_t shape)> on_execute;

 private:
  struct Session {
    std::map<std::string, std::string> values;
    // Kind and shape of each prepared statement. Of a long shape only the hash is kept, so that
    // this program stays small.
    std::map<std::string, std::pair<bool, size_t>> prepared;
    char state = 'I';
    bool writable = false;
    std::vector<std::pair<std::string, std::string>> writes;
  };

  std::string Position() const {
    return std::to_string(this->service->term) + "." + std::to_string(this->service->number);
  }

  void Serve(std::shared_ptr<Connection> connection) {
    std::string line;
    if (!connection->ReadLine(&line, 60000)) {
      return;
    }
    std::istringstream opening(line);
    std::string word;
    std::string name;
    std::string who;
    std::string expected;
    opening >> word >> name >> who >> expected;
    if (word != "OPEN" || name != this->service->name ||
        (!expected.empty() && expected != this->id)) {
      connection->Send("ERROR WRONGNODE " + this->id + "\r\n");
      return;
    }
    if (this->open.fetch_add(1) >= this->service->max_connections) {
      --this->open;
      connection->Send("ERROR CONNLIMIT " + this->id + "\r\n");
      return;
    }
    Session session;
    bool good = connection->Send("READY I " + this->LockedPosition() + "\r\n");
    while (good && connection->ReadLine(&line, 120000) && line != "CLOSE") {
      good = connection->Send(this->Answer(&session, line));
    }
    --this->open;
  }

  std::string LockedPosition() {
    std::lock_guard lock(this->service->mutex);
    return this->Position();
  }

  std::string Answer(Session* session, const std::string& line) {
    std::lock_guard lock(this->service->mutex);
    std::string text = line;
    const auto take = [&text] {
      const size_t blank = text.find(' ');
      std::string word = text.substr(0, blank);
      text = blank == std::string::npos ? std::string() : text.substr(blank + 1);
      return word;
    };
    std::string result;
    if (take() != "QUERY") {
      result = "ERROR MALFORMED -\r\n";
    } else {
      const std::string statement = take();
      result = this->Run(session, statement, &text, take);
    }
    return result + "READY " + session->state + " " + this->Position() + "\r\n";
  }

  template <typename Take>
  std::string Run(Session* session, const std::string& statement, std::string* text, Take take) {
    const bool leads = this->service->primary == this->id;
    const std::string done = "COMPLETE -\r\n";
    std::string verb = take();
    if (verb == "WAITPOS") {
      const std::string position = take();
      const size_t dot = position.find('.');
      const std::pair<uint64_t, uint64_t> wanted{std::stoull(position.substr(0, dot)),
                                                 std::stoull(position.substr(dot + 1))};
      if (wanted > std::pair(this->service->term, this->service->number)) {
        return "ERROR LAGGING -\r\n";
      }
      verb = take();
    }
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
      return std::string("ROW ") + (leads ? "primary " : "replica ") +
             std::to_string(this->service->term) + " " + this->Position() + " 0 0 0 " +
             std::to_string(this->open.load()) + "\r\n" + done;
    }
    if (session->state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") {
      return "ERROR MALFORMED -\r\n";
    }
    if (verb == "BEGIN") {
      if (*text != "READ" && !leads) {
        return "ERROR READONLY " + this->id + "\r\n";
      }
      session->state = 'T';
      session->writable = *text != "READ";
      session->writes.clear();
      return done;
    }
    if (verb == "ROLLBACK") {
      session->state = 'I';
      session->writes.clear();
      return done;
    }
    if (verb == "COMMIT") {
      if (session->state == 'I') {
        return "ERROR MALFORMED -\r\n";
      }
      for (const auto& [item, data] : session->writes) {
        this->service->items[item] = data;
      }
      this->service->number += session->writes.empty() ? 0 : 1;
      session->writes.clear();
      session->state = 'I';
      ++this->statements;
      return "COMPLETE sig." + this->id + "." + statement + "\r\n";
    }
    if (verb == "SET") {
      const std::string name = take();
      session->values[name] = *text;
      return done;
    }
    if (verb == "RESET") {
      session->values.clear();
      session->prepared.clear();
      return done;
    }
    if (verb == "PREPARE") {
      const std::string name = take();
      const bool writes = take() == "WRITE";
      session->prepared[name] = {writes, std::hash<std::string>()(*text)};
      return done;
    }
    if (verb == "DEALLOC") {
      session->prepared.erase(*text);
      return done;
    }
    bool writes = verb == "WRITE";
    size_t shape = 0;
    if (verb == "EXECUTE") {
      const auto prepared = session->prepared.find(take());
      if (prepared == session->prepared.end()) {
        return "ERROR UNKSTMT -\r\n";
      }
      writes = prepared->second.first;
      shape = prepared->second.second;
    } else if (verb != "READ" && verb != "WRITE") {
      return "ERROR MALFORMED -\r\n";
    }
    const std::string item = take();
    if (writes && !leads) {
      return "ERROR READONLY " + this->id + "\r\n";
    }
    ++this->statements;
    if (verb == "EXECUTE" && this->on_execute) {
      this->on_execute(statement, shape);
    }
    if (writes && session->state == 'T') {
      session->writes.emplace_back(item, *text);
    } else if (writes) {
      this->service->items[item] = *text;
      ++this->service->number;
    }
    const auto found = this->service->items.find(item);
    const std::string row = found == this->service->items.end() ? "empty" : found->second;
    return (writes ? std::string() : "ROW " + row + "\r\n") + "COMPLETE sig." + this->id + "." +
           statement + "\r\n";
  }

  std::string id;
  Service* service;
  std::atomic<size_t> open{0};
  Listener listener;
};

// -----------------------------------------------------------------------------
// Clients

inline std::shared_ptr<Connection> Connect(const std::string& address) {
  const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in remote = ToAddress(address);
  if (connect(socket_fd, reinterpret_cast<sockaddr*>(&remote), sizeof(remote)) != 0) {
    close(socket_fd);
    return nullptr;
  }
  return std::make_shared<Connection>(socket_fd);
}

// A client's session.
class Client {
 public:
  // Returns whether the daemon has accepted the session.
  bool Open(const std::string& address, const std::string& database) {
    this->connection = Connect(address);
    std::string line;
    return this->connection != nullptr &&
           this->connection->Send("OPEN " + database + " u1\r\n") &&
           this->connection->ReadLine(&line, 2000) && line.rfind("READY", 0) == 0;
  }

  // Sends one statement and waits for its answer.
  // Returns the result: "COMPLETE ...", "ERROR ...", or "none" if no whole answer came.
  std::string Ask(const std::string& text, int limit_ms = 10000) {
    static std::atomic<uint64_t> count{0};
    const std::string id = "q" + std::to_string(++count);
    this->id = id;
    if (this->connection == nullptr || !this->connection->Send("QUERY " + id + " " + text + "\r\n")) {
      return "none";
    }
    std::string result = "none";
    for (std::string line; this->connection->ReadLine(&line, limit_ms);) {
      if (line.rfind("COMPLETE", 0) == 0 || line.rfind("ERROR", 0) == 0) {
        result = line;
      }
      if (line.rfind("READY", 0) == 0) {
        return result;
      }
    }
    return "none";
  }

  // Id of the last statement.
  const std::string& last_id() const { return this->id; }

 private:
  std::shared_ptr<Connection> connection;
  std::string id;
};

// -----------------------------------------------------------------------------
// Machines of the system

struct MachineOptions {
  std::string name;
  std::string ip;
  std::string zone;
  std::string program;
  std::string directory;  // For the settings file and the log.
  std::string store;
  std::string promotions;
  std::vector<uint16_t> ports;  // front, readyAddr, control, first and last of portRange.
  int memory_mb = 260;
  int max_fds = 4200;
};

// A machine with one process. As on the platform, a process that exceeds the memory of its machine
// is killed, and a process that has ended is started again.
class Machine {
 public:
  Machine(MachineOptions options, Record* record) : options(std::move(options)), record(record) {
    const MachineOptions& o = this->options;
    std::ofstream settings(this->SettingsPath());
    settings << "node=" << o.name << "\nrole=session\nclass=front\nserves=front\nip=" << o.ip
             << "\nzone=" << o.zone << "\nregion=jm-south\nzones." << o.zone
             << "=jm-south\nlisten.front=" << this->front() << "\nlisten.readyAddr=" << o.ip << ":"
             << o.ports[1] << "\nlisten.control=" << o.ip << ":" << o.ports[2]
             << "\nportRange=" << o.ports[3] << "," << o.ports[4] << "\nseeds=" << o.ip << ":"
             << o.ports[2] << "\nbootstrap=true\nlossCounts=false\nlimits.cpuShare=0.25\n"
             << "limits.cores=1\nlimits.memoryMb=" << o.memory_mb
             << "\nlimits.maxFds=" << o.max_fds
             << "\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n"
             << "entry=virtual_ip\nheartbeatMs=1200\n"
             << "contracts=base,drain,config,cost,recover,sql,platform\n"
             << "faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n"
             << "bounds.seedLagS=3\nbounds.addrReuseS=2\nbounds.contactMs=4000\n"
             << "bounds.ackMs=5000\nbounds.catchUpS=4\nbounds.drainMs=7000\nbounds.graceS=6\n"
             << "bounds.lossSlackMs=200\nbounds.configApplyMs=3000\nbounds.downgradeMs=250\n"
             << "bounds.skewMaxMs=12000\nbounds.recoverS=12\nbounds.requireFence=true\n"
             << "bounds.thawMs=300\nplatform.address=" << o.store
             << "\nplatform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\n"
             << "platform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n"
             << "cloudApi.address=" << o.promotions
             << "\ncloudApi.ratePerS=50.0\ncloudApi.duties=promotion\ncloudApi.dutyPerS=50.0\n";
    settings.close();
    this->StartProcess();
    this->thread = std::thread([this] { this->Supervise(); });
  }

  ~Machine() { this->Stop(); }

  void Stop() {
    if (this->stopping.exchange(true)) {
      return;
    }
    this->thread.join();
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }

  std::string front() const {
    return this->options.ip + ":" + std::to_string(this->options.ports[0]);
  }

  // Whether the probe of the platform gets the answer 200.
  bool IsReady() const {
    const auto connection =
        Connect(this->options.ip + ":" + std::to_string(this->options.ports[1]));
    std::string line;
    return connection != nullptr &&
           connection->Send("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           connection->ReadLine(&line, 1000) && line.find(" 200") != std::string::npos;
  }

  bool AwaitReady(int limit_ms) const {
    for (const long end = NowMs() + limit_ms; NowMs() < end; SleepMs(50)) {
      if (this->IsReady()) {
        return true;
      }
    }
    return false;
  }

  size_t peak_kb() const { return this->peak; }
  int killed_for_memory() const { return this->memory_kills; }
  int other_ends() const { return this->ends; }
  const std::string& name() const { return this->options.name; }

 private:
  std::string SettingsPath() const {
    return this->options.directory + "/" + this->options.name + ".conf";
  }

  void StartProcess() {
    const std::string log = this->options.directory + "/" + this->options.name + ".log";
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // The process must not outlive the case.
      const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      setenv("POPLARMOOR_SETTINGS", this->SettingsPath().c_str(), 1);
      execl(this->options.program.c_str(), this->options.program.c_str(), nullptr);
      _exit(127);
    }
  }

  size_t ResidentKb() const {
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmRSS:", 0) == 0) {
        return std::stoul(line.substr(6));
      }
    }
    return 0;
  }

  void Supervise() {
    long next_note = 0;
    while (!this->stopping) {
      SleepMs(10);
      const size_t resident = this->ResidentKb();
      this->peak = std::max<size_t>(this->peak, resident);
      if (NowMs() >= next_note) {
        next_note = NowMs() + 1000;
        this->record->Add(this->options.name + " resident " + std::to_string(resident >> 10) +
                          " MB of " + std::to_string(this->options.memory_mb));
      }
      const bool exceeds = resident > static_cast<size_t>(this->options.memory_mb) * 1024;
      if (exceeds) {
        kill(this->pid, SIGKILL);
      }
      int status = 0;
      if (waitpid(this->pid, &status, exceeds ? 0 : WNOHANG) != this->pid) {
        continue;
      }
      if (exceeds) {
        ++this->memory_kills;
        this->record->Add(this->options.name + " process ended: it exceeds the memory of its machine (" +
                          std::to_string(resident >> 10) + " MB of " +
                          std::to_string(this->options.memory_mb) + ")");
      } else {
        ++this->ends;
        this->record->Add(this->options.name + " process ended by itself, status " +
                          std::to_string(status));
      }
      SleepMs(500);
      if (!this->stopping) {
        this->StartProcess();
      }
    }
  }

  MachineOptions options;
  Record* record;
  std::atomic<pid_t> pid{0};
  std::atomic<bool> stopping{false};
  std::atomic<size_t> peak{0};
  std::atomic<int> memory_kills{0};
  std::atomic<int> ends{0};
  std::thread thread;
};

}  // namespace standin
