#pragma once

#include <memory>

#include "session/endpoint_channel.h"
#include "session/endpoint_session.h"

namespace poplarmoor {

/// Channel over one of this daemon's own connections to an endpoint.
class DirectChannel : public EndpointChannel {
 public:
  /// @param session Open connection to the endpoint.
  /// @param codec Session protocol; must outlive this object.
  DirectChannel(std::unique_ptr<EndpointSession> session, const SessionCodec* codec);

  boost::asio::awaitable<StatementAttempt> Run(const StatementSpec& spec,
                                               const SessionState& state,
                                               Duration limit) override;
  boost::asio::awaitable<void> RollBack() override;
  bool IsReusable() override { return this->session->IsReusable(); }
  bool is_open() const override { return this->session->is_open(); }
  void Close() override { this->session->Close(); }

  /// @returns The connection; administrative orders are sent over it.
  EndpointSession& connection() { return *this->session; }

 private:
  // Sends the session values and the prepared statement that the connection lacks, and opens a
  // transaction if `spec` asks for one. On failure, stores the cause in `attempt`.
  // @returns Whether the connection is ready for the statement.
  boost::asio::awaitable<bool> Prepare(const StatementSpec& spec,
                                       const SessionState& state,
                                       Duration limit,
                                       StatementAttempt* attempt);

  std::unique_ptr<EndpointSession> session;
  const SessionCodec* codec;
  ConnectionState connection_state;  // Session values and prepared statements of the connection.
};

}  // namespace poplarmoor
