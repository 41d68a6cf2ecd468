// Blocking platform calls for commands.
#include "PlatformCalls.h"

#include "../common/Jitter.h"
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/State/Errors.h"

namespace marigoldlink {

namespace {

    constexpr Duration s_retryDelay { 100 };

} // namespace

PlatformCalls::PlatformCalls(const Endpoint& endpoint, Duration timeout)
    : m_client(m_loop)
    , m_platform(m_client, endpoint)
    , m_deadline(m_loop.now() + timeout)
{
}

template <typename Result, typename Function> Result PlatformCalls::wait(Function call)
{
    std::optional<Result> answer;
    call([&answer](Result result) { answer = std::move(result); });
    m_loop.runUntil([&answer] { return answer.has_value(); });
    return std::move(*answer);
}

ReadResult PlatformCalls::tryRead(const std::string& key)
{
    return wait<ReadResult>([&](ReadCallback done) { m_platform.read(key, std::move(done)); });
}

WriteResult PlatformCalls::tryWrite(const std::string& key, const std::string& value, Revision expected)
{
    return wait<WriteResult>([&](WriteCallback done) { m_platform.write(key, value, expected, std::move(done)); });
}

void PlatformCalls::waitBeforeRetry()
{
    bool isOver = false;
    m_loop.after(jittered(s_retryDelay), [&isOver] { isOver = true; });
    m_loop.runUntil([&isOver] { return isOver; });
}

bool PlatformCalls::hasTimedOut() const { return m_loop.now() >= m_deadline; }

std::optional<StoredValue> PlatformCalls::read(const std::string& key)
{
    while (true) {
        const auto result = tryRead(key);
        if (result.status == StoreStatus::Ok)
            return result.value;
        if (result.status == StoreStatus::Missing)
            return std::nullopt;
        if (hasTimedOut())
            throw Error(ErrorKind::PlatformUnavailable, "the platform does not answer; nothing was written");
        waitBeforeRetry();
    }
}

std::vector<StoredValue> PlatformCalls::range(const std::string& prefix)
{
    while (true) {
        auto result = wait<RangeResult>([&](RangeCallback done) { m_platform.range(prefix, std::move(done)); });
        if (result.status == StoreStatus::Ok)
            return std::move(result.values);
        if (hasTimedOut())
            throw Error(ErrorKind::PlatformUnavailable, "the platform does not answer; nothing was written");
        waitBeforeRetry();
    }
}

WriteOutcome PlatformCalls::writeConfig(const ConfigRecord& record, Revision expected)
{
    bool mayHaveTakenEffect = false;
    while (true) {
        const auto written = tryWrite(record.key, encode(record), expected);
        if (written.status == StoreStatus::Ok)
            return WriteOutcome::Applied;
        if (written.status == StoreStatus::Conflict) {
            if (!mayHaveTakenEffect)
                return WriteOutcome::Conflict;
            const auto current = tryRead(record.key);
            if (current.status == StoreStatus::Ok) {
                const auto held = decodeConfigRecord(record.key, current.value.value);
                if (held.writeId == record.writeId)
                    return WriteOutcome::Applied;
                // Each write increments the version, so another record with the same or a lower version shows that
                // this write was not applied.
                return held.version <= record.version ? WriteOutcome::Conflict : WriteOutcome::Unknown;
            }
        }
        mayHaveTakenEffect |= written.status == StoreStatus::Unknown;
        if (hasTimedOut())
            return mayHaveTakenEffect ? WriteOutcome::Unknown : WriteOutcome::NotApplied;
        waitBeforeRetry();
    }
}

WriteOutcome PlatformCalls::write(const std::string& key, const std::string& value, Revision expected)
{
    bool mayHaveTakenEffect = false;
    while (true) {
        const auto written = tryWrite(key, value, expected);
        if (written.status == StoreStatus::Ok)
            return WriteOutcome::Applied;
        if (written.status == StoreStatus::Conflict) {
            const auto current = tryRead(key);
            if (current.status == StoreStatus::Ok && current.value.value == value)
                return WriteOutcome::Applied;
            if (current.status == StoreStatus::Ok)
                return mayHaveTakenEffect ? WriteOutcome::Unknown : WriteOutcome::Conflict;
        }
        mayHaveTakenEffect |= written.status == StoreStatus::Unknown;
        if (hasTimedOut())
            return mayHaveTakenEffect ? WriteOutcome::Unknown : WriteOutcome::NotApplied;
        waitBeforeRetry();
    }
}

HttpResult PlatformCalls::get(const Endpoint& endpoint, const std::string& target)
{
    return wait<HttpResult>([&](HttpClient::Callback done) {
        m_client.send(endpoint, { "GET", target, {}, {}, Duration(1000) }, std::move(done));
    });
}

} // namespace marigoldlink
