#include "RegistryDuty.h"

#include "Core/LogEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/Signal.h"

namespace almondscale {

namespace {

    // A leaving server gets no new work two seconds after it said so; a third of
    // that leaves room for a call that is lost.
    constexpr Nanoseconds pause = std::chrono::milliseconds(600);
    constexpr Nanoseconds retryPause = std::chrono::milliseconds(200);

} // namespace

RegistryDuty::RegistryDuty(platform::StoreClient& store, BackendDirectory& directory)
    : m_store(store)
    , m_directory(directory)
{
}

awaitable<void> RegistryDuty::run()
{
    for (;;) {
        const bool read = co_await readOnce();
        m_directory.sweep(bootTime());
        co_await sleepFor(read ? pause : retryPause);
    }
}

awaitable<bool> RegistryDuty::readOnce()
{
    Result<platform::RegistrationReading> reading = ErrorKind::PlatformUnavailable;
    if (m_whole)
        reading = co_await m_store.readRegistrations();
    else
        reading = co_await m_store.registrationChanges(m_directory.version());
    if (!reading) {
        m_directory.onReadFailed(bootTime());
        if (m_reachable)
            LogEvent("store_lost", LogLevel::Warning)
                .with("reading", "registrations")
                .with("error", reading.error().message());
        m_reachable = false;
        co_return false;
    }
    if (!m_reachable)
        LogEvent("store_regained").with("reading", "registrations");
    m_reachable = true;
    const auto& value = reading.value();
    if (value.historyGone) {
        m_whole = true;
        co_return false;
    }
    if (m_whole)
        m_directory.onSnapshot(value.entries, value.version, bootTime());
    else
        m_directory.onChanges(value.entries, value.version, bootTime());
    m_whole = false;
    co_return true;
}

} // namespace almondscale
