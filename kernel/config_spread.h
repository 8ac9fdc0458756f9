#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "kernel/config_message.h"
#include "kernel/config_store.h"
#include "kernel/member.h"
#include "kernel/time.h"

namespace poplarmoor {

/// Limits of configuration distribution between daemons.
struct ConfigSpreadOptions {
  size_t fanout = 3;  // Number of random peers to which this daemon sends each new unit.
  Duration repair_interval = 500ms;  // Minimum time between two repairs started by this daemon.
  // Approximate maximum size of the units or versions in one message, in bytes.
  size_t max_bytes = size_t{256} * 1024;
};

/// Distributes configuration units among daemons. New units are pushed to random peers, which
/// forward them. A peer whose gossip message carries a different configuration hash triggers a
/// repair, which exchanges the units that differ.
class ConfigSpread {
 public:
  /// @param daemon Name of this daemon.
  /// @param address Address of this daemon's peer listener, "IP:port".
  /// @param options Limits of pushes and repairs.
  /// @param store Store that accepted units are written to; must outlive this object.
  ConfigSpread(std::string daemon,
               std::string address,
               ConfigSpreadOptions options,
               ConfigStore* store);

  /// Stores units that this daemon read from or wrote to the platform, and pushes them to peers.
  /// @param units Units of any version; a unit that is not newer than the stored one is ignored.
  /// @param peers Random live peers, at least options.fanout if that many exist.
  /// @returns The units that were accepted.
  std::vector<ConfigUnit> Publish(const std::vector<ConfigUnit>& units,
                                  const std::vector<Member>& peers);

  /// Handles a message from another daemon.
  /// @param peers Random live peers that new units are forwarded to.
  /// @returns The units that were accepted.
  std::vector<ConfigUnit> Receive(const ConfigMessage& message, const std::vector<Member>& peers);

  /// Starts a repair with a peer whose configuration hash differs from that of this daemon's store,
  /// unless the last repair started less than options.repair_interval ago.
  /// @param peer Sender of a gossip message.
  /// @param hash Configuration hash in that message.
  void RepairIfDifferent(const Member& peer, uint64_t hash, TimePoint now);

  /// @returns Queued messages to send; each is returned once.
  std::vector<ConfigEnvelope> TakeOutgoing();

 private:
  ConfigMessage MakeMessage(ConfigMessageKind kind) const;
  void Send(const std::string& daemon, const std::string& address, ConfigMessage message);
  void Forward(const std::vector<ConfigUnit>& units,
               const std::vector<Member>& peers,
               const std::string& except);
  void SendSummary(const std::string& daemon, const std::string& address);
  void AnswerSummary(const ConfigMessage& message);
  void AnswerVersions(const ConfigMessage& message);
  ConfigMessage PackUnits(const std::vector<UnitVersion>& versions) const;

  std::string daemon;
  std::string address;
  ConfigSpreadOptions options;
  ConfigStore* store;
  TimePoint next_repair;
  std::vector<ConfigEnvelope> outgoing;
};

}  // namespace poplarmoor
