#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <set>
#include <string>
#include <vector>

#include "kernel/placement/gateway_plan.h"
#include "kernel/time.h"

namespace poplarmoor {

class Cluster;
class PeerNetwork;
class StatementRunner;
struct PeerMessage;
struct PositionEvidence;

/// @param now Time at which the ages are taken.
/// @returns The newest log position that this daemon knows of each service's primary.
std::vector<PositionEvidence> CollectEvidence(Cluster* cluster, TimePoint now);

/// Records log positions that another daemon knows of.
/// @param answered A time at which the other daemon had not sent its answer yet, as late as is
///     certain: the answer's ages count back from it.
void RecordEvidence(Cluster* cluster,
                    const std::vector<PositionEvidence>& evidence,
                    TimePoint answered);

/// Spreads the log positions of all primaries among the daemons of a large fleet. Each of these
/// daemons runs too few statements of a service to know a recent position itself, and without one a
/// read that a replica could serve has to run at the primary. The lead watcher of each failure
/// domain reads the positions of the primaries in its domain, all watchers read them from the lead
/// watchers, and the other daemons get them with the changes of the store.
class EvidenceExchange {
 public:
  /// @param cluster,runner Must outlive this object.
  EvidenceExchange(boost::asio::any_io_executor executor, Cluster* cluster, StatementRunner* runner)
      : executor(std::move(executor)), cluster(cluster), runner(runner) {}

  /// Registers the handler that answers other watchers.
  void Attach(PeerNetwork* network);

  /// Starts to read positions while this daemon is a watcher.
  void Start();

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> ReadFrom(Peer source);
  boost::asio::awaitable<PeerMessage> Answer();
  void RefreshOwnDomain();
  // Lets the primaries of a failure domain be probed after the domain's lead watcher has not
  // answered: the domain may be cut off, and the watchers may have no statement at a primary there
  // for seconds. Only lead watchers do this, to keep the number of probes small.
  void SuspectPrimaries(const std::string& failure_domain);
  bool IsLead() const;

  boost::asio::any_io_executor executor;
  Cluster* cluster;
  StatementRunner* runner;
  std::set<std::string> reading;  // Daemons from which positions are being read.
};

}  // namespace poplarmoor
