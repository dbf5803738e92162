#include "ViewCommands.h"

#include "Http/Json.h"
#include "Http/JsonBuilder.h"
#include "TextTable.h"

#include <fstream>
#include <iostream>

namespace almondscale {

namespace {

    ExitStatus showTable(const ToolOptions& options, const HostConnection& host, const std::string& path,
        const char* member, const std::vector<Column>& columns)
    {
        const CallResult result = host.get(path);
        if (!result.ok() || result.response->status != 200)
            return reportFailure(result);
        printRows(result.response->body, member, columns, options.json);
        return ExitStatus::Success;
    }

} // namespace

ExitStatus showStatus(const ToolOptions& options, const HostConnection& host)
{
    const CallResult result = host.get("/status");
    if (!result.ok() || result.response->status != 200)
        return reportFailure(result);
    const auto json = parseJson(result.response->body);
    if (options.json || !json) {
        std::cout << result.response->body << "\n";
        return ExitStatus::Success;
    }
    for (const auto& member : json->GetObject()) {
        const bool text = member.value.IsString();
        std::cout << member.name.GetString() << "="
                  << (text ? member.value.GetString() : serializeJson(member.value)) << "\n";
    }
    return ExitStatus::Success;
}

ExitStatus showHosts(const ToolOptions& options, const HostConnection& host)
{
    return showTable(options, host, "/hosts", "hosts",
        { { "HOST", "id" }, { "DATA CENTRE", "data_centre" }, { "ADDRESS", "address" }, { "STATE", "state" },
            { "RULES", "rules_version" }, { "INCARNATION", "incarnation" } });
}

ExitStatus showEngines(const ToolOptions& options, const HostConnection& host)
{
    return showTable(options, host, "/engines", "engines",
        { { "ENGINE", "id" }, { "MODEL", "model" }, { "DATA CENTRE", "data_centre" }, { "ROLE", "role" },
            { "STATE", "state" }, { "RUNNING", "running" }, { "QUEUED", "queued" },
            { "FREE BLOCKS", "free_blocks" }, { "FENCING", "checks_fencing" } });
}

ExitStatus showServers(const ToolOptions& options, const HostConnection& host)
{
    return showTable(options, host, "/servers", "servers",
        { { "SERVER", "id" }, { "SERVICE", "service" }, { "DATA CENTRE", "data_centre" },
            { "ADDRESS", "address" }, { "ROLE", "role" }, { "STATE", "state" }, { "WORD", "word" },
            { "BARRED MS", "barred_ms" }, { "LIMIT/S", "limit_per_s" }, { "SHARE/S", "share_per_s" },
            { "SENT HERE", "sent_here" }, { "SENT", "sent" }, { "OPEN HERE", "open_here" },
            { "OPEN ELSEWHERE", "open_elsewhere" }, { "PREFILL MS", "prefill_ms" } });
}

ExitStatus showSuspects(const ToolOptions& options, const HostConnection& host)
{
    return showTable(options, host, "/suspects", "suspects",
        { { "ID", "id" }, { "KIND", "kind" }, { "STATE", "state" }, { "SERVERS", "servers" },
            { "CONSECUTIVE", "consecutive" }, { "AGE MS", "age_ms" }, { "REFUSED MS", "refused_ms" } });
}

ExitStatus showLeases(const ToolOptions& options, const HostConnection& host)
{
    return showTable(options, host, "/leases", "leases",
        { { "LEASE", "lease" }, { "DATA CENTRE", "data_centre" }, { "MODEL", "model" },
            { "HOLDER", "holder" }, { "FENCING", "fencing" }, { "HELD HERE", "held_here" },
            { "MAY ORDER", "may_order" }, { "LAST ORDER", "last_order" } });
}

ExitStatus orderEngine(const ToolOptions& options, const HostConnection& host)
{
    if (options.words.size() != 5) {
        std::cerr << "give ENGINE KIND VALUE, such as engine-1 role prefill\n";
        return ExitStatus::WrongUse;
    }
    const std::string body = JsonBuilder()
                                 .text("engine", options.words[2])
                                 .text("kind", options.words[3])
                                 .text("value", options.words[4])
                                 .finish();
    const CallResult result = host.post("/engines/order", body);
    if (!result.ok() || result.response->status != 202)
        return reportFailure(result);
    std::cout << "ordered; 'almondscale leases' shows how it ends\n";
    return ExitStatus::Success;
}

ExitStatus reportBurn(const ToolOptions& options, const HostConnection& host)
{
    const auto picture = options.values.find("svg");
    const std::string format = picture != options.values.end() ? "svg" : options.json ? "json" : "table";
    const CallResult result = host.get("/report/burn?format=" + format);
    if (!result.ok() || result.response->status != 200)
        return reportFailure(result);
    if (picture == options.values.end()) {
        std::cout << result.response->body << (options.json ? "\n" : "");
        return ExitStatus::Success;
    }
    std::ofstream file(picture->second);
    file << result.response->body;
    if (!file) {
        std::cerr << picture->second << ": cannot be written; name a file in a folder that can be\n";
        return ExitStatus::WrongUse;
    }
    return ExitStatus::Success;
}

ExitStatus shutDown(const ToolOptions&, const HostConnection& host)
{
    const CallResult result = host.post("/shutdown", "");
    if (!result.ok() || result.response->status != 202)
        return reportFailure(result);
    std::cout << "shutting down; running requests are finished first\n";
    return ExitStatus::Success;
}

} // namespace almondscale
