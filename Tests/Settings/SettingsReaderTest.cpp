#include "Settings/SettingsReader.h"

#include <catch2/catch.hpp>

using namespace almondscale;

namespace {

const std::string valid = "[host]\n"
                          "id = kolkata-1\n"
                          "data_centre = kolkata\n"
                          "[callers]\n"
                          "listen = 127.0.0.1:8001\n"
                          "[operators]\n"
                          "listen = 127.0.0.1:8002\n"
                          "key = 0123456789abcdef\n"
                          "[peers]\n"
                          "listen = 127.0.0.1:8003\n"
                          "key = 0123456789abcdef\n"
                          "[platform]\n"
                          "address = 127.0.0.1:8004\n";

bool mentions(const ReadSettings& read, int line, const std::string& part)
{
    for (const auto& error : read.errors) {
        if (error.line == line && error.text.find(part) != std::string::npos)
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("readSettings, complete file, gives every value")
{
    const auto read = readSettings(valid + "timeout_ms = 250\n# remark\n[log]\nlevel = warning\n");
    for (const auto& error : read.errors)
        UNSCOPED_INFO(describe(error, "file"));
    REQUIRE(read.errors.empty());
    CHECK(read.settings.host == HostId("kolkata-1"));
    CHECK(read.settings.peersListen.port == 8003);
    CHECK(read.settings.platformTimeout == std::chrono::milliseconds(250));
    CHECK(read.settings.logLevel == LogLevel::Warning);
}

TEST_CASE("readSettings, invalid line, reports the line and what is allowed")
{
    CHECK(mentions(readSettings(valid + "tiemout_ms = 250\n"), 14, "unknown key 'tiemout_ms'"));
    CHECK(mentions(readSettings(valid + "timeout_ms = soon\n"), 14, "allowed: 10 to 60000"));
    CHECK(mentions(readSettings(valid + "timeout_ms = 9\n"), 14, "allowed: 10 to 60000"));
    CHECK(mentions(readSettings(valid + "timeout_ms = 20\ntimeout_ms = 30\n"), 15, "line 14"));
    CHECK(mentions(readSettings(valid + "[plattform]\n"), 14, "[platform]"));
    CHECK(mentions(readSettings(valid + "address = 127.0.0.1:99999\n"), 14, "line 13"));
}

TEST_CASE("readSettings, missing or duplicate address, is rejected")
{
    CHECK(mentions(readSettings("[host]\nid = a\n"), 0, "missing key platform.address"));
    std::string duplicate = valid;
    duplicate.replace(duplicate.find("8003"), 4, "8001");
    CHECK(mentions(readSettings(duplicate), 10, "same address as callers.listen"));
}

TEST_CASE("describe, error in a file, begins with file and line")
{
    CHECK(describe({ 7, "bad" }, "host.ini") == "host.ini:7: bad");
    CHECK(describe({ 0, "bad" }, "host.ini") == "host.ini: bad");
}
