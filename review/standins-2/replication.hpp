// Stand-ins of a replicated service: servers with logs, replication with one synchronous replica,
// and the platform's promotion call. They follow PROTOCOL.md, "Servers" and "Singleton duties".
#pragma once

#include "world.hpp"

namespace standin {

struct LogEntry {
  uint64_t term = 0;
  std::string statement;  // Id of the client's statement.
  bool operator==(const LogEntry& other) const {
    return this->term == other.term && this->statement == other.statement;
  }
};

// One server of a replicated service. All state is guarded by the mutex of the group.
struct Replica {
  std::string id;
  std::string zone;
  std::string ip;
  uint16_t port = 0;
  int64_t born = 0;
  bool running = false;
  bool silent = false;  // Partitioned: it receives nothing and nobody hears it.
  bool deaf = false;    // Receives nothing from the primary.
  bool leads = false;
  uint64_t term = 3;  // Newest term that it knows.
  uint64_t pause_term = 0;
  std::vector<LogEntry> log;
  size_t open = 0;
  std::unique_ptr<Listener> listener;
};

class Group {
 public:
  // @param initial Number of entries in the logs at the start.
  // @param copy_per_ms Entries that a replica which is far behind receives in a millisecond.
  Group(std::string service, Store* store, Record* record, size_t initial, double copy_per_ms)
      : service(std::move(service)), store(store), record(record), copy_per_ms(copy_per_ms) {
    for (size_t number = 0; number < initial; ++number) {
      this->initial_log.push_back({3, "before"});
    }
  }
  ~Group() {
    this->stopping = true;
    for (auto& [id, replica] : this->replicas) {
      this->StopListener(id);
    }
    if (this->pump.joinable()) {
      this->pump.join();
    }
  }

  void Add(const std::string& id, const std::string& zone, const std::string& ip, bool leads) {
    {
      std::lock_guard lock(this->mutex);
      Replica& replica = this->replicas[id];
      replica.id = id;
      replica.zone = zone;
      replica.ip = ip;
      replica.leads = leads;
      replica.log = this->initial_log;
    }
    this->Start(id);
  }

  void Run() {
    this->pump = std::thread([this] {
      while (!this->stopping) {
        SleepMs(1);
        std::lock_guard lock(this->mutex);
        this->Replicate();
      }
    });
  }

  // Starts the server's process.
  void Start(const std::string& id) {
    Replica& replica = this->replicas.at(id);
    for (int attempt = 0;; ++attempt) {
      try {
        replica.listener = std::make_unique<Listener>(
            replica.ip, replica.port, [this, id](std::shared_ptr<Connection> connection) {
              this->Serve(id, std::move(connection));
            });
        break;
      } catch (const std::exception&) {
        if (attempt == 100) {
          throw;
        }
        SleepMs(10);
      }
    }
    std::lock_guard lock(this->mutex);
    replica.port = ToPort(replica.listener->address());
    replica.born = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
    replica.running = true;
    this->Register(replica);
  }

  // Ends the server's process without a word. Its log stays unless `loses_log`: a server that starts
  // again under the id that it had "holds and knows nothing of before".
  void Crash(const std::string& id, bool loses_log) {
    {
      std::lock_guard lock(this->mutex);
      Replica& replica = this->replicas.at(id);
      replica.running = false;
      replica.pause_term = 0;
      if (loses_log) {
        replica.log.clear();
      }
    }
    this->changed.notify_all();
    this->StopListener(id);
  }

  void Unregister(const std::string& id) { this->store->Delete("servers", id); }

  void SetDeaf(const std::string& id, bool deaf) {
    std::lock_guard lock(this->mutex);
    this->replicas.at(id).deaf = deaf;
  }

  size_t LogSize(const std::string& id) {
    std::lock_guard lock(this->mutex);
    return this->replicas.at(id).log.size();
  }

  std::string Describe() {
    std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto& [id, replica] : this->replicas) {
      text += id + (replica.leads ? " primary" : " replica") + (replica.running ? "" : " down") +
              (replica.deaf ? " deaf" : "") + " holds " + Position(replica) + " paused " +
              std::to_string(replica.pause_term) + "; ";
    }
    return text;
  }

  // Carries out a promotion: returns the ids of the statements in the log of the promoted server.
  bool Promote(const std::string& id, std::set<std::string>* held) {
    std::lock_guard lock(this->mutex);
    const auto found = this->replicas.find(id);
    if (found == this->replicas.end() || !found->second.running) {
      return false;
    }
    if (found->second.leads) {
      return false;
    }
    uint64_t term = 0;
    for (const auto& [other, replica] : this->replicas) {
      term = std::max(term, replica.term);
    }
    for (auto& [other, replica] : this->replicas) {
      replica.leads = other == id;
      replica.pause_term = 0;
      replica.term = replica.running ? term + 1 : replica.term;
    }
    this->newest_term = term + 1;
    for (const LogEntry& entry : found->second.log) {
      held->insert(entry.statement);
    }
    for (auto& [other, replica] : this->replicas) {
      if (replica.running) {
        this->Register(replica);
      }
    }
    this->changed.notify_all();
    return true;
  }

  bool IsRunning(const std::string& id) {
    std::lock_guard lock(this->mutex);
    const auto found = this->replicas.find(id);
    return found != this->replicas.end() && found->second.running;
  }

  bool Leads(const std::string& id) {
    std::lock_guard lock(this->mutex);
    const auto found = this->replicas.find(id);
    return found != this->replicas.end() && found->second.running && found->second.leads;
  }

 private:
  struct Session {
    char state = 'I';
    bool writable = false;
    uint64_t term = 0;
    bool wrote = false;
    std::map<std::string, std::pair<bool, std::string>> prepared;
  };

  static uint16_t ToPort(const std::string& address) {
    return static_cast<uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
  }

  static std::string Position(const Replica& replica) {
    const uint64_t term = replica.log.empty() ? 0 : replica.log.back().term;
    return std::to_string(term) + "." + std::to_string(replica.log.size());
  }

  void StopListener(const std::string& id) {
    Replica& replica = this->replicas.at(id);
    if (replica.listener != nullptr) {
      replica.listener->Stop();
      replica.listener.reset();
    }
  }

  void Register(const Replica& replica) {
    this->store->Write("servers", replica.id,
                       {{"service", this->service},
                        {"address", replica.ip + ":" + std::to_string(replica.port)},
                        {"zone", replica.zone},
                        {"version", "v1"},
                        {"slots", 3},
                        {"state", "ready"},
                        {"coldLeftMs", 0},
                        {"dbRole", replica.leads ? "primary" : "replica"},
                        {"seq", 1},
                        {"born", replica.born}});
  }

  void Replicate() {
    Replica* primary = nullptr;
    for (auto& [id, replica] : this->replicas) {
      if (replica.leads && replica.running) {
        primary = &replica;
      }
    }
    if (primary == nullptr) {
      return;
    }
    bool grown = false;
    for (auto& [id, replica] : this->replicas) {
      if (&replica == primary || !replica.running || replica.deaf || replica.pause_term != 0) {
        continue;
      }
      replica.term = std::max(replica.term, primary->term);
      // Entries of the same place and term are the same.
      size_t common = std::min(replica.log.size(), primary->log.size());
      while (common > 0 && replica.log[common - 1].term != primary->log[common - 1].term) {
        --common;
      }
      replica.log.resize(common);
      const size_t missing = primary->log.size() - common;
      const size_t copied =
          missing > 500 ? std::max<size_t>(1, static_cast<size_t>(this->copy_per_ms)) : missing;
      replica.log.insert(replica.log.end(), primary->log.begin() + static_cast<long>(common),
                         primary->log.begin() + static_cast<long>(common + copied));
      grown = grown || copied > 0;
    }
    if (grown) {
      this->changed.notify_all();
    }
  }

  void Serve(const std::string& id, std::shared_ptr<Connection> connection) {
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
    if (word != "OPEN" || name != this->service || (!expected.empty() && expected != id)) {
      connection->Send("ERROR WRONGNODE " + id + "\r\n");
      return;
    }
    std::string ready;
    {
      std::lock_guard lock(this->mutex);
      Replica& replica = this->replicas.at(id);
      if (replica.open >= 23) {
        ready = "ERROR CONNLIMIT " + id + "\r\n";
      } else {
        ++replica.open;
        ready = "READY I " + Position(replica) + "\r\n";
      }
    }
    bool good = connection->Send(ready);
    if (ready[0] == 'E') {
      return;
    }
    Session session;
    while (good && connection->ReadLine(&line, 120000) && line != "CLOSE") {
      const std::string answer = this->Answer(id, &session, line);
      good = !answer.empty() && connection->Send(answer);
    }
    connection->Shut();
    std::lock_guard lock(this->mutex);
    --this->replicas.at(id).open;
  }

  // Returns no answer if the server has crashed meanwhile.
  std::string Answer(const std::string& id, Session* session, const std::string& line) {
    std::unique_lock lock(this->mutex);
    Replica& replica = this->replicas.at(id);
    std::string text = line;
    const auto take = [&text] {
      const size_t blank = text.find(' ');
      std::string word = text.substr(0, blank);
      text = blank == std::string::npos ? std::string() : text.substr(blank + 1);
      return word;
    };
    take();
    const std::string statement = take();
    const std::string result = this->Run(&lock, &replica, session, statement, &text, take);
    if (!replica.running || result.empty()) {
      return {};
    }
    return result + "READY " + session->state + " " + Position(replica) + "\r\n";
  }

  // Adds an entry to the primary's log and waits until one replica has received it.
  std::string Commit(std::unique_lock<std::mutex>* lock,
                     Replica* replica,
                     const std::string& statement) {
    const uint64_t term = replica->term;
    const int64_t born = replica->born;
    replica->log.push_back({term, statement});
    const size_t number = replica->log.size();
    for (;;) {
      if (!replica->running || replica->born != born || this->stopping) {
        return {};
      }
      if (!replica->leads || replica->term != term) {
        return "ERROR TIMEOUT -\r\n";
      }
      for (const auto& [other, candidate] : this->replicas) {
        if (other != replica->id && candidate.running && candidate.log.size() >= number &&
            candidate.log[number - 1].statement == statement) {
          return "COMPLETE sig." + replica->id + "." + statement + "\r\n";
        }
      }
      this->changed.wait_for(*lock, std::chrono::milliseconds(20));
    }
  }

  template <typename Take>
  std::string Run(std::unique_lock<std::mutex>* lock,
                  Replica* replica,
                  Session* session,
                  const std::string& statement,
                  std::string* text,
                  Take take) {
    const std::string done = "COMPLETE -\r\n";
    std::string verb = take();
    if (verb == "WAITPOS") {
      const std::string position = take();
      const size_t dot = position.find('.');
      const std::pair<uint64_t, uint64_t> wanted{std::stoull(position.substr(0, dot)),
                                                 std::stoull(position.substr(dot + 1))};
      const uint64_t term = replica->log.empty() ? 0 : replica->log.back().term;
      if (wanted > std::pair<uint64_t, uint64_t>(term, replica->log.size())) {
        return "ERROR LAGGING -\r\n";
      }
      verb = take();
    }
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
      const uint64_t term = text->empty() ? 0 : std::stoull(*text);
      if (verb == "PAUSE" && !replica->leads && term > replica->term) {
        replica->pause_term = term;
      } else if (verb == "RESUME") {
        replica->pause_term = 0;
      } else if (verb == "STEPDOWN" && replica->leads && replica->term < term) {
        replica->leads = false;
        this->changed.notify_all();
        this->Register(*replica);
      }
      if (verb != "STATUS") {
        this->record->Add(replica->id + " carries out " + verb + " " + *text);
      }
      return std::string("ROW ") + (replica->leads ? "primary " : "replica ") +
             std::to_string(replica->term) + " " + Position(*replica) + " " +
             std::to_string(replica->pause_term) + " 0 0 " + std::to_string(replica->open) +
             "\r\n" + done;
    }
    const bool lost_lead = session->state == 'T' && session->writable &&
                           (!replica->leads || replica->term != session->term);
    if (session->state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") {
      return "ERROR MALFORMED -\r\n";
    }
    if (verb == "BEGIN") {
      if (*text != "READ" && !replica->leads) {
        return "ERROR READONLY " + replica->id + "\r\n";
      }
      *session = {'T', *text != "READ", replica->term, false, session->prepared};
      return done;
    }
    if (verb == "ROLLBACK") {
      session->state = 'I';
      return done;
    }
    if (verb == "COMMIT") {
      if (session->state != 'T') {
        session->state = 'I';
        return "ERROR MALFORMED -\r\n";
      }
      session->state = 'I';
      if (!session->wrote) {
        return "COMPLETE sig." + replica->id + "." + statement + "\r\n";
      }
      return lost_lead ? "ERROR READONLY " + replica->id + "\r\n"
                       : this->Commit(lock, replica, statement);
    }
    if (verb == "SET" || verb == "RESET" || verb == "DEALLOC") {
      return done;
    }
    if (verb == "PREPARE") {
      const std::string name = take();
      const bool writes = take() == "WRITE";
      session->prepared[name] = {writes, *text};
      return done;
    }
    bool writes = verb == "WRITE";
    if (verb == "EXECUTE") {
      const auto prepared = session->prepared.find(take());
      if (prepared == session->prepared.end()) {
        return "ERROR UNKSTMT -\r\n";
      }
      writes = prepared->second.first;
    } else if (verb != "READ" && verb != "WRITE") {
      return "ERROR MALFORMED -\r\n";
    }
    if (lost_lead || (writes && !replica->leads)) {
      session->state = session->state == 'T' ? 'E' : session->state;
      return "ERROR READONLY " + replica->id + "\r\n";
    }
    if (!writes) {
      return "ROW " + std::to_string(replica->log.size()) + "\r\nCOMPLETE sig." + replica->id +
             "." + statement + "\r\n";
    }
    if (session->state == 'T') {
      session->wrote = true;
      return "COMPLETE sig." + replica->id + "." + statement + "\r\n";
    }
    return this->Commit(lock, replica, statement);
  }

  std::string service;
  Store* store;
  Record* record;
  double copy_per_ms;
  std::vector<LogEntry> initial_log;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Replica> replicas;
  uint64_t newest_term = 3;
  std::atomic<bool> stopping{false};
  std::thread pump;
};

// The platform's call POST /promote, with fencing. A promotion takes place one second after it was
// accepted. Checks the rule LOST: an acknowledged commit is in the log of the promoted server.
class Promotions {
 public:
  Promotions(const std::string& ip, Group* group, Record* record)
      : group(group), record(record), listener(ip, 0, [this](auto connection) {
          this->Serve(std::move(connection));
        }) {}
  ~Promotions() {
    this->listener.Stop();
    for (std::thread& thread : this->running) {
      thread.join();
    }
  }

  const std::string& address() const { return this->listener.address(); }

  // Records that a client has got a success for a write.
  void NoteAcknowledged(const std::string& statement) {
    std::lock_guard lock(this->mutex);
    this->acknowledged.insert(statement);
  }

  size_t lost() {
    std::lock_guard lock(this->mutex);
    return this->lost_commits;
  }
  size_t promotions() {
    std::lock_guard lock(this->mutex);
    return this->carried_out;
  }
  size_t acknowledged_count() {
    std::lock_guard lock(this->mutex);
    return this->acknowledged.size();
  }

 private:
  void Serve(std::shared_ptr<Connection> connection) {
    std::string line;
    while (connection->ReadLine(&line, 60000)) {
      size_t length = 0;
      uint64_t token = 0;
      std::string holder;
      std::string header;
      while (connection->ReadLine(&header, 10000) && !header.empty()) {
        std::string name = header.substr(0, header.find(':'));
        for (char& letter : name) {
          letter = static_cast<char>(tolower(letter));
        }
        const std::string value = header.substr(header.find(':') + 2);
        length = name == "content-length" ? std::stoul(value) : length;
        token = name == "x-fence-token" ? std::stoull(value) : token;
        holder = name == "x-duty-holder" ? value : holder;
      }
      std::string body;
      if (!connection->ReadBytes(length, &body, 10000)) {
        return;
      }
      const int status = this->Order(Json::parse(body).value("id", ""), holder, token);
      if (!connection->Send("HTTP/1.1 " + std::to_string(status) +
                            " -\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")) {
        return;
      }
    }
  }

  int Order(const std::string& id, const std::string& holder, uint64_t token) {
    std::lock_guard lock(this->mutex);
    int status = 200;
    if (token < this->newest_token || !this->group->IsRunning(id)) {
      status = 409;
    }
    this->newest_token = std::max(this->newest_token, token);
    this->record->Add("POST /promote " + id + " by " + holder + " token " + std::to_string(token) +
                      " -> " + std::to_string(status) + "; " + this->group->Describe());
    if (status == 200 && !this->group->Leads(id) && !this->pending) {
      this->pending = true;
      this->running.emplace_back([this, id] { this->CarryOut(id); });
    }
    return status;
  }

  void CarryOut(const std::string& id) {
    SleepMs(1000);
    std::lock_guard lock(this->mutex);
    this->pending = false;
    std::set<std::string> held;
    // Commits that are acknowledged later count for later promotions.
    const std::set<std::string> before = this->acknowledged;
    if (!this->group->Promote(id, &held)) {
      this->record->Add("promotion of " + id + " does not take place");
      return;
    }
    ++this->carried_out;
    size_t missing = 0;
    std::string examples;
    for (const std::string& statement : before) {
      if (!held.contains(statement) && !this->counted.contains(statement)) {
        ++missing;
        this->counted.insert(statement);
        examples += missing <= 5 ? " " + statement : "";
      }
    }
    this->lost_commits += missing;
    this->record->Add(id + " is promoted; acknowledged commits that its log lacks: " +
                      std::to_string(missing) + (missing == 0 ? "" : ", for example" + examples) +
                      "; " + this->group->Describe());
  }

  Group* group;
  Record* record;
  std::mutex mutex;
  std::set<std::string> acknowledged;
  std::set<std::string> counted;
  uint64_t newest_token = 0;
  bool pending = false;
  size_t lost_commits = 0;
  size_t carried_out = 0;
  std::vector<std::thread> running;
  Listener listener;
};

}  // namespace standin
