#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kernel/organisation/issuer_permission.h"
#include "kernel/organisation/issuer_plan.h"
#include "kernel/organisation/token_issuer.h"
#include "session/organisation/admission.h"
#include "session/process_settings.h"

namespace poplarmoor {

class Cluster;
class Metrics;
class PeerNetwork;
struct PeerMessage;

/// Type of the message that asks an issuer for tokens of an organisation.
inline constexpr char kLimitMessage[] = "limit";
/// Type of the message by which a new daemon tells another one that it will issue tokens.
inline constexpr char kIssuerJoinedMessage[] = "issuer_joined";

/// Enforces the limits of the organisations: each operation of an organisation takes one token. A
/// few daemons, the organisation's issuers, issue the tokens; the entry daemons ask them. Not
/// thread-safe; use it on the I/O thread only.
class LimitService {
 public:
  /// @param cluster,metrics Must outlive this object.
  /// @param settings Settings of this daemon.
  LimitService(boost::asio::any_io_executor executor,
               Cluster* cluster,
               Metrics* metrics,
               const ProcessSettings& settings);
  ~LimitService();

  /// Registers the handlers that answer other daemons.
  void Attach(PeerNetwork* network);

  /// Starts the regular work: announcements, metrics and log lines.
  void Start();

  /// Ends the issuing of tokens for good, because the daemon stops. The daemon's own operations
  /// still get tokens from other issuers.
  void Stop();

  /// Records a write of this daemon's entry in the store.
  void NoteEntryWritten(EntryWrite write);

  /// @param organisation Organisation of a session; empty: none.
  /// @returns Whether the session's operations need tokens.
  bool IsLimited(const std::string& organisation) const;

  /// Takes a token for one operation. Waits for other daemons' answers for at most 50 ms.
  /// @param organisation Organisation whose operations are limited.
  /// @param deadline Time by which the result is needed.
  boost::asio::awaitable<Admission> Admit(std::string organisation, TimePoint deadline);

  /// Returns the token of an operation that has certainly not reached an endpoint that ran it.
  void Return(const std::string& organisation, const Admission& admission);

  /// @returns Whether this daemon may issue tokens now.
  bool MayIssue() const;

 private:
  struct Account;
  struct Request;
  struct Announcement;

  // Follows the list of daemons, the configuration and the permission to issue.
  void Refresh();
  std::vector<Peer> ListDaemons();
  std::shared_ptr<Account> AccountOf(const std::string& organisation);
  // Issuers other than this daemon that may have a token, nearest first.
  std::vector<Peer> IssuersToAsk(const std::string& organisation, Account* account);
  bool IssueOwn(const std::string& organisation, TimePoint now);
  // Asks the issuers, one after the other, until there are enough tokens for all waiting
  // operations.
  boost::asio::awaitable<void> RunRound(std::string organisation, std::shared_ptr<Account> account);
  boost::asio::awaitable<void> Ask(std::string organisation,
                                   std::shared_ptr<Account> account,
                                   std::shared_ptr<Request> request);
  Admission Refuse(const std::string& organisation, Account* account);
  void LogRefusals(const std::string& organisation, Account* account, TimePoint now);
  boost::asio::awaitable<PeerMessage> HandleLimit(PeerMessage message);
  boost::asio::awaitable<PeerMessage> HandleIssuerJoined(PeerMessage message);
  boost::asio::awaitable<void> RunMaintenance();
  boost::asio::awaitable<void> Announce();
  // Calls the remaining daemons of an announcement, several at the same time.
  boost::asio::awaitable<void> RunAnnouncements(std::shared_ptr<Announcement> announcement);
  boost::asio::awaitable<void> AnnounceTo(std::shared_ptr<Announcement> announcement);
  void PublishFillLevels(TimePoint now);

  boost::asio::any_io_executor executor;
  Cluster* cluster;
  Metrics* metrics;
  Peer self;
  std::map<std::string, std::string> regions;
  bool first_fleet_start;
  IssuerPermission permission;
  IssuerPlan plan;
  TokenIssuer issuer;
  std::map<std::string, std::shared_ptr<Account>> accounts;  // By organisation.
  // Daemons that announced themselves, with the time until which they are added to the listed ones.
  std::map<std::string, std::pair<Peer, TimePoint>> announced;
  // Issuers that have left a call unanswered, with the time until which they are not asked.
  std::map<std::string, TimePoint> silent_until;
  std::set<std::string> published;  // Organisations whose fill level is published.
  // State for which `plan` and `issuer` were computed.
  uint64_t plan_generation = 0;
  uint64_t config_version = 0;
  bool announced_changed = true;
  bool issuing = false;
  uint64_t plan_version = 0;  // Number of changes of `plan`.
  bool announcing = false;
};

}  // namespace poplarmoor
