#include "load/config_watch.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include "net/http_connection.h"
#include "net/http_message.h"

namespace poplarmoor {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {
// Pause between a daemon's answer and the next request for its configuration revision. Also the
// resolution of the measured times.
constexpr milliseconds kPollInterval{100};
constexpr milliseconds kPollTimeout{2000};
}  // namespace

ConfigWatch::ConfigWatch(asio::io_context& context,
                         std::vector<std::string> operators,
                         std::string token)
    : context(context),
      operators(std::move(operators)),
      token(std::move(token)),
      client(context.get_executor(), 1) {}

void ConfigWatch::Start() {
  for (const std::string& daemon : this->operators) {
    asio::co_spawn(this->context, this->Poll(daemon), asio::detached);
  }
}

void ConfigWatch::Observe(const std::string& daemon, uint64_t revision, Duration now) {
  const bool is_first = !this->revisions.contains(daemon);
  uint64_t& known = this->revisions[daemon];
  if (revision <= known) {
    return;
  }
  // A daemon's first answer after the start or after a failed poll does not tell when the daemon
  // got the revision.
  if (!is_first) {
    // A daemon that has already reported a later revision had this revision at the time of that
    // report or earlier. That time is then used.
    const auto later = this->first_seen.lower_bound(revision);
    this->first_seen.try_emplace(revision, later == this->first_seen.end() ? now : later->second);
  }
  known = revision;
  if (this->revisions.size() < this->operators.size()) {
    return;
  }
  const uint64_t everywhere =
      std::min_element(this->revisions.begin(), this->revisions.end(),
                       [](const auto& a, const auto& b) { return a.second < b.second; })
          ->second;
  while (!this->first_seen.empty() && this->first_seen.begin()->first <= everywhere) {
    this->propagation_times.push_back(now - this->first_seen.begin()->second);
    this->first_seen.erase(this->first_seen.begin());
  }
}

asio::awaitable<void> ConfigWatch::Poll(std::string daemon) {
  asio::steady_timer timer(this->context);
  for (;;) {
    HttpRequest request;
    request.target = "/v1/status";
    request.headers["authorization"] = "Bearer " + this->token;
    try {
      const HttpResponse response = co_await this->client.Send(daemon, request, kPollTimeout);
      const auto status = nlohmann::json::parse(response.body);
      this->Observe(daemon, status.at("config_revision"),
                    std::chrono::duration_cast<Duration>(
                        std::chrono::steady_clock::now().time_since_epoch()));
    } catch (const std::exception&) {
      // The revision of this daemon is unknown now. Until the daemon answers again, Observe()
      // counts no revision as reached by all daemons.
      this->revisions.erase(daemon);
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace poplarmoor
