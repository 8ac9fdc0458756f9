#pragma once

#include <string>

#include "kernel/endpoint_record.h"
#include "session/endpoint_channel.h"

namespace poplarmoor {

class RelayRouter;

/// A connection of a gateway to an endpoint.
class RelayChannel : public EndpointChannel {
 public:
  /// @param router Must outlive this object.
  /// @param lease Unique number in the fleet.
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
  std::string gateway;  // Address; empty until the first statement.
  bool holds_connection = false;
};

}  // namespace poplarmoor
