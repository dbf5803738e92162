#pragma once

#include "Core/Address.h"
#include "Core/ByteCount.h"
#include "Core/DataCentre.h"
#include "Core/HostId.h"
#include "Core/LogEvent.h"
#include "Core/MonotonicTime.h"

#include <string>
#include <vector>

namespace almondscale {

// The settings of a host, read from its settings file at startup.
struct HostSettings {
    HostId host;
    DataCentre dataCentre;

    Address callersListen;
    ByteCount maxBody { 8 << 20 };
    int maxThreads = 1200;
    Nanoseconds bodyTimeout = std::chrono::seconds(20);
    Nanoseconds idleTimeout = std::chrono::seconds(30);

    Address operatorsListen;
    std::string operatorsKey;

    Address peersListen;
    std::string peersKey;
    std::string peersPreviousKey;

    Address platform;
    Nanoseconds platformTimeout = std::chrono::seconds(1);

    Nanoseconds defaultDeadline = std::chrono::seconds(30);
    int queueRequests = 2000;
    ByteCount queueBytes { 64 << 20 };
    Nanoseconds streamSilence = std::chrono::seconds(2);
    Nanoseconds balancerGrace = std::chrono::seconds(3);
    Nanoseconds reportInterval = std::chrono::milliseconds(250);

    Nanoseconds lease = std::chrono::seconds(10);
    Nanoseconds leaseMargin = std::chrono::seconds(2);
    Nanoseconds engineReadTimeout = std::chrono::seconds(2);
    Nanoseconds orderTimeout = std::chrono::seconds(30);
    bool rolesEnabled = true;

    LogLevel logLevel = LogLevel::Info;
};

} // namespace almondscale
