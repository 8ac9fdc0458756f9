#pragma once

#include <utility>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/cluster_operations.h"
#include "daemon/cluster_view.h"
#include "daemon/control_state.h"
#include "daemon/endpoint_control.h"
#include "net/peer_network.h"

namespace poplarmoor {

class EndpointDriver;
class PlatformClient;
class PlatformWatcher;
struct DaemonSettings;

/// Control plane of one daemon. ControlState makes the decisions; this class performs the I/O that
/// they require: gossip, the distribution of configuration, probes of endpoints, promotions and
/// calls to the platform. Thread-safe.
class ControlPlane : public ClusterView,
                     public ClusterOperations,
                     public std::enable_shared_from_this<ControlPlane> {
 public:
  /// @param executor Executor of the I/O threads.
  /// @param settings Settings of the daemon; their `listen.peers` is the address at which other
  ///     daemons call this one.
  /// @param platform Client of the platform; must outlive this object.
  /// @param peers Network to the other daemons; must outlive this object.
  /// @param driver Opens connections to endpoints.
  ControlPlane(boost::asio::any_io_executor executor,
               const DaemonSettings& settings,
               PlatformClient* platform,
               PeerNetwork* peers,
               std::unique_ptr<EndpointDriver> driver);
  ~ControlPlane() override;

  /// Registers the handlers of control messages with the peer network. Call before
  /// PeerNetwork::Listen().
  void SetHandlers();

  /// Starts the periodic work: gossip, probes of endpoints, and reading changes from the platform.
  void Start();

  /// Announces to the other daemons that this daemon is leaving, so that they take over its
  /// endpoints.
  void Leave();

  /// Announces to the other daemons that this daemon stops now, and ends all periodic work.
  void Stop();

  std::vector<PeerInfo> OwnersOf(const EndpointInfo& endpoint) const override;
  std::optional<GroupState> FindGroup(const std::string& service) const override;
  std::optional<ServiceSettings> FindSettings(const std::string& service,
                                              const std::string& site) const override;
  std::vector<std::string> ServiceNames() const override;
  void ReportSuspicion(const std::string& service, const std::string& endpoint) override;
  void ReportHigherTerm(const std::string& service, uint64_t term) override;

  std::vector<Member> Members() const override;
  uint64_t ConfigRevision() const override;
  std::string ConfigDigest() const override;
  std::string ConfigJson() const override;
  boost::asio::awaitable<void> Drain(std::string endpoint) override;
  boost::asio::awaitable<void> Promote(std::string service) override;

 private:
  using Handler = boost::asio::awaitable<PeerMessage> (ControlPlane::*)(std::string, PeerMessage);
  using Coroutine = boost::asio::awaitable<void>;

  void SetHandler(const std::string& type, Handler handler);
  boost::asio::awaitable<PeerMessage> HandleGossip(std::string from, PeerMessage message);
  boost::asio::awaitable<PeerMessage> HandleConfig(std::string from, PeerMessage message);
  boost::asio::awaitable<PeerMessage> HandleSuspect(std::string from, PeerMessage message);
  boost::asio::awaitable<PeerMessage> HandlePromote(std::string from, PeerMessage message);
  boost::asio::awaitable<PeerMessage> HandleObserve(std::string from, PeerMessage message);

  Coroutine TickLoop();
  void Perform(ControlWork work);
  void Perform(const std::string& service, const DetectorAction& action);
  void Perform(const std::string& service, const FailoverAction& action);
  void OnGroup(const std::string& service, const std::function<void(GroupControl&)>& event);
  Coroutine SendGossip(std::string address, std::vector<GossipMessage> messages);
  Coroutine SendConfig(std::string address, std::vector<ConfigMessage> messages);
  Coroutine CallMonitor(std::string address, PeerMessage message);
  Coroutine Probe(std::string service, std::string endpoint, std::string address, bool fresh);
  Coroutine AskObserver(std::string service,
                        std::string endpoint,
                        std::string address,
                        size_t attempt);
  Coroutine WriteGroup(std::string service, FailoverAction action);
  Coroutine ReadGroup(std::string service, uint64_t call);
  Coroutine CallEndpoint(std::string service, FailoverAction action);
  void Announce(const GroupState& group);
  void CallMonitors(const std::string& type,
                    const std::string& service,
                    const std::string& endpoint);
  void OnHigherTerm(const std::string& service, uint64_t term);

  /// Limits how often this daemon reports an unresponsive endpoint or a service's higher term.
  /// @param key Text that identifies the endpoint or the service.
  /// @returns Whether the report may be sent now; true at most once per kMinReportInterval and key.
  bool IsReportDue(const std::string& key);
  void Spawn(std::function<Coroutine(ControlPlane*)> make_coroutine);

  boost::asio::any_io_executor executor;
  std::string daemon;
  PlatformClient* platform;
  PeerNetwork* peers;
  std::unique_ptr<EndpointDriver> driver;
  EndpointControl endpoints;
  ControlState control;
  std::shared_ptr<PlatformWatcher> watcher;
  std::atomic<bool> stopped{false};
  std::mutex mutex;  // Guards `report_times`.

  // Time of the latest report about each endpoint and service, by the key that IsReportDue() takes.
  std::map<std::string, TimePoint> report_times;
};

}  // namespace poplarmoor
