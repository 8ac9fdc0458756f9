#include <algorithm>
#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include "net/http_connection.h"
#include "net/http_message.h"
#include "standins/endpoint_log.h"
#include "standins/endpoint_server.h"

// Member functions of EndpointServer for terms and replication.

namespace poplarmoor {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr size_t kMaxBatch = 500;  // Maximum number of log entries in a `replicate` answer.
// Time that the primary waits for new log entries before it answers a `replicate` request with an
// empty list of entries. Such an answer tells the replica that it has the whole log, so this time
// also bounds the replica's staleness while there are no writes.
constexpr milliseconds kReplicatePollTimeout{100};
constexpr milliseconds kRetryPause{50};  // Pause before a failed `replicate` request is repeated.

nlohmann::json MakeRefusal(const std::string& reason) {
  return {{"status", "refused"}, {"reason", reason}};
}

}  // namespace

// Makes the endpoint a replica without a primary. `term` is a new term, or the current term if only
// the primary to follow changes. Cancels the scheduled replays. The endpoint confirms no writes
// until the next primary has compared its log with this endpoint's log.
void EndpointServer::SetTerm(uint64_t term, const std::string& proposer) {
  this->term = term;
  this->proposer = proposer;
  this->is_primary = false;
  this->synced = false;
  this->primary_address.clear();
  this->pending_replays.clear();
  ++this->role_epoch;
  this->changed.Notify();
}

asio::awaitable<nlohmann::json> EndpointServer::Status(ConnectionPtr, Json request) {
  const uint64_t wait_index = request.value("wait_index", uint64_t{0});
  const auto limit = Clock::now() + milliseconds(request.value("timeout_ms", 0));
  const uint64_t epoch = this->role_epoch;
  while ((!this->synced || this->log->received() < wait_index) && epoch == this->role_epoch &&
         Clock::now() < limit) {
    co_await this->changed.Wait(limit);
  }
  co_return Json::object();
}

asio::awaitable<nlohmann::json> EndpointServer::Fence(ConnectionPtr, Json request) {
  const uint64_t new_term = request.at("term");
  const std::string new_proposer = request.at("proposer");
  if (this->can_vote && new_term > this->term) {
    this->SetTerm(new_term, new_proposer);
  }
  const bool granted = this->can_vote && new_term == this->term && new_proposer == this->proposer;
  co_return Json{{"granted", granted}};
}

asio::awaitable<nlohmann::json> EndpointServer::Promote(ConnectionPtr, Json request) {
  const uint64_t new_term = request.at("term");
  const std::string new_proposer = request.at("proposer");
  if (new_term < this->term || (new_term == this->term && new_proposer != this->proposer)) {
    co_return MakeRefusal("fenced");
  }
  if (new_term == this->term && this->is_primary) {
    co_return Json::object();
  }
  if (request.at("start_index") != this->log->received()) {
    co_return MakeRefusal("behind");
  }
  this->SetTerm(new_term, new_proposer);
  this->is_primary = true;
  this->synced = true;
  this->can_vote = true;
  this->log->ReplayTo(this->log->received());
  // Appends an empty entry of the new term. A replica that holds an entry of this term is known to
  // hold all entries before it, including those of earlier terms. Without the empty entry, when a
  // caller repeats a write of an earlier term, the proxy could confirm that write only after the
  // next write.
  this->log->Execute(new_term, "", Json::array(), false);
  this->changed.Notify();
  co_return Json::object();
}

asio::awaitable<nlohmann::json> EndpointServer::Follow(ConnectionPtr, Json request) {
  const uint64_t new_term = request.at("term");
  const std::string address = request.at("address");
  if (new_term < this->term) {
    co_return MakeRefusal("fenced");
  }
  if (new_term == this->term && this->is_primary) {
    co_return MakeRefusal("bad_request");
  }
  if (new_term > this->term || address != this->primary_address) {
    this->SetTerm(new_term, new_term == this->term ? this->proposer : "");
    this->primary_address = address;
  }
  co_return Json::object();
}

asio::awaitable<nlohmann::json> EndpointServer::Replicate(ConnectionPtr, Json request) {
  const LogPosition last{request.at("last").at("term"), request.at("last").at("index")};
  const uint64_t follower_term = request.at("term");
  const auto limit = Clock::now() + milliseconds(request.value("timeout_ms", 0));
  const uint64_t epoch = this->role_epoch;
  while (Clock::now() < limit && epoch == this->role_epoch &&
         (this->faults.cut_replication ||
          (this->is_primary && last == this->log->last() && follower_term == this->term))) {
    co_await this->changed.Wait(limit);
  }
  if (this->faults.cut_replication) {
    co_return Json();
  }
  if (follower_term < this->term) {
    co_return MakeRefusal("fenced");
  }
  if (!this->is_primary || follower_term > this->term) {
    co_return MakeRefusal("not_primary");
  }
  const uint64_t prefix = this->log->FindCommonPrefix(last);
  Json entries = Json::array();
  if (prefix == last.index) {
    const auto& all = this->log->entries();
    const size_t end = std::min(all.size(), prefix + kMaxBatch);
    for (size_t index = prefix; index < end; ++index) {
      entries.push_back(ToJson(all[index]));
    }
  }
  const bool complete = prefix + entries.size() == this->log->received();
  co_return Json{{"prefix", prefix}, {"entries", entries}, {"complete", complete}};
}

asio::awaitable<void> EndpointServer::ReplicateLoop() {
  std::unique_ptr<HttpConnection> connection;
  std::string connected_to;
  for (;;) {
    co_await this->WaitWhileFrozen();
    if (this->is_primary || this->primary_address.empty()) {
      co_await this->changed.Wait(Clock::time_point::max());
      continue;
    }
    bool failed = this->faults.cut_replication;
    const uint64_t epoch = this->role_epoch;
    try {
      if (!failed) {
        if (connection == nullptr || !connection->is_open() ||
            connected_to != this->primary_address) {
          connected_to = this->primary_address;
          connection = std::make_unique<HttpConnection>(this->io().get_executor(), connected_to);
          co_await connection->Connect(milliseconds(500));
        }
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/replicate";
        const LogPosition last = this->log->last();
        request.body = Json{{"term", this->term},
                            {"last", {{"term", last.term}, {"index", last.index}}},
                            {"timeout_ms", kReplicatePollTimeout.count()}}
                           .dump();
        const HttpResponse response = co_await connection->Exchange(request, milliseconds(2000));
        const auto arrival = Clock::now();
        co_await Sleep(milliseconds(this->faults.receive_lag_ms));
        co_await this->WaitWhileFrozen();
        const Json answer = Json::parse(response.body);
        failed = answer.value("status", "") != "ok";
        if (!failed && epoch == this->role_epoch && !this->faults.cut_replication) {
          this->Receive(answer, arrival);
        }
      }
    } catch (const std::exception&) {
      failed = true;
      connection.reset();
    }
    if (failed) {
      co_await this->changed.Wait(Clock::now() + kRetryPause);
    }
  }
}

void EndpointServer::Receive(const Json& answer, Clock::time_point arrival) {
  const uint64_t prefix = answer.at("prefix");
  if (prefix < this->log->received()) {
    this->log->TruncateTo(prefix);
    std::erase_if(this->pending_replays,
                  [&](const Replay& replay) { return replay.index > prefix; });
    this->changed.Notify();
    return;  // The next answer shows whether the truncated log is a prefix of the primary's.
  }
  for (const Json& entry : answer.at("entries")) {
    this->log->Append(ParseLogEntry(entry));
  }
  const bool complete = answer.at("complete");
  this->synced = true;
  this->can_vote = this->can_vote || complete;
  const auto due = Clock::now() + milliseconds(this->faults.replay_lag_ms);
  this->pending_replays.push_back(
      {due, complete ? arrival : Clock::time_point{}, this->log->received()});
  this->changed.Notify();
}

asio::awaitable<void> EndpointServer::ReplayLoop() {
  for (;;) {
    co_await this->WaitWhileFrozen();
    const auto now = Clock::now();
    while (!this->pending_replays.empty() && this->pending_replays.front().due <= now) {
      const Replay replay = this->pending_replays.front();
      this->pending_replays.pop_front();
      this->log->ReplayTo(replay.index);
      this->fresh_as_of = std::max(this->fresh_as_of, replay.as_of);
    }
    co_await this->changed.Wait(this->pending_replays.empty() ? Clock::time_point::max()
                                                              : this->pending_replays.front().due);
  }
}

}  // namespace poplarmoor
