#include "tests/kernel/fake_endpoint.h"

#include <algorithm>

namespace poplarmoor {

FakeReply FakeEndpoint::Execute(uint64_t connection,
                                const StatementRequest& request,
                                uint64_t request_term) {
  FakeReply reply;
  reply.request_id = request.request_id;
  reply.reason = this->Check(connection, request, request_term);
  reply.ok = reply.reason == Reason::kNone;
  if (reply.ok) {
    const std::string& id = request.request_id;
    reply.result = "for:" + id + "|";
    const auto known = std::find_if(this->log.begin(), this->log.end(),
                                    [&](const Entry& entry) { return entry.id == id; });
    switch (request.operation) {
      case Operation::kRead:
        ++this->executions[id];
        for (size_t i = 0; i < this->replayed; ++i) {
          reply.result += this->log[i].id + ",";
        }
        reply.position = {this->TermAt(this->replayed), this->replayed};
        break;
      case Operation::kWrite:
        if (this->transactions.contains(connection)) {
          // As in a database, a write on a connection with an open transaction is part of the
          // transaction.
          ++this->executions[id];
          this->transactions[connection].push_back(id);
          reply.position = this->Last();
        } else if (this->records_ids && known != this->log.end()) {
          reply.position = {known->term, static_cast<uint64_t>(known - this->log.begin()) + 1};
        } else {
          ++this->executions[id];
          this->Append(id, {id});
          reply.position = this->Last();
        }
        break;
      case Operation::kBegin:
        // As in a database, a `begin` inside an open transaction changes nothing.
        this->transactions[connection];
        break;
      case Operation::kTransactionRead:
      case Operation::kTransactionWrite:
        ++this->executions[id];
        this->transactions[connection].push_back(id);
        break;
      case Operation::kCommit:
        ++this->executions[id];
        this->Append(id, this->transactions[connection]);
        this->transactions.erase(connection);
        reply.position = this->Last();
        break;
      default:
        this->transactions.erase(connection);
        break;
    }
    reply.result += "|end";
  }
  reply.status = this->Status();
  return reply;
}

Reason FakeEndpoint::Check(uint64_t connection,
                           const StatementRequest& request,
                           uint64_t request_term) const {
  if (this->checks_terms) {
    if (request_term < this->term) {
      return Reason::kFenced;
    }
    if (NeedsPrimary(request.operation) && (!this->is_primary || request_term > this->term)) {
      return Reason::kNotPrimary;
    }
  }
  const LogPosition required = request.required;
  if (required.term > 0 &&
      (this->replayed < required.index || this->TermAt(required.index) != required.term)) {
    return Reason::kBehind;
  }
  const bool in_transaction = request.operation == Operation::kTransactionRead ||
                              request.operation == Operation::kTransactionWrite ||
                              request.operation == Operation::kCommit;
  if (in_transaction && !this->transactions.contains(connection)) {
    return Reason::kTransactionGone;
  }
  return Reason::kNone;
}

void FakeEndpoint::Fence(uint64_t new_term) {
  this->term = new_term;
  this->is_primary = false;
  this->transactions.clear();
}

void FakeEndpoint::Promote() {
  this->is_primary = true;
  this->Append("", {});
}

void FakeEndpoint::CopyLog(const FakeEndpoint& primary) {
  size_t prefix = std::min(this->log.size(), primary.log.size());
  while (prefix > 0 && (this->log[prefix - 1].term != primary.log[prefix - 1].term ||
                        this->log[prefix - 1].id != primary.log[prefix - 1].id)) {
    --prefix;
  }
  this->log.resize(prefix);
  this->log.insert(this->log.end(), primary.log.begin() + static_cast<std::ptrdiff_t>(prefix),
                   primary.log.end());
  this->replayed = std::min(this->replayed, prefix);
}

EndpointStatus FakeEndpoint::Status() const {
  EndpointStatus status;
  status.endpoint = this->name;
  status.is_primary = this->is_primary;
  status.term = this->term;
  status.received = this->log.size();
  status.replayed = this->replayed;
  status.last = this->Last();
  return status;
}

LogPosition FakeEndpoint::Last() const {
  return {this->TermAt(this->log.size()), this->log.size()};
}

uint64_t FakeEndpoint::TermAt(uint64_t index) const {
  return index == 0 || index > this->log.size() ? 0 : this->log[index - 1].term;
}

void FakeEndpoint::Append(const std::string& id, std::vector<std::string> statements) {
  this->log.push_back({this->term, id, std::move(statements)});
  this->replayed = this->log.size();
}

}  // namespace poplarmoor
