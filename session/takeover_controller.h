#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

#include "kernel/random.h"
#include "kernel/takeover_plan.h"
#include "session/connection_metrics.h"
#include "session/service_group.h"

namespace poplarmoor {

class Cluster;
class Metrics;
class ObjectStore;
class PromotionApi;

/// Monitors the endpoints, finds the primary of each group, and replaces a primary that is
/// unreachable, is leaving or no longer acknowledges commits.
class TakeoverController {
 public:
  /// @param cluster,store,promotions,metrics Must outlive this object.
  /// @param daemon Name of this daemon.
  TakeoverController(boost::asio::any_io_executor executor,
                     Cluster* cluster,
                     ObjectStore* store,
                     PromotionApi* promotions,
                     Metrics* metrics,
                     std::string daemon);

  void Start();

  /// Prevents this daemon from starting further takeovers.
  void Stop() { this->stopping = true; }

 private:
  // Copies an endpoint's report into a member's status.
  static void ApplyReport(const EndpointReport& report, MemberStatus* status);

  boost::asio::awaitable<void> Run();
  void CheckGroup(ServiceGroup* group);
  boost::asio::awaitable<void> ProbeEndpoint(ServiceGroup* group,
                                             std::shared_ptr<EndpointPool> pool);
  boost::asio::awaitable<void> FindPrimary(ServiceGroup* group);
  // Removes the departed members that later takeovers need not compare.
  boost::asio::awaitable<void> ReviewDepartures(ServiceGroup* group);
  // Writes the members of a group to the store's record when they have changed, if this daemon is
  // the one to do so.
  void CheckMemberRecord(ServiceGroup* group);
  boost::asio::awaitable<void> RecordMembers(ServiceGroup* group);
  // Runs a takeover and clears the group's `taking_over` when it has ended.
  boost::asio::awaitable<void> RunTakeover(ServiceGroup* group, TakeoverReason reason);
  boost::asio::awaitable<void> TryTakeover(ServiceGroup* group, TakeoverReason reason);
  boost::asio::awaitable<bool> ClaimTakeover(ServiceGroup* group, TakeoverReason reason);
  struct Takeover;
  // @returns Whether the takeover has to go on under a new claim: its order was refused, but an
  //     earlier one may still be carried out.
  boost::asio::awaitable<bool> RunTakeoverSteps(ServiceGroup* group,
                                                TakeoverReason reason,
                                                TakeoverClaim held);
  enum class PromotionResult;
  // Records the promotion of an endpoint in the store, orders it and waits until the endpoint
  // leads.
  boost::asio::awaitable<PromotionResult> Promote(std::shared_ptr<Takeover> takeover,
                                                  std::string endpoint);
  boost::asio::awaitable<PromotionResult> OrderPromotion(std::shared_ptr<Takeover> takeover,
                                                         std::string endpoint);
  // Records that only the last ordered promotion has taken place or may do so, once its endpoint
  // leads and the earlier ones cannot take place any more.
  boost::asio::awaitable<void> ForgetEarlierOrders(std::shared_ptr<Takeover> takeover);
  // Asks the candidate for its log before an order is sent: an endpoint that has started again
  // without its log must not be promoted.
  // @returns Whether it has shown its log.
  boost::asio::awaitable<bool> HasLog(OrderedPromotion promotion);
  // Waits until the endpoint whose promotion was accepted leads.
  boost::asio::awaitable<void> AwaitPromotion(ServiceGroup* group, std::string endpoint);
  // Pauses the replicas that join or restart until the promotion has ended.
  boost::asio::awaitable<void> GuardPromotion(std::shared_ptr<Takeover> takeover,
                                              std::string candidate);
  boost::asio::awaitable<void> AbandonTakeover(std::shared_ptr<Takeover> takeover);
  // Sends a pause or step-down order to a member and copies its answer into the view.
  // @returns Whether the member answered.
  boost::asio::awaitable<bool> OrderMember(ServiceGroup* group,
                                           TakeoverStep step,
                                           TakeoverView* view);
  // Whether the view describes exactly the present members of the group. Members join and leave
  // while their statuses are collected and while orders are sent.
  static bool IsCurrent(const TakeoverView& view, const ServiceGroup& group);
  // Reads a service's newest claim from the store.
  boost::asio::awaitable<void> ReadClaim(ServiceGroup* group);
  // Writes this daemon's takeover claim to the store if the store still has the revision that this
  // daemon knows. If the answer is lost, reads the claim back.
  // @returns The claim's new revision; number 0 when it was not stored. Then another daemon's claim
  //     is applied if the store has one.
  boost::asio::awaitable<StoreRevision> StoreClaim(TakeoverClaim claim,
                                                   uint64_t expected,
                                                   std::string* cause);
  // Writes the takeover claim's new phase and ordered promotions to the store, where the other
  // daemons read it.
  // @returns Whether the store has accepted it, which shows that no other daemon has claimed the
  //     takeover meanwhile.
  boost::asio::awaitable<bool> PublishPhase(ServiceGroup* group,
                                            TakeoverPhase phase,
                                            std::vector<OrderedPromotion> ordered);

  struct StatusRound;
  boost::asio::awaitable<void> QueryStatus(std::shared_ptr<StatusRound> round,
                                           size_t index,
                                           Duration timeout,
                                           bool fresh);
  boost::asio::awaitable<std::vector<MemberStatus>> CollectStatuses(ServiceGroup* group,
                                                                    Duration timeout);
  bool IsClaimed(const ServiceGroup& group) const;

  boost::asio::any_io_executor executor;
  Cluster* cluster;
  ObjectStore* store;
  PromotionApi* promotions;
  Metrics* metrics;
  ConnectionMetrics connection_metrics;
  std::string daemon;
  RandomEngine random;
  bool stopping = false;
};

}  // namespace poplarmoor
