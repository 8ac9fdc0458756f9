// Commands of the class Cli that send requests to the daemons: status, services, endpoints, drain,
// promote, trace and metrics.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

#include "cli/cli.h"
#include "cli/command_error.h"
#include "cli/operators_client.h"

namespace poplarmoor {

using nlohmann::json;

namespace {

// Describes an HTTP error answer of a daemon.
std::string ErrorMessage(const DaemonAnswer& answer) {
  const json body = json::parse(answer.body, nullptr, false);
  const json error = body.is_object() ? body.value("error", json()) : json();
  std::string message =
      "daemon " + answer.address + " answered status " + std::to_string(answer.status);
  for (const char* key : {"reason", "message"}) {
    if (error.is_object() && error.contains(key) && error[key].is_string()) {
      message += ": " + error[key].get<std::string>();
    }
  }
  if (answer.status == 401 || answer.status == 403) {
    message += "; check the token file";
  }
  return message;
}

// Describes why a daemon gave no answer with status 200.
std::string FailureMessage(const DaemonAnswer& answer) {
  return answer.status == 0 ? answer.error : ErrorMessage(answer);
}

json RequireJson(const DaemonAnswer& answer) {
  if (answer.status != 200) {
    throw CommandError(ExitCode::kFailed, ErrorMessage(answer));
  }
  json body = json::parse(answer.body, nullptr, false);
  if (!body.is_object()) {
    throw CommandError(ExitCode::kFailed,
                       "daemon " + answer.address + " sent an answer that is not a JSON object");
  }
  return body;
}

void RequireAnyAnswer(const std::vector<DaemonAnswer>& answers) {
  const bool any = std::any_of(answers.begin(), answers.end(),
                               [](const DaemonAnswer& answer) { return answer.status != 0; });
  if (!any) {
    throw CommandError(ExitCode::kUnreachable,
                       "no daemon is reachable: " + (answers.empty() ? "" : answers[0].error));
  }
}

}  // namespace

ExitCode Cli::Status() {
  const auto answers = this->Daemons().GetFromAll("/v1/status");
  json rows = json::array();
  bool all_answered = true;
  for (const DaemonAnswer& answer : answers) {
    json row = json::parse(answer.body, nullptr, false);
    if (answer.status != 200 || !row.is_object()) {
      all_answered = false;
      row = {{"state", answer.status == 0 ? "unreachable" : "error"},
             {"message", FailureMessage(answer)}};
      this->err << "poplarmoor: " << FailureMessage(answer) << "\n";
    }
    row["address"] = answer.address;
    rows.push_back(std::move(row));
  }
  PrintRows(rows,
            {"address", "daemon", "failure_domain", "state", "config_revision", "config_digest",
             "members", "uptime_s", "version"},
            this->options.output, this->out);
  RequireAnyAnswer(answers);
  return all_answered ? ExitCode::kOk : ExitCode::kFailed;
}

ExitCode Cli::Services() {
  const json body = RequireJson(this->Daemons().SendToFirstReachable("GET", "/v1/services"));
  PrintRows(body.value("services", json::array()),
            {"service", "pool", "term", "phase", "primary", "slots", "connections", "routing",
             "admission", "acknowledge"},
            this->options.output, this->out);
  return ExitCode::kOk;
}

std::vector<DaemonAnswer> Cli::GetFromAllDaemons(const std::string& path, bool* all_answered) {
  std::vector<DaemonAnswer> answers = this->Daemons().GetFromAll(path);
  RequireAnyAnswer(answers);
  std::erase_if(answers, [&](const DaemonAnswer& answer) {
    if (answer.status == 200) {
      return false;
    }
    *all_answered = false;
    this->err << "poplarmoor: " << FailureMessage(answer) << "\n";
    return true;
  });
  return answers;
}

ExitCode Cli::Endpoints() {
  // A daemon reports only the endpoints that it owns, so the list is put together from all daemons.
  bool all_answered = true;
  json rows = json::array();
  for (const DaemonAnswer& answer : this->GetFromAllDaemons("/v1/endpoints", &all_answered)) {
    for (json row : RequireJson(answer).value("endpoints", json::array())) {
      row["owner"] = answer.address;
      rows.push_back(std::move(row));
    }
  }
  PrintRows(rows,
            {"endpoint", "owner", "address", "running", "slots", "connections", "idle",
             "transactions", "waiting"},
            this->options.output, this->out);
  return all_answered ? ExitCode::kOk : ExitCode::kFailed;
}

ExitCode Cli::PostOrder(const std::string& target,
                        const std::string& key,
                        const std::string& success_text) {
  const std::string& name = this->options.arguments[0];
  const DaemonAnswer answer =
      this->Daemons().SendToFirstReachable("POST", target, json{{key, name}}.dump());
  if (answer.status == 0) {
    throw CommandError(ExitCode::kFailed,
                       "the answer was lost, so the order may have taken effect: " + answer.error);
  }
  const json body = RequireJson(answer);
  if (this->options.output == OutputFormat::kJson) {
    this->out << body.dump(2) << "\n";
  } else {
    this->out << success_text << " " << name << "\n";
  }
  return ExitCode::kOk;
}

ExitCode Cli::Drain() {
  return this->PostOrder("/v1/drain", "endpoint", "draining");
}

ExitCode Cli::Promote() {
  return this->PostOrder("/v1/promote", "service", "promotion ordered for");
}

ExitCode Cli::Trace() {
  const std::string& trace_id = this->options.arguments[0];
  const bool is_hex = trace_id.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (trace_id.size() != 32 || !is_hex) {
    throw CommandError(ExitCode::kInvalid, "'" + trace_id + "' is not a trace id of 32 hex digits");
  }
  const auto answers = this->Daemons().GetFromAll("/v1/traces/" + trace_id);
  RequireAnyAnswer(answers);
  std::vector<json> spans;
  for (const DaemonAnswer& answer : answers) {
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.status == 200 && body.is_object()) {
      const json more = body.value("spans", json::array());
      spans.insert(spans.end(), more.begin(), more.end());
    }
  }
  if (spans.empty()) {
    throw CommandError(ExitCode::kFailed, "no daemon has spans of trace " + trace_id);
  }
  // Start times are decimal strings of equal length, so their text order is their numeric order.
  std::stable_sort(spans.begin(), spans.end(), [](const json& left, const json& right) {
    return left.value("startTimeUnixNano", "") < right.value("startTimeUnixNano", "");
  });
  if (this->options.output == OutputFormat::kJson) {
    this->out << json(spans).dump(2) << "\n";
    return ExitCode::kOk;
  }
  json rows = json::array();
  const auto first = std::stoll(spans[0].value("startTimeUnixNano", "0"));
  for (const json& span : spans) {
    const auto start = std::stoll(span.value("startTimeUnixNano", "0"));
    const auto end = std::stoll(span.value("endTimeUnixNano", "0"));
    std::string attributes;
    for (const json& attribute : span.value("attributes", json::array())) {
      const json value = attribute.value("value", json::object());
      attributes += (attributes.empty() ? "" : " ") + attribute.value("key", "") + "=" +
                    value.value("stringValue", "");
    }
    const json status = span.value("status", json::object());
    rows.push_back({{"start_us", (start - first) / 1000},
                    {"micros", (end - start) / 1000},
                    {"name", span.value("name", "")},
                    {"span", span.value("spanId", "")},
                    {"parent", span.value("parentSpanId", "-")},
                    {"status", status.value("code", "")},
                    {"attributes", attributes}});
  }
  PrintRows(rows, {"start_us", "micros", "name", "span", "parent", "status", "attributes"},
            OutputFormat::kTable, this->out);
  return ExitCode::kOk;
}

ExitCode Cli::Metrics() {
  bool all_answered = true;
  json by_daemon = json::object();
  for (const DaemonAnswer& answer : this->GetFromAllDaemons("/metrics", &all_answered)) {
    by_daemon[answer.address] = answer.body;
    if (this->options.output == OutputFormat::kTable) {
      this->out << "# daemon " << answer.address << "\n" << answer.body;
    }
  }
  if (this->options.output == OutputFormat::kJson) {
    this->out << by_daemon.dump(2) << "\n";
  }
  return all_answered ? ExitCode::kOk : ExitCode::kFailed;
}

ExitCode Cli::Version() {
  if (this->options.output == OutputFormat::kJson) {
    this->out << json{{"version", POPLARMOOR_VERSION}}.dump() << "\n";
  } else {
    this->out << "poplarmoor " << POPLARMOOR_VERSION << "\n";
  }
  return ExitCode::kOk;
}

}  // namespace poplarmoor
