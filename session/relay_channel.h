#pragma once

#include <string>

#include "kernel/endpoint_record.h"
#include "session/endpoint_channel.h"

namespace poplarmoor {

class RelayRouter;

/// Channel to an endpoint over a connection of a gateway, which is another daemon that relays
/// statements.
class RelayChannel : public EndpointChannel {
 public:
  /// @param router Must outlive this object.
  /// @param lease Number that identifies the channel at the gateway; unique in the fleet.
  RelayChannel(RelayRouter* router,
               EndpointRecord endpoint,
               uint64_t lease,
               int rank,
               bool transaction);

  boost::asio::awaitable<StatementAttempt> Run(const StatementSpec& spec,
                                               const SessionState& state,
                                               Duration limit) override;
  boost::asio::awaitable<void> RollBack() override;
  bool IsReusable() override { return false; }
  bool is_open() const override { return this->open; }
  void Close() override { this->open = false; }

 private:
  RelayRouter* router;
  EndpointRecord endpoint;
  uint64_t lease;
  int rank;
  bool transaction;
  bool open = true;
  std::string gateway;  // Address of the transaction's gateway; empty before the first answer.
  bool holds_connection = false;  // The gateway keeps a connection for the transaction.
};

}  // namespace poplarmoor
