#include "net/http_endpoint_connection.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "net/http_message.h"
#include "wire/codec_error.h"
#include "wire/endpoint_codec.h"

namespace poplarmoor {

namespace asio = boost::asio;

namespace {

std::chrono::milliseconds ToTimeout(Duration timeout) {
  // Rounds up to whole milliseconds: 0 ms would fail an exchange that still has time left.
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(timeout),
                  std::chrono::milliseconds(1));
}

HttpRequest MakeRequest(const char* operation, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.target = std::string("/v1/") + operation;
  request.body = std::move(body);
  return request;
}

/// Builds the HTTP request that asks the endpoint to run the operation `request.operation`, for
/// example a statement or a commit.
HttpRequest EncodeOperation(const StatementRequest& request, uint64_t term) {
  switch (request.operation) {
    case Operation::kRead:
    case Operation::kWrite:
      return MakeRequest("execute", EncodeExecute(request, term, false));
    case Operation::kTransactionRead:
    case Operation::kTransactionWrite:
      return MakeRequest("execute", EncodeExecute(request, term, true));
    case Operation::kBegin:
      return MakeRequest("begin", EncodeEndpointOperation(request.request_id, term));
    case Operation::kCommit:
      return MakeRequest("commit", EncodeEndpointOperation(request.request_id, term));
    case Operation::kRollback:
      return MakeRequest("rollback", EncodeEndpointOperation(request.request_id, term));
    case Operation::kOutcome:
      return MakeRequest("outcome", EncodeEndpointOperation(request.request_id, term));
  }
  throw std::logic_error("unknown operation");
}

EndpointReply MakeFailure(Verdict verdict, Reason reason, const std::string& message) {
  EndpointReply reply;
  reply.result.verdict = verdict;
  reply.result.reason = reason;
  reply.result.message = message;
  return reply;
}

/// Maps a complete answer of the endpoint to a verdict.
EndpointReply ToReply(Operation operation, EndpointAnswer answer) {
  EndpointReply reply;
  StatementResult& result = reply.result;
  reply.usable = true;
  result.endpoint = answer.endpoint.endpoint;
  result.from_primary = answer.endpoint.is_primary;
  result.status = answer.endpoint;
  if (answer.status == AnswerStatus::kOk) {
    result.verdict = Verdict::kRan;
    result.position = answer.position;
    result.result = operation == Operation::kOutcome ? (answer.found ? "true" : "false")
                                                     : std::move(answer.result);
    return reply;
  }
  result.reason = answer.reason == Reason::kNone ? Reason::kInternal : answer.reason;
  result.message = answer.message.empty()
                       ? "endpoint " + result.endpoint + " answered " + answer.reason_text
                       : answer.message;
  // A refused operation or an erroneous statement changes nothing at the endpoint. After any other
  // error it is unknown how much of the statement ran.
  const bool ran_nothing =
      answer.status == AnswerStatus::kRefused || result.reason == Reason::kBadRequest;
  result.verdict = ran_nothing ? Verdict::kNotRun : Verdict::kMayHaveRun;
  reply.usable = ran_nothing;
  return reply;
}

}  // namespace

HttpEndpointConnection::HttpEndpointConnection(asio::any_io_executor strand,
                                               const std::string& address,
                                               std::shared_ptr<TrafficCounter> control_traffic)
    : strand(strand), control_traffic(std::move(control_traffic)), connection(strand, address) {}

asio::awaitable<void> HttpEndpointConnection::ConnectOnStrand(Duration timeout) {
  co_await this->connection.Connect(ToTimeout(timeout));
}

asio::awaitable<StatementResult> HttpEndpointConnection::OpenControl(Duration timeout) {
  const auto self = this->shared_from_this();
  StatementResult result;
  this->connection.CountTraffic(this->control_traffic);
  try {
    co_await asio::co_spawn(this->strand, this->ConnectOnStrand(timeout), asio::use_awaitable);
    result.verdict = Verdict::kRan;
  } catch (const std::exception& error) {
    result.reason = Reason::kConnectFailed;
    result.message = error.what();
  }
  co_return result;
}

asio::awaitable<StatementResult> HttpEndpointConnection::Open(Duration timeout) {
  const auto self = this->shared_from_this();
  StatementResult result = co_await this->OpenControl(timeout);
  if (result.verdict != Verdict::kRan) {
    co_return result;
  }
  this->connection.CountTraffic(nullptr);
  try {
    const EndpointAnswer answer = co_await this->Control("connect", "{}", timeout);
    if (answer.status == AnswerStatus::kOk) {
      co_return result;
    }
    result.reason = answer.reason == Reason::kNone ? Reason::kConnectFailed : answer.reason;
    result.message =
        "endpoint " + answer.endpoint.endpoint + " refused the connection: " + answer.reason_text;
  } catch (const std::exception& error) {
    result.reason = Reason::kConnectFailed;
    result.message = error.what();
  }
  result.verdict = Verdict::kNotRun;
  this->Close();
  co_return result;
}

asio::awaitable<EndpointReply> HttpEndpointConnection::Run(const StatementRequest& request,
                                                           uint64_t term,
                                                           Duration timeout) {
  const auto self = this->shared_from_this();
  co_return co_await asio::co_spawn(this->strand, this->RunOnStrand(request, term, timeout),
                                    asio::use_awaitable);
}

asio::awaitable<EndpointReply> HttpEndpointConnection::RunOnStrand(const StatementRequest& request,
                                                                   uint64_t term,
                                                                   Duration timeout) {
  if (!this->connection.is_open()) {
    co_return MakeFailure(Verdict::kNotRun, Reason::kConnectFailed, "the connection was closed");
  }
  HttpResponse response;
  try {
    response =
        co_await this->connection.Exchange(EncodeOperation(request, term), ToTimeout(timeout));
  } catch (const HttpError& error) {
    EndpointReply reply = MakeFailure(error.sent ? Verdict::kMayHaveRun : Verdict::kNotRun,
                                      error.timeout ? Reason::kTimeout
                                      : error.sent  ? Reason::kConnectionLost
                                                    : Reason::kConnectFailed,
                                      error.what());
    reply.timed_out = error.timeout;
    co_return reply;
  }
  constexpr unsigned kPayloadTooLarge = 413;
  if (response.status == kPayloadTooLarge) {
    this->connection.Close();
    co_return MakeFailure(Verdict::kNotRun, Reason::kBadRequest,
                          "the statement is too large for the endpoint");
  }
  EndpointReply reply;
  try {
    EndpointAnswer answer = DecodeEndpointAnswer(response.body);
    if (answer.request_id != request.request_id) {
      this->connection.Close();
      co_return MakeFailure(
          Verdict::kMayHaveRun, Reason::kConnectionLost,
          "the endpoint's answer belongs to another request: " + answer.request_id);
    }
    reply = ToReply(request.operation, std::move(answer));
  } catch (const CodecError& error) {
    this->connection.Close();
    co_return MakeFailure(Verdict::kMayHaveRun, Reason::kInternal,
                          std::string("malformed answer from the endpoint: ") + error.what());
  }
  if (!reply.usable) {
    this->connection.Close();
  }
  reply.usable = reply.usable && this->connection.is_open();
  co_return reply;
}

asio::awaitable<EndpointAnswer> HttpEndpointConnection::Control(const char* operation,
                                                                std::string body,
                                                                Duration timeout) {
  const auto self = this->shared_from_this();
  const HttpRequest request = MakeRequest(operation, std::move(body));
  const HttpResponse response = co_await asio::co_spawn(
      this->strand, this->connection.Exchange(request, ToTimeout(timeout)), asio::use_awaitable);
  co_return DecodeEndpointAnswer(response.body);
}

asio::awaitable<EndpointAnswer> HttpEndpointConnection::Status(uint64_t wait_index,
                                                               Duration wait,
                                                               Duration timeout) {
  return this->Control("status", EncodeStatusPoll(wait_index, wait), timeout);
}

asio::awaitable<EndpointAnswer> HttpEndpointConnection::Fence(uint64_t term,
                                                              std::string proposer,
                                                              Duration timeout) {
  return this->Control("fence", EncodeFence(term, proposer), timeout);
}

asio::awaitable<EndpointAnswer> HttpEndpointConnection::Promote(uint64_t term,
                                                                std::string proposer,
                                                                uint64_t start_index,
                                                                Duration timeout) {
  return this->Control("promote", EncodePromote(term, proposer, start_index), timeout);
}

asio::awaitable<EndpointAnswer> HttpEndpointConnection::Follow(uint64_t term,
                                                               std::string primary,
                                                               std::string address,
                                                               Duration timeout) {
  return this->Control("follow", EncodeFollow(term, primary, address), timeout);
}

void HttpEndpointConnection::Close() {
  asio::dispatch(this->strand, [self = this->shared_from_this()] { self->connection.Close(); });
}

}  // namespace poplarmoor
