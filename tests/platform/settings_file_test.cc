#include "platform/settings_file.h"

#include <unistd.h>
#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace poplarmoor::platform {
namespace {

constexpr char kValidSettings[] =
    "node=front-a-1\nrole=session\nip=10.1.0.8\nzone=a\nzones.a=r\nlisten.front=10.1.0.8:8784\n"
    "listen.readyAddr=10.1.0.8:8785\nportRange=7440,7455\nbounds.graceS=6\n"
    "bounds.configApplyMs=3000\nbounds.drainMs=7000\nlimits.maxFds=4200\nfuture.field=x=y\n"
    "platform.address=10.200.1.7:8783\ncloudApi.address=10.200.0.160:8783\n";

// Settings file that is deleted when the object is destroyed.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path(std::filesystem::temp_directory_path() / "poplarmoor-settings-XXXXXX") {
    std::string name = this->path.string();
    const int file = mkstemp(name.data());
    REQUIRE(file >= 0);
    close(file);
    this->path = name;
    std::ofstream(this->path) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(this->path); }

  std::filesystem::path path;
};

ProcessSettings ReadSettingsText(const std::string& text) {
  const TemporaryFile file(text);
  return ReadSettings(file.path);
}

std::string WithField(const std::string& field, const std::string& value) {
  std::string text = kValidSettings;
  const size_t begin = text.find(field + "=");
  const size_t end = text.find('\n', begin);
  return text.replace(begin, end - begin, field + "=" + value);
}

TEST_CASE(
    "reading the platform's settings file does not lose values and does not fail on unknown "
    "fields") {
  const ProcessSettings settings = ReadSettingsText(kValidSettings);
  CHECK(settings.daemon == "front-a-1");
  CHECK(settings.failure_domain == "a");
  CHECK(settings.caller_address == "10.1.0.8:8784");
  CHECK(settings.peer_address == "10.1.0.8:7440");
  CHECK(settings.metrics_address == "10.1.0.8:7455");
  CHECK(settings.stop_grace == std::chrono::seconds(6));
  CHECK(settings.bounds.routes == std::chrono::milliseconds(3000));
  CHECK(settings.max_descriptors == 4200);
  CHECK(settings.memory == 160 << 20);
  CHECK(ReadSettingsText(std::string(kValidSettings) + "limits.memoryMb=512\n").memory ==
        512 << 20);
}

TEST_CASE(
    "reading the platform's settings file fails if a setting is invalid, such as an unusable "
    "address; the error names the field and its value") {
  for (const auto& [field, value] : {std::pair<std::string, std::string>{"listen.front", "here"},
                                     {"node", ""},
                                     {"portRange", "7440"},
                                     {"portRange", "9,8"},
                                     {"bounds.graceS", "-1"},
                                     {"bounds.graceS", "6s"},
                                     {"limits.maxFds", "1"},
                                     {"platform.address", "10.200.1.7"}}) {
    INFO(field << "=" << value);
    try {
      ReadSettingsText(WithField(field, value));
      FAIL("accepted");
    } catch (const std::runtime_error& error) {
      CHECK(std::string(error.what()).find(field) != std::string::npos);
      CHECK(std::string(error.what()).find(value) != std::string::npos);
    }
  }
  CHECK_THROWS_AS(ReadSettings("/nonexistent/settings"), std::runtime_error);
}

TEST_CASE("settings about organisations and regions are optional, but not malformed") {
  const ProcessSettings absent = ReadSettingsText(kValidSettings);
  CHECK_FALSE(absent.revocation_bound);
  CHECK_FALSE(absent.first_fleet_start);
  CHECK(absent.regions.at("a") == "r");
  const std::string more = std::string(kValidSettings) +
                           "bounds.revokeStrict=true\nbounds.revokeMs=5000\nbounds.quotaOver=0.2\n"
                           "limits.cpuShare=0.5\nlimits.cores=2\nzones.b=r2\nbootstrap=true\n";
  const ProcessSettings present = ReadSettingsText(more);
  CHECK(present.revocation_bound == std::chrono::milliseconds(5000));
  CHECK(present.limit_tolerance.excess_share == 0.2);
  CHECK(present.capacity == 1.0);
  CHECK(present.first_fleet_start);
  CHECK(present.regions.at("b") == "r2");
  for (const char* wrong : {"bounds.revokeStrict=perhaps\n", "bounds.quotaOver=-1\n",
                            "limits.cpuShare=much\n", "bounds.revokeStrict=true\n"}) {
    INFO(wrong);
    CHECK_THROWS_AS(ReadSettingsText(std::string(kValidSettings) + wrong), std::runtime_error);
  }
}

}  // namespace
}  // namespace poplarmoor::platform
