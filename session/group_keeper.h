#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

#include "kernel/random.h"
#include "kernel/takeover_plan.h"
#include "session/service_group.h"

namespace poplarmoor {

class Cluster;
class Metrics;
class ObjectStore;
class PromotionApi;

/// Watches the endpoints, finds primaries and replaces those that are lost or leave.
class GroupKeeper {
 public:
  /// @param cluster,store,promotions,metrics Must outlive this object.
  /// @param daemon Name of this daemon.
  GroupKeeper(boost::asio::any_io_executor executor,
              Cluster* cluster,
              ObjectStore* store,
              PromotionApi* promotions,
              Metrics* metrics,
              std::string daemon);

  void Start();

  /// Takes no further takeovers on.
  void Stop() { this->stopping = true; }

 private:
  // Enters what an endpoint reports into a member's status.
  static void EnterReport(const EndpointReport& report, MemberStatus* status);

  boost::asio::awaitable<void> Run();
  void Check(ServiceGroup* group);
  boost::asio::awaitable<void> Probe(ServiceGroup* group, std::shared_ptr<EndpointPool> pool);
  boost::asio::awaitable<void> Seek(ServiceGroup* group);
  boost::asio::awaitable<void> TakeOver(ServiceGroup* group, TakeoverReason reason);
  boost::asio::awaitable<bool> Claim(ServiceGroup* group, TakeoverReason reason);
  boost::asio::awaitable<void> Compare(ServiceGroup* group, TakeoverReason reason, uint64_t token);
  boost::asio::awaitable<bool> Promote(ServiceGroup* group, std::string endpoint, uint64_t token);
  boost::asio::awaitable<void> Abandon(ServiceGroup* group,
                                       std::vector<std::string> paused,
                                       uint64_t term);
  // Carries out a pause or step-down and enters the member's answer into the view.
  // @returns Whether the member answered.
  boost::asio::awaitable<bool> OrderMember(ServiceGroup* group,
                                           TakeoverStep step,
                                           TakeoverView* view);
  // Stores the claim's new phase, so that the other daemons know of it.
  boost::asio::awaitable<void> Announce(ServiceGroup* group,
                                        TakeoverPhase phase,
                                        std::string endpoint);

  struct StatusRound;
  boost::asio::awaitable<void> Ask(std::shared_ptr<StatusRound> round,
                                   size_t place,
                                   Duration limit,
                                   bool fresh);
  boost::asio::awaitable<std::vector<MemberStatus>> Statuses(ServiceGroup* group, Duration limit);
  bool IsClaimed(const ServiceGroup& group) const;
  void Spawn(boost::asio::awaitable<void> work);

  boost::asio::any_io_executor executor;
  Cluster* cluster;
  ObjectStore* store;
  PromotionApi* promotions;
  Metrics* metrics;
  std::string daemon;
  RandomEngine random;
  bool stopping = false;
};

}  // namespace poplarmoor
