#include "standins/endpoint_log.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace poplarmoor {

using nlohmann::json;

json ToJson(const EndpointLogEntry& entry) {
  return {{"term", entry.position.term},    {"index", entry.position.index},
          {"request_id", entry.request_id}, {"transaction", entry.transaction},
          {"statements", entry.statements}, {"result", entry.result}};
}

EndpointLogEntry ParseLogEntry(const json& json) {
  return {{json.at("term"), json.at("index")},
          json.at("request_id"),
          json.at("transaction"),
          json.at("statements"),
          json.at("result")};
}

json RunStatement(const json& statement, const EndpointState& base, EndpointState& writes) {
  if (!statement.is_object() || !statement.contains("op") || !statement.contains("key")) {
    throw std::invalid_argument("statement lacks op or key");
  }
  const std::string op = statement.at("op").get<std::string>();
  const std::string key = statement.at("key").get<std::string>();
  json value;
  if (const auto written = writes.find(key); written != writes.end()) {
    value = written->second;
  } else if (const auto found = base.find(key); found != base.end()) {
    value = found->second;
  }
  if (op == "get") {
    return value;
  }
  if (op == "put") {
    return writes[key] = statement.at("value");
  }
  if (op == "add") {
    const int64_t old = value.is_null() ? 0 : value.get<int64_t>();
    return writes[key] = old + statement.at("delta").get<int64_t>();
  }
  if (op == "append") {
    value.push_back(statement.at("value"));
    writes[key] = value;
    return value.size();
  }
  throw std::invalid_argument("unknown op '" + op + "'");
}

const EndpointLogEntry& EndpointLog::Execute(uint64_t term,
                                             const std::string& request_id,
                                             const json& statements,
                                             bool transaction) {
  this->ReplayTo(this->received());
  EndpointState writes;
  json result;
  for (const json& statement : statements) {
    result = RunStatement(statement, *this->state, writes);
  }
  this->Append({{term, this->received() + 1}, request_id, transaction, statements, result});
  EndpointState& state = this->MutableState();
  for (auto& [key, value] : writes) {
    state[key] = std::move(value);
  }
  this->replayed_index = this->received();
  return this->log.back();
}

void EndpointLog::Append(EndpointLogEntry entry) {
  if (!entry.request_id.empty()) {
    this->requests[entry.request_id] = entry.position.index;
  }
  this->log.push_back(std::move(entry));
}

void EndpointLog::ReplayTo(uint64_t index) {
  index = std::min<uint64_t>(index, this->log.size());
  while (this->replayed_index < index) {
    EndpointState writes;
    for (const json& statement : this->log[this->replayed_index].statements) {
      RunStatement(statement, *this->state, writes);
    }
    EndpointState& state = this->MutableState();
    for (auto& [key, value] : writes) {
      state[key] = std::move(value);
    }
    ++this->replayed_index;
  }
}

void EndpointLog::TruncateTo(uint64_t index) {
  while (this->log.size() > index) {
    this->requests.erase(this->log.back().request_id);
    this->log.pop_back();
  }
  if (this->replayed_index > index) {
    this->state = std::make_shared<EndpointState>();
    this->replayed_index = 0;
    this->ReplayTo(index);
  }
}

const EndpointLogEntry* EndpointLog::FindRequest(const std::string& request_id) const {
  const auto found = this->requests.find(request_id);
  return found == this->requests.end() ? nullptr : &this->log[found->second - 1];
}

uint64_t EndpointLog::TermAt(uint64_t index) const {
  return index == 0 || index > this->log.size() ? 0 : this->log[index - 1].position.term;
}

uint64_t EndpointLog::FindCommonPrefix(LogPosition follower) const {
  if (follower.index <= this->log.size() && this->TermAt(follower.index) == follower.term) {
    return follower.index;
  }
  uint64_t index = std::min<uint64_t>(follower.index - 1, this->log.size());
  while (index > 0 && this->TermAt(index) > follower.term) {
    --index;
  }
  return index;
}

LogPosition EndpointLog::last() const {
  return this->log.empty() ? LogPosition{} : this->log.back().position;
}

EndpointState& EndpointLog::MutableState() {
  if (this->state.use_count() > 1) {
    this->state = std::make_shared<EndpointState>(*this->state);
  }
  return *this->state;
}

}  // namespace poplarmoor
