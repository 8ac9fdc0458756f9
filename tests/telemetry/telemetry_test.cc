#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "telemetry/span.h"
#include "telemetry/span_store.h"

namespace poplarmoor {
namespace {

using nlohmann::json;

// Runs `work` with the log in a temporary file and returns the lines that `work` logged.
std::vector<std::string> CaptureLog(LogSettings settings, const std::function<void()>& work) {
  const auto path =
      std::filesystem::temp_directory_path() / ("poplarmoor-log-" + std::to_string(getpid()));
  std::filesystem::remove(path);
  settings.file = path.string();
  SetUpLog(settings, "entry-1");
  work();
  ShutDownLog();
  std::vector<std::string> lines;
  std::ifstream stream(path);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  std::filesystem::remove(path);
  return lines;
}

TEST_CASE(
    "a JSON log line stays one valid line when a value has quotes, line breaks or invalid UTF-8") {
  const auto lines = CaptureLog({}, [] {
    Log(LogLevel::kWarn, "endpoint is slow",
        {{"endpoint", "a\"b\nc\xff"}, {"millis", 12}, {"leaving", false}, {"share", 0.5}});
    Log(LogLevel::kDebug, "not written");
  });
  REQUIRE(lines.size() == 1);
  const json line = json::parse(lines[0]);
  CHECK(line["SeverityText"] == "warn");
  CHECK(line["Body"] == "endpoint is slow");
  CHECK(line["Resource"]["service.instance.id"] == "entry-1");
  CHECK(line["Attributes"]["millis"] == 12);
  CHECK(line["Attributes"]["leaving"] == false);
  CHECK(line["Attributes"]["share"] == 0.5);
}

TEST_CASE("a value with a line break cannot forge a second line in a text log") {
  LogSettings settings;
  settings.format = LogFormat::kText;
  const auto lines = CaptureLog(settings, [] {
    Log(LogLevel::kInfo, "request refused", {{"site", "x\n2026 error forged"}, {"rank", "urgent"}});
  });
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].find("rank=urgent") != std::string::npos);
}

TEST_CASE(
    "setting up the log fails when the log file cannot be opened, instead of losing all log "
    "lines") {
  LogSettings settings;
  settings.file = "/nonexistent/poplarmoor.log";
  CHECK_THROWS_WITH(SetUpLog(settings, ""), Catch::Contains("/nonexistent/poplarmoor.log"));
  ShutDownLog();
}

TEST_CASE("a finished span is logged and stored with the OpenTelemetry field names") {
  SpanStore store(16);
  std::string trace_id;
  const auto lines = CaptureLog({}, [&] {
    Span parent(&store, "entry.statement", "", "");
    Span child(&store, "owner.execute", parent.TraceId(), parent.SpanId());
    child.SetAttribute("pm.endpoint", "orders-a");
    child.SetFailed("timeout");
    trace_id = parent.TraceId();
  });
  REQUIRE(lines.size() == 2);
  const json child = json::parse(lines[0]);
  const json parent = json::parse(lines[1]);
  CHECK(child["traceId"] == trace_id);
  CHECK(child["parentSpanId"] == parent["spanId"]);
  CHECK(child["status"]["code"] == "STATUS_CODE_ERROR");
  CHECK(trace_id.size() == 32);
  const json stored = json::parse(store.FindJson(trace_id));
  CHECK(stored["spans"].size() == 2);
  CHECK(store.FindJson("unknown").empty());
}

TEST_CASE(
    "the span store limits the number of traces and of spans in each trace, so that its "
    "memory does not grow without bound") {
  SpanStore store(16);
  for (int i = 0; i < 1000; ++i) {
    Span span(&store, "test", "trace-" + std::to_string(i), "");
  }
  size_t kept = 0;
  for (int i = 0; i < 1000; ++i) {
    kept += store.Find("trace-" + std::to_string(i)).size();
  }
  CHECK(kept <= 16);
  for (int i = 0; i < 1000; ++i) {
    Span span(&store, "test", "long", "");
  }
  CHECK(store.Find("long").size() == 64);
}

TEST_CASE(
    "the rows of the metric table are in the order of enum Metric, whose values index the table") {
  for (size_t i = 0; i < kMetricCount; ++i) {
    CHECK(static_cast<size_t>(kMetricTable[i].metric) == i);
  }
  CHECK(static_cast<size_t>(Metric::kUptime) + 1 == kMetricCount);
}

TEST_CASE("a counter that several threads increment loses no increments") {
  Metrics metrics;
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&metrics] {
      for (int j = 0; j < 1000; ++j) {
        metrics.Add(Metric::kReads, {"orders", "replica"});
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(metrics.Value(Metric::kReads, {"orders", "replica"}) == 4000.0);
}

TEST_CASE("Prometheus text output escapes special characters in label values") {
  Metrics metrics;
  metrics.Set(Metric::kGroupTerm, {"a\"b\nc"}, 7);
  const std::string text = metrics.ToPrometheus();
  CHECK(text.find("# TYPE poplarmoor_group_term gauge\n") != std::string::npos);
  CHECK(text.find("poplarmoor_group_term{service=\"a\\\"b\\nc\"} 7\n") != std::string::npos);
  metrics.Remove(Metric::kGroupTerm, {"a\"b\nc"});
  CHECK(metrics.ToPrometheus().empty());
}

TEST_CASE(
    "a summary counts all observations, but its quantiles cover only the current time window, or "
    "the previous one while the current window has too few observations") {
  Metrics metrics;
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe(Metric::kConfigSeconds, {}, std::chrono::milliseconds(i * 7919 % 1000 + 1));
  }
  const auto quantile = [&metrics](const std::string& name) {
    const std::string text = metrics.ToPrometheus();
    const std::string key = "poplarmoor_config_seconds{quantile=\"" + name + "\"} ";
    const size_t at = text.find(key);
    return at == std::string::npos ? -1.0 : std::stod(text.substr(at + key.size()));
  };
  CHECK(quantile("0.5") == Approx(0.5).margin(0.05));
  CHECK(quantile("0.99") == Approx(0.99).margin(0.02));
  CHECK(metrics.ToPrometheus().find("poplarmoor_config_seconds_count 1000\n") != std::string::npos);
  metrics.StartWindow();
  // The new window has no observations yet, so the quantile of the previous one is reported.
  CHECK(quantile("0.5") == Approx(0.5).margin(0.05));
  for (int i = 0; i < 100; ++i) {
    metrics.Observe(Metric::kConfigSeconds, {}, std::chrono::milliseconds(5));
  }
  CHECK(quantile("0.5") == Approx(0.005));
  metrics.StartWindow();
  metrics.StartWindow();
  // No quantile is reported when neither the current nor the previous window has observations.
  CHECK(quantile("0.5") == -1.0);
}

}  // namespace
}  // namespace poplarmoor
