#include "session/organisation/limit_service.h"

#include <algorithm>
#include <cstdio>

#include "kernel/organisation/token_account.h"
#include "net/peer_network.h"
#include "session/background_task.h"
#include "session/boot_clock.h"
#include "session/cluster.h"
#include "session/wait_list.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "wire/relay_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Longest time that an operation waits for tokens.
constexpr Duration kMaxWait = 50ms;
// Shortest time that an issuer gets for its answer before the next one is asked, if there is one.
constexpr Duration kMinIssuerTime = 8ms;
// Time limit of a call to an issuer. It is longer than an operation waits: a call that ends without
// an answer gives up the connection to the peer, and a late answer still adds tokens.
constexpr std::chrono::milliseconds kCallLimit{250};
// An issuer that has not answered in time is not asked for this time, except by calls under way.
constexpr Duration kSilentTime = 300ms;
// Bounds the tokens that one message can ask for.
constexpr uint64_t kMaxWanted = 10'000;
constexpr Duration kMaintenanceInterval = 1s;

std::string LimitText(double rate) {
  char text[40];
  std::snprintf(text, sizeof(text), "%.6g operations/s", rate);
  return text;
}

}  // namespace

struct LimitService::Account {
  explicit Account(asio::any_io_executor executor) : changed(std::move(executor)) {}

  TokenAccount tokens;
  WaitList changed;      // Notified when tokens arrive or a round ends.
  uint32_t waiting = 0;  // Operations that wait for a token.
  uint64_t rounds_started = 0;
  uint64_t rounds_finished = 0;
  bool asking = false;      // A round is in progress.
  bool unanswered = false;  // An issuer was lost or silent in the last round.
  std::vector<Peer> issuers;
  uint64_t issuers_version = 0;  // Version of the plan that `issuers` was computed from.
  uint64_t refused = 0;          // Refused operations since the last log line.
  TimePoint next_log;
};

/// A call to an issuer.
struct LimitService::Request {
  Request(asio::any_io_executor executor, Peer issuer, uint32_t wanted)
      : issuer(std::move(issuer)), wanted(wanted), ended(std::move(executor)) {}

  Peer issuer;
  uint32_t wanted;
  bool done = false;
  bool answered = false;
  WaitList ended;
};

LimitService::LimitService(asio::any_io_executor executor,
                           Cluster* cluster,
                           Metrics* metrics,
                           const ProcessSettings& settings)
    : executor(std::move(executor)),
      cluster(cluster),
      metrics(metrics),
      self{settings.daemon, settings.peer_address, settings.failure_domain, settings.capacity},
      regions(settings.regions),
      first_fleet_start(settings.first_fleet_start),
      issuer(this->self, settings.limit_tolerance.window, settings.limit_tolerance.slack) {}

LimitService::~LimitService() = default;

void LimitService::Attach(PeerNetwork* network) {
  network->SetHandler(kLimitMessage, [this](std::string, PeerMessage message) {
    return this->HandleLimit(std::move(message));
  });
  network->SetHandler(kIssuerJoinedMessage, [this](std::string, PeerMessage message) {
    return this->HandleIssuerJoined(std::move(message));
  });
}

void LimitService::Start() {
  SpawnService(this->executor, "maintain the limits", [this] { return this->RunMaintenance(); });
}

void LimitService::Stop() {
  this->permission.Stop();
  this->Refresh();
}

bool LimitService::MayIssue() const {
  return this->permission.MayIssue(BootNow());
}

bool LimitService::IsLimited(const std::string& organisation) const {
  return !organisation.empty() && this->cluster->routes().organisations.has_value();
}

// -----------------------------------------------------------------------------
// List of daemons, configuration and permission to issue

std::vector<Peer> LimitService::ListDaemons() {
  std::vector<Peer> daemons{this->self};
  for (const Peer& peer : this->cluster->relays().plan().Peers()) {
    if (peer.daemon != this->self.daemon && !this->announced.contains(peer.daemon)) {
      daemons.push_back(peer);
    }
  }
  for (const auto& [name, entry] : this->announced) {
    daemons.push_back(entry.first);
  }
  return daemons;
}

void LimitService::Refresh() {
  const TimePoint now = BootNow();
  const RouteTable& routes = this->cluster->routes();
  const uint64_t generation = this->cluster->relays().plan().Generation();
  const bool may_issue = routes.organisations && this->permission.MayIssue(now);
  const bool is_new_list = generation != this->plan_generation || this->announced_changed;
  if (!is_new_list && routes.version == this->config_version && may_issue == this->issuing) {
    return;
  }
  if (is_new_list) {
    this->plan = IssuerPlan(this->ListDaemons());
    this->plan_generation = generation;
    this->announced_changed = false;
    ++this->plan_version;
  }
  if (may_issue != this->issuing) {
    Log(LogLevel::kInfo, may_issue ? "daemon issues tokens" : "daemon does not issue tokens",
        {{"issuers", this->plan.Count()}, {"config_version", routes.version}});
  }
  this->issuing = may_issue;
  this->config_version = routes.version;
  if (may_issue) {
    this->issuer.Update(this->plan, *routes.organisations, now);
  } else {
    this->issuer.Clear();
  }
}

std::shared_ptr<LimitService::Account> LimitService::AccountOf(const std::string& organisation) {
  std::shared_ptr<Account>& account = this->accounts[organisation];
  if (account == nullptr) {
    account = std::make_shared<Account>(this->executor);
  }
  if (account->issuers_version != this->plan_version) {
    account->issuers = this->plan.NearestIssuers(organisation, this->self, this->regions);
    account->issuers_version = this->plan_version;
  }
  return account;
}

void LimitService::NoteEntryWritten(EntryWrite write) {
  write.known = write.known || this->first_fleet_start;

  this->permission.NoteEntryWritten(write);
  this->Refresh();
}

// -----------------------------------------------------------------------------
// Entry daemon

asio::awaitable<Admission> LimitService::Admit(std::string organisation, TimePoint deadline) {
  this->Refresh();
  const auto account = this->AccountOf(organisation);
  const TimePoint now = BootNow();
  account->tokens.NoteDemand(now);
  if (!this->IssueOwn(organisation, now)) {
    const TimePoint limit = std::min(deadline, now + kMaxWait);
    const uint64_t own_round = account->rounds_started + 1;
    ++account->waiting;
    while (account->tokens.Available(BootNow()) == 0 && BootNow() < limit &&
           account->rounds_finished < own_round) {
      if (!account->asking) {
        if (this->IssuersToAsk(organisation, account.get()).empty()) {
          break;
        }
        account->asking = true;
        ++account->rounds_started;
        SpawnTask(this->executor, "ask for tokens", this->RunRound(organisation, account));
      }
      co_await account->changed.Wait(limit - BootNow());
    }
    --account->waiting;
  }
  const std::optional<TimePoint> token = account->tokens.Take(BootNow());
  if (!token) {
    co_return this->Refuse(organisation, account.get());
  }
  co_return Admission(*token);
}

void LimitService::Return(const std::string& organisation, const Admission& admission) {
  const auto found = this->accounts.find(organisation);
  if (admission.token() && found != this->accounts.end()) {
    found->second->tokens.Return(*admission.token(), BootNow());
    found->second->changed.NotifyAll();
  }
}

bool LimitService::IssueOwn(const std::string& organisation, TimePoint now) {
  const auto account = this->AccountOf(organisation);
  if (account->tokens.Available(now) > 0) {
    return true;
  }
  const TokenGrant grant = this->issuer.Issue(organisation, 1, now);
  if (grant.granted == 0) {
    return false;
  }
  this->metrics->Add(Metric::kTokensIssued, {organisation});
  account->tokens.NoteAnswer(this->self.daemon, grant, 1, now, now);
  return true;
}

std::vector<Peer> LimitService::IssuersToAsk(const std::string& organisation, Account* account) {
  const TimePoint now = BootNow();
  RelayRouter& relays = this->cluster->relays();
  std::vector<Peer> usable;
  account->unanswered = false;
  for (const Peer& peer : this->AccountOf(organisation)->issuers) {
    const auto silent = this->silent_until.find(peer.daemon);
    const bool is_silent = silent != this->silent_until.end() && now < silent->second;
    if (peer.daemon == this->self.daemon || !account->tokens.MayHaveToken(peer.daemon, now)) {
      continue;
    }
    if (relays.peers() == nullptr || relays.health().IsLost(peer) || is_silent) {
      account->unanswered = true;
      continue;
    }
    usable.push_back(peer);
  }
  return usable;
}

asio::awaitable<void> LimitService::RunRound(std::string organisation,
                                             std::shared_ptr<Account> account) {
  const TimePoint end = BootNow() + kMaxWait;
  const std::vector<Peer> issuers = this->IssuersToAsk(organisation, account.get());
  for (size_t i = 0; i < issuers.size(); ++i) {
    const TimePoint now = BootNow();
    const uint32_t available = account->tokens.Available(now);
    if (account->waiting <= available || now >= end) {
      break;
    }
    const uint32_t wanted = account->tokens.Wanted(account->waiting - available, now);
    const auto request = std::make_shared<Request>(this->executor, issuers[i], wanted);
    SpawnTask(this->executor, "ask an issuer for tokens", this->Ask(organisation, account, request),
              [request] {
                request->done = true;
                request->ended.NotifyAll();
              });
    const bool is_last = i + 1 == issuers.size();
    const Duration left = end - now;
    const Duration limit = is_last ? left : std::min(left, std::max(left / 2, kMinIssuerTime));
    if (!request->done) {
      co_await request->ended.Wait(limit);
    }
    if (!request->answered) {
      account->unanswered = true;
      this->silent_until[request->issuer.daemon] = BootNow() + kSilentTime;
    }
  }
  account->asking = false;
  ++account->rounds_finished;
  account->changed.NotifyAll();
}

asio::awaitable<void> LimitService::Ask(std::string organisation,
                                        std::shared_ptr<Account> account,
                                        std::shared_ptr<Request> request) {
  LimitRequest body;
  body.organisation = organisation;
  body.wanted = request->wanted;
  PeerMessage message(kLimitMessage, EncodeLimitRequest(body));
  const TimePoint sent = BootNow();
  try {
    const PeerMessage reply = co_await this->cluster->relays().peers()->Call(
        request->issuer.address, std::move(message), kCallLimit, PeerCallKind::kRepeatable);
    const LimitAnswer answer = DecodeLimitAnswer(reply.body);
    TokenGrant grant;
    grant.granted = static_cast<uint32_t>(std::min<uint64_t>(answer.granted, request->wanted));
    grant.is_issuer = answer.is_issuer;

    account->tokens.NoteAnswer(request->issuer.daemon, grant, request->wanted, sent, BootNow());
    request->answered = true;
    this->silent_until.erase(request->issuer.daemon);
    account->changed.NotifyAll();
  } catch (const PeerError& error) {
    Log(LogLevel::kDebug, "issuer did not answer",
        {{"peer", request->issuer.daemon}, {"cause", error.what()}});
    if (!error.sent) {
      this->cluster->relays().NoteLost(request->issuer);
    }
  }
}

Admission LimitService::Refuse(const std::string& organisation, Account* account) {
  const Organisation* found = this->cluster->routes().organisations
                                  ? this->cluster->routes().organisations->FindByName(organisation)
                                  : nullptr;
  if (found == nullptr) {
    return Admission("organisation " + organisation + " is not in the configuration");
  }
  ++account->refused;
  this->metrics->Add(Metric::kLimitRefusals, {organisation});
  this->LogRefusals(organisation, account, BootNow());
  const std::string limit = LimitText(found->rate);
  return Admission(account->unanswered
                       ? "no issuer that answers has a token of organisation " + organisation +
                             ", whose limit is " + limit
                       : "organisation " + organisation + " has reached its limit of " + limit);
}

void LimitService::LogRefusals(const std::string& organisation, Account* account, TimePoint now) {
  if (account->refused == 0 || now < account->next_log) {
    return;
  }
  const RouteTable& routes = this->cluster->routes();
  const Organisation* found =
      routes.organisations ? routes.organisations->FindByName(organisation) : nullptr;
  Log(LogLevel::kWarn, "operations refused: limit of the organisation",
      {{"organisation", organisation},
       {"count", account->refused},
       {"limit_per_s", found == nullptr ? 0.0 : found->rate},
       {"demand_here_per_s", account->tokens.Rate(now)},
       {"issuers", account->issuers.size()},
       {"issuer_without_answer", account->unanswered},
       {"config_version", routes.version}});
  account->refused = 0;
  account->next_log = now + kMaintenanceInterval;
}

// -----------------------------------------------------------------------------
// Issuer

asio::awaitable<PeerMessage> LimitService::HandleLimit(PeerMessage message) {
  const LimitRequest request = DecodeLimitRequest(message.body);
  this->Refresh();
  const auto wanted = static_cast<uint32_t>(std::min(request.wanted, kMaxWanted));
  const TokenGrant grant = this->issuer.Issue(request.organisation, wanted, BootNow());
  if (grant.granted > 0) {
    this->metrics->Add(Metric::kTokensIssued, {request.organisation}, grant.granted);
  }
  LimitAnswer answer;
  answer.granted = grant.granted;
  answer.is_issuer = grant.is_issuer;

  co_return PeerMessage(kLimitMessage, EncodeLimitAnswer(answer));
}

void LimitService::PublishFillLevels(TimePoint now) {
  std::set<std::string> current;
  this->issuer.VisitFillLevels(now, [&](const std::string& organisation, double level) {
    this->metrics->Set(Metric::kTokenFill, {organisation}, level);
    current.insert(organisation);
  });
  for (const std::string& organisation : this->published) {
    if (!current.contains(organisation)) {
      this->metrics->Remove(Metric::kTokenFill, {organisation});
    }
  }
  this->published = std::move(current);
}

asio::awaitable<void> LimitService::RunMaintenance() {
  for (;;) {
    const TimePoint now = BootNow();
    const size_t dropped = std::erase_if(
        this->announced, [now](const auto& entry) { return entry.second.second <= now; });
    this->announced_changed = this->announced_changed || dropped > 0;
    this->Refresh();
    this->PublishFillLevels(now);
    const RouteTable& routes = this->cluster->routes();
    std::erase_if(this->accounts, [&routes](const auto& entry) {
      const bool is_known =
          routes.organisations && routes.organisations->FindByName(entry.first) != nullptr;
      return !is_known && entry.second->waiting == 0 && !entry.second->asking;
    });
    for (const auto& [organisation, account] : this->accounts) {
      this->LogRefusals(organisation, account.get(), now);
    }
    if (this->permission.MustAnnounce(now) && routes.organisations && !this->announcing) {
      this->announcing = true;
      SpawnTask(this->executor, "announce this daemon as an issuer", this->Announce(),
                [this] { this->announcing = false; });
    }
    co_await Pause(kMaintenanceInterval);
  }
}

}  // namespace poplarmoor
