#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace poplarmoor {

/// All metrics that a daemon exports. The values are indexes into kMetricTable, which documents
/// them.
enum class Metric {
  kRequests,
  kRequestSeconds,
  kReads,
  kRetries,
  kInFlight,
  kCallerConnections,
  kClosedConnections,
  kBufferedBytes,
  kQueueLength,
  kQueueSeconds,
  kSlotsInUse,
  kConcurrencyLimit,
  kEndpointConnections,
  kEndpointSeconds,
  kConnectSeconds,
  kOpenConnections,
  kConnectionsOpened,
  kConnectionsEvicted,
  kOrganisationConnections,
  kOrganisationWaiting,
  kEndpointUp,
  kReplicaStaleness,
  kUnconfirmedWrites,
  kTransactions,
  kGroupTerm,
  kGroupServing,
  kPromotions,
  kFailoverSeconds,
  kCommitChecks,
  kCommitCheckSeconds,
  kMembers,
  kOwnedEndpoints,
  kConfigRevision,
  kConfigSeconds,
  kConfigAge,
  kConfigTooOld,
  kOrganisations,
  kAccessRefused,
  kPlatformCalls,
  kPlatformSeconds,
  kPlatformUp,
  kControlBytes,
  kPeerCalls,
  kLogLinesDropped,
  kStopping,
  kTokensIssued,
  kLimitRefusals,
  kTokenFill,
  kUptime,
};

/// Kind of a metric in the Prometheus text format.
enum class MetricType {
  kCounter,  // Value that only grows.
  kGauge,    // Current value, which can rise and fall.
  kSummary,  // Quantiles 0.5, 0.9, 0.99 and 0.999, sum and count of durations in seconds.
};

/// Documentation of one metric: a row of kMetricTable.
struct MetricRow {
  Metric metric;
  MetricType type;
  std::string_view name;
  std::string_view labels;  // Label names, separated by commas; empty for a metric without labels.
  std::string_view help;
};

inline constexpr size_t kMetricCount = 49;

/// Names, labels and meaning of all metrics, indexed by Metric.
inline constexpr std::array<MetricRow, kMetricCount> kMetricTable{{
    {Metric::kRequests, MetricType::kCounter, "poplarmoor_requests_total",
     "service,rank,verdict,reason", "Requests of callers answered by this entry."},
    {Metric::kRequestSeconds, MetricType::kSummary, "poplarmoor_request_seconds", "service,rank",
     "Time from a caller's request to its answer at this entry."},
    {Metric::kReads, MetricType::kCounter, "poplarmoor_reads_total", "service,served_by",
     "Reads that ran, by role of the endpoint that served them (primary or replica)."},
    {Metric::kRetries, MetricType::kCounter, "poplarmoor_retries_total", "service,reason",
     "Further attempts of requests, by reason of the attempt that failed."},
    {Metric::kInFlight, MetricType::kGauge, "poplarmoor_requests_in_flight", "",
     "Requests of callers that are not answered yet."},
    {Metric::kCallerConnections, MetricType::kGauge, "poplarmoor_caller_connections", "",
     "Open connections of callers."},
    {Metric::kClosedConnections, MetricType::kCounter, "poplarmoor_closed_connections_total",
     "listener,reason",
     "Connections that the daemon closed because of their clients, by listener and reason."},
    {Metric::kBufferedBytes, MetricType::kGauge, "poplarmoor_buffered_bytes", "",
     "Bytes reserved for large messages and answers of callers."},
    {Metric::kQueueLength, MetricType::kGauge, "poplarmoor_queue_length", "endpoint,rank",
     "Requests that wait for a slot at this owner."},
    {Metric::kQueueSeconds, MetricType::kSummary, "poplarmoor_queue_seconds", "service,rank",
     "Time that requests waited for a slot at this owner."},
    {Metric::kSlotsInUse, MetricType::kGauge, "poplarmoor_slots_in_use", "endpoint",
     "Statements that this owner runs at the endpoint."},
    {Metric::kConcurrencyLimit, MetricType::kGauge, "poplarmoor_concurrency_limit", "endpoint",
     "Statements that this owner would run at the endpoint at once."},
    {Metric::kEndpointConnections, MetricType::kGauge, "poplarmoor_endpoint_connections",
     "endpoint,state", "Connections of this owner to the endpoint (idle, busy or opening)."},
    {Metric::kEndpointSeconds, MetricType::kSummary, "poplarmoor_endpoint_seconds", "service",
     "Time of one execution at an endpoint, as this owner sees it."},
    {Metric::kConnectSeconds, MetricType::kSummary, "poplarmoor_connect_seconds", "service",
     "Time to open a connection to an endpoint."},
    {Metric::kOpenConnections, MetricType::kGauge, "poplarmoor_open_connections", "endpoint",
     "Connections of this daemon to the endpoint, in use or idle, if there are organisations."},
    {Metric::kConnectionsOpened, MetricType::kCounter, "poplarmoor_connections_opened_total",
     "endpoint", "Connections that this daemon has opened, if there are organisations."},
    {Metric::kConnectionsEvicted, MetricType::kCounter, "poplarmoor_connections_evicted_total",
     "endpoint", "Idle connections that were closed to make room for other organisations."},
    {Metric::kOrganisationConnections, MetricType::kGauge, "poplarmoor_organisation_connections",
     "organisation", "Connections of the ten largest organisations and of all others (other)."},
    {Metric::kOrganisationWaiting, MetricType::kGauge, "poplarmoor_organisation_waiting",
     "organisation", "Waiting statements of the ten largest organisations and of all others."},
    {Metric::kEndpointUp, MetricType::kGauge, "poplarmoor_endpoint_up", "service,endpoint",
     "1 while the endpoint answers this monitor's probes, else 0."},
    {Metric::kReplicaStaleness, MetricType::kGauge, "poplarmoor_replica_staleness_seconds",
     "service,endpoint", "Age of the state that the endpoint has replayed."},
    {Metric::kUnconfirmedWrites, MetricType::kGauge, "poplarmoor_unconfirmed_writes", "service",
     "Writes that ran at the primary and wait for their confirmation."},
    {Metric::kTransactions, MetricType::kGauge, "poplarmoor_transactions", "service",
     "Open transactions at this owner."},
    {Metric::kGroupTerm, MetricType::kGauge, "poplarmoor_group_term", "service",
     "Term of the group as this daemon knows it."},
    {Metric::kGroupServing, MetricType::kGauge, "poplarmoor_group_serving", "service",
     "1 while the group has a primary, 0 while it elects one."},
    {Metric::kPromotions, MetricType::kCounter, "poplarmoor_promotions_total", "service,result",
     "Promotions that this daemon attempted."},
    {Metric::kFailoverSeconds, MetricType::kSummary, "poplarmoor_failover_seconds", "service",
     "Time from the first missed probe to the new primary."},
    {Metric::kCommitChecks, MetricType::kCounter, "poplarmoor_commit_checks_total",
     "service,verdict", "Commits that the primary has acknowledged, by whether they are safe."},
    {Metric::kCommitCheckSeconds, MetricType::kSummary, "poplarmoor_commit_check_seconds",
     "service", "Time from the primary's acknowledgement of a commit to the verdict."},
    {Metric::kMembers, MetricType::kGauge, "poplarmoor_members", "state",
     "Daemons in the member table (alive, suspect or leaving)."},
    {Metric::kOwnedEndpoints, MetricType::kGauge, "poplarmoor_owned_endpoints", "",
     "Endpoints that this daemon owns."},
    {Metric::kConfigRevision, MetricType::kGauge, "poplarmoor_config_revision", "",
     "Highest platform revision of the configuration in force."},
    {Metric::kConfigSeconds, MetricType::kSummary, "poplarmoor_config_seconds", "",
     "Time from the first sight of a unit in the fleet to its arrival here."},
    {Metric::kConfigAge, MetricType::kGauge, "poplarmoor_config_age_seconds", "",
     "Highest possible age of this daemon's copy of the configuration; -1 before it is verified."},
    {Metric::kConfigTooOld, MetricType::kCounter, "poplarmoor_config_too_old_total", "subject",
     "Sessions and statements refused because this daemon's copy of the configuration is too old."},
    {Metric::kOrganisations, MetricType::kGauge, "poplarmoor_organisations", "",
     "Organisations in the configuration in force."},
    {Metric::kAccessRefused, MetricType::kCounter, "poplarmoor_access_refused_total",
     "subject,reason", "Sessions and statements refused because of their API key."},
    {Metric::kPlatformCalls, MetricType::kCounter, "poplarmoor_platform_calls_total",
     "operation,result", "Calls to the platform."},
    {Metric::kPlatformSeconds, MetricType::kSummary, "poplarmoor_platform_seconds", "operation",
     "Time of calls to the platform, watches excluded."},
    {Metric::kPlatformUp, MetricType::kGauge, "poplarmoor_platform_up", "",
     "1 while the last platform call succeeded, else 0."},
    {Metric::kControlBytes, MetricType::kCounter, "poplarmoor_control_bytes_total", "direction",
     "Bytes of control traffic (sent or received)."},
    {Metric::kPeerCalls, MetricType::kCounter, "poplarmoor_peer_calls_total", "type,result",
     "Calls to other daemons, by type of message."},
    {Metric::kLogLinesDropped, MetricType::kGauge, "poplarmoor_log_lines_dropped", "",
     "Log lines dropped since the start, because of their rate or a reader that is too slow."},
    {Metric::kStopping, MetricType::kGauge, "poplarmoor_stopping", "",
     "1 during a graceful shutdown, else 0."},
    {Metric::kTokensIssued, MetricType::kCounter, "poplarmoor_tokens_issued_total", "organisation",
     "Tokens for operations that this daemon issued as an issuer of the organisation."},
    {Metric::kLimitRefusals, MetricType::kCounter, "poplarmoor_limit_refusals_total",
     "organisation", "Operations that this entry refused because they got no token."},
    {Metric::kTokenFill, MetricType::kGauge, "poplarmoor_token_fill", "organisation",
     "Filled share of the organisation's token bucket at this issuer, 0 to 1."},
    {Metric::kUptime, MetricType::kGauge, "poplarmoor_uptime_seconds", "",
     "Time since the start of the daemon."},
}};

}  // namespace poplarmoor
