#include "session/session_server.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <stdexcept>

#include "net/address.h"
#include "session/background_task.h"
#include "session/caller_session.h"
#include "session/cluster.h"
#include "session/wait_list.h"
#include "telemetry/close_reporter.h"
#include "telemetry/log.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

// Pause after a failed attempt to accept a connection, for example when no file descriptor is free.
constexpr Duration kAcceptRetry = 50ms;

}  // namespace

SessionServer::SessionServer(asio::any_io_executor executor,
                             Cluster* cluster,
                             StatementRunner* runner,
                             const SessionCodec* codec,
                             size_t memory)
    : executor(executor),
      cluster(cluster),
      runner(runner),
      codec(codec),
      limits(std::make_shared<CallerLimits>(memory)),
      acceptor(executor) {
  cluster->access().OnChange([this] { this->EndWithdrawnTransactions(); });
}

void SessionServer::Listen(const std::string& address, size_t max_sessions) {
  const auto endpoint = ParseAddress(address);
  try {
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
  } catch (const boost::system::system_error& error) {
    throw std::runtime_error("cannot listen on " + address + ": " + error.what());
  }
  SpawnService(this->executor, "accept callers",
               [this, max_sessions] { return this->Accept(max_sessions); });
}

asio::awaitable<void> SessionServer::Accept(size_t max_sessions) {
  while (this->acceptor.is_open()) {
    boost::system::error_code error;
    auto socket =
        co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      Log(LogLevel::kWarn, "could not accept a caller's connection", {{"cause", error.message()}});
      co_await Pause(kAcceptRetry);
      continue;
    }
    if (!this->acceptor.is_open()) {
      co_return;  // Drain() came between the connection and this line.
    }
    if (this->sessions.size() >= max_sessions) {
      const auto endpoint = socket.remote_endpoint(error);
      if (this->limits->closes != nullptr) {
        this->limits->closes->Report("callers", CloseReason::kTooManyConnections,
                                     error ? "" : FormatAddress(endpoint));
      }
      if (!this->CloseUnopenedSession()) {
        continue;  // The destructor of `socket` closes the connection.
      }
    }
    const uint64_t number = this->next_number++;
    auto session =
        std::make_shared<CallerSession>(std::move(socket), number, this->cluster, this->runner,
                                        this->codec, this->limits, this->limit_service);
    this->sessions.emplace(number, session);
    SpawnTask(this->executor, "caller session", session->Serve(),
              [this, number] { this->sessions.erase(number); });
  }
}

bool SessionServer::CloseUnopenedSession() {
  // The sessions are in the order of their arrival.
  for (const auto& [number, session] : this->sessions) {
    if (session->CloseUnopened()) {
      return true;
    }
  }
  return false;
}

void SessionServer::Drain(TimePoint answer_by) {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  for (const auto& [number, session] : this->sessions) {
    session->Drain(answer_by);
  }
}

void SessionServer::EndTransactions() {
  for (const auto& [number, session] : this->sessions) {
    session->EndTransactions();
  }
}

void SessionServer::EndWithdrawnTransactions() {
  for (const auto& [number, session] : this->sessions) {
    session->EndWithdrawnTransaction();
  }
}

}  // namespace poplarmoor
