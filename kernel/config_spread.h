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

/// Limits of the spread of configuration.
struct ConfigSpreadOptions {
  size_t fanout = 3;                      // Random peers that get a new unit.
  Duration repair_interval = 500ms;       // Least time between two repairs that this daemon starts.
  size_t max_bytes = size_t{256} * 1024;  // Of the units or versions in one message.
};

/// Spreads configuration units among daemons: new units are pushed to random peers, which forward
/// them, and a difference of the configuration hashes in gossip messages starts a repair.
class ConfigSpread {
 public:
  /// @param daemon Name of this daemon.
  /// @param address Address of its peer listener.
  /// @param options Limits.
  /// @param store Store that accepted units go to; must outlive the object.
  ConfigSpread(std::string daemon,
               std::string address,
               ConfigSpreadOptions options,
               ConfigStore* store);

  /// Takes over units that this daemon read from the platform or wrote there.
  /// @param units Units of any version.
  /// @param peers Random live peers, at least options.fanout if there are as many.
  /// @returns The units that were accepted.
  std::vector<ConfigUnit> Publish(const std::vector<ConfigUnit>& units,
                                  const std::vector<Member>& peers);

  /// Handles a message of another daemon.
  /// @param message Message.
  /// @param peers Random live peers that new units are forwarded to.
  /// @returns The units that were accepted.
  std::vector<ConfigUnit> Receive(const ConfigMessage& message, const std::vector<Member>& peers);

  /// Compares the configuration hash of a peer, as a gossip message carried it.
  void ComparePeer(const Member& peer, uint64_t hash, TimePoint now);

  /// @returns Messages to send; handed out once.
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
