#include "wire/relay_codec.h"

#include <msgpack.hpp>
#include <tuple>

#include "wire/codec_error.h"

namespace poplarmoor {

namespace {

using Position = std::tuple<uint64_t, uint64_t>;

constexpr size_t kMaxItems = 1 << 17;  // Maximum number of items in one array or map.
constexpr size_t kMaxBytes = 2 << 20;  // Longest string, in bytes: 2 MiB, like the longest message.
constexpr size_t kMaxDepth = 4;        // Maximum number of nesting levels in a message.

Position Pack(LogPosition position) {
  return {position.term, position.index};
}

LogPosition Unpack(const Position& position) {
  return {std::get<0>(position), std::get<1>(position)};
}

template <typename Tuple>
std::string PackTuple(const Tuple& tuple) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, tuple);
  return {buffer.data(), buffer.size()};
}

template <typename Tuple>
Tuple UnpackTuple(std::string_view body, const char* message_kind) {
  try {
    const msgpack::unpack_limit limit(kMaxItems, kMaxItems, kMaxBytes, kMaxBytes, 0, kMaxDepth);
    size_t offset = 0;
    const msgpack::object_handle handle =
        msgpack::unpack(body.data(), body.size(), offset, nullptr, nullptr, limit);
    return handle.get().as<Tuple>();
  } catch (const msgpack::type_error&) {
    throw CodecError(message_kind, "a field has a wrong type");
  } catch (const msgpack::unpack_error& error) {
    throw CodecError(message_kind, error.what());
  }
}

// Each message is packed as one of these tuples, which lists the message's fields in the order in
// which they are sent.
using RequestTuple = std::tuple<uint64_t,
                                std::string,
                                int,
                                bool,
                                uint64_t,
                                std::map<std::string, std::string>,
                                bool,
                                bool,
                                std::string,
                                std::string,
                                Position,
                                std::string,
                                std::string,
                                uint64_t,
                                std::string,
                                uint64_t,
                                uint64_t,
                                uint64_t,
                                uint64_t,
                                uint64_t>;
using AnswerTuple = std::tuple<std::string,
                               std::string,
                               std::string,
                               std::vector<std::string>,
                               std::string,
                               std::string,
                               std::string,
                               std::string,
                               Position,
                               Position,
                               Position,
                               uint64_t,
                               bool>;
using OrderTuple = std::tuple<std::string, std::string, uint64_t, uint64_t>;
using ReportTuple = std::tuple<std::string, bool, uint64_t, Position, uint64_t, uint64_t>;
using Revision = std::tuple<uint64_t, uint64_t>;  // Era and number.
using SyncRequestTuple = std::tuple<std::string, Revision, uint64_t>;
using ObjectTuple = std::tuple<std::string, Revision, std::string, bool>;
using EvidenceTuple = std::tuple<std::string, Position, uint64_t>;
using EvidenceList = std::vector<EvidenceTuple>;
using SyncAnswerTuple = std::tuple<bool,
                                   bool,
                                   Revision,
                                   uint64_t,
                                   std::vector<ObjectTuple>,
                                   uint64_t,
                                   EvidenceList,
                                   uint64_t>;
using LimitRequestTuple = std::tuple<std::string, uint64_t>;
using LimitAnswerTuple = std::tuple<uint64_t, bool>;
using IssuerJoinedTuple = std::tuple<std::string, std::string, std::string>;

Revision Pack(const StoreRevision& revision) {
  return {revision.era, revision.number};
}

StoreRevision UnpackRevision(const Revision& revision) {
  return {std::get<0>(revision), std::get<1>(revision)};
}

EvidenceList PackEvidence(const std::vector<PositionEvidence>& evidence) {
  EvidenceList list;
  for (const PositionEvidence& entry : evidence) {
    list.emplace_back(entry.service, Pack(entry.position), entry.age_us);
  }
  return list;
}

std::vector<PositionEvidence> UnpackEvidence(const EvidenceList& list) {
  std::vector<PositionEvidence> evidence;
  for (const auto& [service, position, age_us] : list) {
    evidence.push_back({service, Unpack(position), age_us});
  }
  return evidence;
}

}  // namespace

std::string EncodeRelayRequest(const RelayRequest& request) {
  return PackTuple(RequestTuple(request.lease, request.endpoint, request.rank, request.transaction,
                                request.session, request.values, request.has_prepared,
                                request.prepared_read_only, request.prepared_shape, request.opening,
                                Pack(request.demanded), request.id, request.text, request.limit_us,
                                request.organisation, request.key, request.config_version,
                                request.verified_age_us, request.clock, request.sent_us));
}

RelayRequest DecodeRelayRequest(std::string_view body) {
  const auto fields = UnpackTuple<RequestTuple>(body, "relay request");
  RelayRequest request;
  Position demanded;
  std::tie(request.lease, request.endpoint, request.rank, request.transaction, request.session,
           request.values, request.has_prepared, request.prepared_read_only, request.prepared_shape,
           request.opening, demanded, request.id, request.text, request.limit_us,
           request.organisation, request.key, request.config_version, request.verified_age_us,
           request.clock, request.sent_us) = fields;
  request.demanded = Unpack(demanded);
  return request;
}

std::string EncodeRelayAnswer(const RelayAnswer& answer) {
  return PackTuple(AnswerTuple(
      answer.outcome, answer.failure, answer.cause, answer.rows, answer.signature, answer.error,
      answer.error_text, answer.state, Pack(answer.position), Pack(answer.opening_position),
      Pack(answer.newest), answer.newest_age_us, answer.connection_failed));
}

RelayAnswer DecodeRelayAnswer(std::string_view body) {
  const auto fields = UnpackTuple<AnswerTuple>(body, "relay answer");
  RelayAnswer answer;
  Position position;
  Position opening_position;
  Position newest;
  std::tie(answer.outcome, answer.failure, answer.cause, answer.rows, answer.signature,
           answer.error, answer.error_text, answer.state, position, opening_position, newest,
           answer.newest_age_us, answer.connection_failed) = fields;
  answer.position = Unpack(position);
  answer.opening_position = Unpack(opening_position);
  answer.newest = Unpack(newest);
  return answer;
}

std::string EncodeRelayOrder(const RelayOrder& order) {
  return PackTuple(OrderTuple(order.endpoint, order.order, order.term, order.limit_us));
}

RelayOrder DecodeRelayOrder(std::string_view body) {
  const auto fields = UnpackTuple<OrderTuple>(body, "relay order");
  RelayOrder order;
  std::tie(order.endpoint, order.order, order.term, order.limit_us) = fields;
  return order;
}

std::string EncodeRelayReport(const RelayReport& report) {
  return PackTuple(ReportTuple(report.failure, report.is_primary, report.term,
                               Pack(report.received), report.active_pause_term,
                               report.connected_us));
}

RelayReport DecodeRelayReport(std::string_view body) {
  const auto fields = UnpackTuple<ReportTuple>(body, "relay report");
  RelayReport report;
  Position received;
  std::tie(report.failure, report.is_primary, report.term, received, report.active_pause_term,
           report.connected_us) = fields;
  report.received = Unpack(received);
  return report;
}

std::string EncodeSyncRequest(const SyncRequest& request) {
  return PackTuple(SyncRequestTuple(request.kind, Pack(request.since), request.wait_us));
}

SyncRequest DecodeSyncRequest(std::string_view body) {
  const auto fields = UnpackTuple<SyncRequestTuple>(body, "sync request");
  SyncRequest request;
  Revision since;
  std::tie(request.kind, since, request.wait_us) = fields;
  request.since = UnpackRevision(since);
  return request;
}

std::string EncodeSyncAnswer(const SyncAnswer& answer) {
  std::vector<ObjectTuple> objects;
  for (const SyncObject& object : answer.objects) {
    objects.emplace_back(object.name, Pack(object.revision), object.value, object.deleted);
  }
  return PackTuple(SyncAnswerTuple(answer.reachable, answer.complete, Pack(answer.revision),
                                   answer.age_us, objects, answer.held_us,
                                   PackEvidence(answer.evidence), answer.verified_age_us));
}

SyncAnswer DecodeSyncAnswer(std::string_view body) {
  const auto fields = UnpackTuple<SyncAnswerTuple>(body, "sync answer");
  SyncAnswer answer;
  std::vector<ObjectTuple> objects;
  Revision revision;
  EvidenceList evidence;
  std::tie(answer.reachable, answer.complete, revision, answer.age_us, objects, answer.held_us,
           evidence, answer.verified_age_us) = fields;
  answer.evidence = UnpackEvidence(evidence);
  answer.revision = UnpackRevision(revision);
  for (const ObjectTuple& tuple : objects) {
    SyncObject object;
    Revision changed_at;
    std::tie(object.name, changed_at, object.value, object.deleted) = tuple;
    object.revision = UnpackRevision(changed_at);
    answer.objects.push_back(std::move(object));
  }
  return answer;
}

std::string EncodeEvidence(const std::vector<PositionEvidence>& evidence) {
  return PackTuple(std::tuple<EvidenceList>(PackEvidence(evidence)));
}

std::vector<PositionEvidence> DecodeEvidence(std::string_view body) {
  return UnpackEvidence(std::get<0>(UnpackTuple<std::tuple<EvidenceList>>(body, "evidence")));
}

std::string EncodeLimitRequest(const LimitRequest& request) {
  return PackTuple(LimitRequestTuple(request.organisation, request.wanted));
}

LimitRequest DecodeLimitRequest(std::string_view body) {
  const auto fields = UnpackTuple<LimitRequestTuple>(body, "limit request");
  LimitRequest request;
  std::tie(request.organisation, request.wanted) = fields;
  return request;
}

std::string EncodeLimitAnswer(const LimitAnswer& answer) {
  return PackTuple(LimitAnswerTuple(answer.granted, answer.is_issuer));
}

LimitAnswer DecodeLimitAnswer(std::string_view body) {
  const auto fields = UnpackTuple<LimitAnswerTuple>(body, "limit answer");
  LimitAnswer answer;
  std::tie(answer.granted, answer.is_issuer) = fields;
  return answer;
}

std::string EncodeIssuerJoined(const IssuerJoined& joined) {
  return PackTuple(IssuerJoinedTuple(joined.daemon, joined.address, joined.failure_domain));
}

IssuerJoined DecodeIssuerJoined(std::string_view body) {
  const auto fields = UnpackTuple<IssuerJoinedTuple>(body, "issuer announcement");
  IssuerJoined joined;
  std::tie(joined.daemon, joined.address, joined.failure_domain) = fields;
  return joined;
}

std::string EncodeIssuerAdded(const IssuerAdded& added) {
  return PackTuple(std::tuple<bool>(added.may_issue));
}

IssuerAdded DecodeIssuerAdded(std::string_view body) {
  return {std::get<0>(UnpackTuple<std::tuple<bool>>(body, "answer to an issuer announcement"))};
}

}  // namespace poplarmoor
