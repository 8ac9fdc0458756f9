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
  /// @param reaches_endpoint Whether this daemon itself may send statements to the endpoint.
  RelayChannel(RelayRouter* router,
               EndpointRecord endpoint,
               uint64_t lease,
               int rank,
               bool transaction,
               bool reaches_endpoint);

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
  bool reaches_endpoint;
  bool open = true;
  // Address of the gateway that runs the transaction; empty before the first answer.
  std::string gateway;
  bool holds_connection = false;  // `gateway` keeps a connection for the open transaction.
};

}  // namespace poplarmoor
