// Platform stub for tests and the demo: key-value service, instance list and fault injection over HTTP.
//
// It listens on several ports, so that a test can partition or delay one group of callers at a time.
// POST /snapshot saves the state of the key-value store and POST /rollback restores it.
// POST /fault?port=INDEX&mode=ok|down|silent|lose-answers&delay=MS sets the injected fault of one port.
#include "KeyValueStore.h"
#include "marigoldlink/Protocol/RecordCodec.h"
#include "marigoldlink/Support/Log.h"
#include "marigoldlink/Transport/HttpServer.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>
#include <list>
#include <nlohmann/json.hpp>
#include <set>

using namespace marigoldlink;
using namespace marigoldlink::stub;
using Json = nlohmann::json;

namespace {

constexpr Log s_log("platform-stub");
constexpr int s_statusUnavailable = 503;
constexpr Duration s_registrationTtl { 3000 };

enum class FaultMode { Ok, Down, Silent, LoseAnswers };

struct Fault {
    FaultMode mode { FaultMode::Ok };
    Duration delay { 0 };
};

struct Registration {
    ListedInstance info;
    TimePoint lastSeen;
    TimePoint listedFrom;
};

struct PendingWatch {
    std::size_t port;
    std::string prefix;
    Revision after;
    TimePoint deadline;
    HttpResponderPtr responder;
};

class PlatformStub {
public:
    PlatformStub(EventLoop& loop, std::size_t ports, Duration listLag)
        : m_loop(loop)
        , m_faults(ports)
        , m_listLag(listLag)
    {
        m_loop.every(Duration(20), [this] { expireWatches(); });
    }

    void handle(std::size_t port, const HttpRequest& request, HttpResponderPtr responder)
    {
        if (request.path == "/fault" || request.path == "/stats" || request.path == "/register"
            || request.path == "/snapshot" || request.path == "/rollback") {
            control(request, *responder);
            return;
        }
        const auto fault = m_faults[port];
        if (fault.mode == FaultMode::Silent) {
            m_heldResponders.push_back(responder);
            return;
        }
        if (fault.mode == FaultMode::Down) {
            responder->send({ s_statusUnavailable, "{}", "application/json", {} });
            return;
        }
        if (fault.delay.count() == 0) {
            serve(port, request, responder);
            return;
        }
        // The request is valid only during this call, so its parts are copied for the delayed processing.
        delayed(port, request, responder, fault.delay);
    }

private:
    void delayed(std::size_t port, const HttpRequest& request, const HttpResponderPtr& responder, Duration delay)
    {
        auto method = std::string(request.method);
        auto path = std::string(request.path);
        auto query = std::string(request.query);
        auto body = std::string(request.body);
        m_loop.after(delay, [=, this] { serve(port, { method, path, query, body, nullptr }, responder); });
    }

    void serve(std::size_t port, const HttpRequest& request, const HttpResponderPtr& responder)
    {
        if (request.path.starts_with("/kv/")) {
            const std::string key(request.path.substr(4));
            if (request.method == "GET")
                read(key, *responder);
            else
                write(port, key, request, responder);
        } else if (request.path == "/range") {
            ++m_reads;
            answerRange(request.parameter("prefix"), noRevision, *responder);
        } else if (request.path == "/watch") {
            watch(port, request, responder);
        } else if (request.path == "/instances") {
            ++m_reads;
            listInstances(request, *responder);
        } else {
            responder->send({ 404, "{}", "application/json", {} });
        }
    }

    void read(const std::string& key, HttpResponder& responder)
    {
        ++m_reads;
        const auto* value = m_store.find(key);
        if (!value) {
            responder.send({ 404, "{}", "application/json", {} });
            return;
        }
        responder.send({ 200, toJson(*value).dump(), "application/json", {} });
    }

    void write(std::size_t port, const std::string& key, const HttpRequest& request, const HttpResponderPtr& responder)
    {
        ++m_writes;
        ++m_writesByPrefix[key.substr(0, key.find('/'))];
        const Revision expected { std::stoull("0" + request.parameter("expect")) };
        const auto revision = m_store.write(key, std::string(request.body), expected);
        if (m_faults[port].mode == FaultMode::LoseAnswers) {
            m_heldResponders.push_back(responder);
        } else if (revision == noRevision) {
            responder->send({ 409, "{}", "application/json", {} });
        } else {
            responder->send({ 200, Json { { "revision", revision } }.dump(), "application/json", {} });
        }
        answerWatches();
    }

    static Json toJson(const StoredValue& value)
    {
        return { { "key", value.key }, { "value", value.value }, { "revision", value.revision } };
    }

    void answerRange(const std::string& prefix, Revision after, HttpResponder& responder)
    {
        auto items = Json::array();
        for (const auto& value : m_store.changes(prefix, after))
            items.push_back(toJson(value));
        const Json body { { "revision", m_store.revision() }, { "items", items } };
        responder.send({ 200, body.dump(), "application/json", {} });
    }

    void watch(std::size_t port, const HttpRequest& request, const HttpResponderPtr& responder)
    {
        ++m_reads;
        const auto prefix = request.parameter("prefix");
        const Revision after { std::stoull("0" + request.parameter("after")) };
        if (!m_store.changes(prefix, after).empty()) {
            answerRange(prefix, after, *responder);
            return;
        }
        const Duration wait { std::stoll("0" + request.parameter("wait")) };
        m_watches.push_back({ port, prefix, after, m_loop.now() + wait, responder });
    }

    void answerWatches()
    {
        m_watches.remove_if([this](const PendingWatch& watch) {
            if (isPartitioned(watch.port) || m_store.changes(watch.prefix, watch.after).empty())
                return false;
            answerRange(watch.prefix, watch.after, *watch.responder);
            return true;
        });
    }

    void expireWatches()
    {
        const auto now = m_loop.now();
        m_watches.remove_if([this, now](const PendingWatch& watch) {
            if (watch.deadline > now)
                return !watch.responder->isOpen();
            if (isPartitioned(watch.port))
                m_heldResponders.push_back(watch.responder);
            else
                answerRange(watch.prefix, watch.after, *watch.responder);
            return true;
        });
    }

    bool isPartitioned(std::size_t port) const
    {
        return m_faults[port].mode == FaultMode::Silent || m_faults[port].mode == FaultMode::Down;
    }

    void listInstances(const HttpRequest& request, HttpResponder& responder)
    {
        const auto now = m_loop.now();
        std::vector<ListedInstance> list;
        for (const auto& [id, registration] : m_instances) {
            if (registration.listedFrom <= now && now - registration.lastSeen < s_registrationTtl + m_listLag)
                list.push_back(registration.info);
        }
        const auto body = encode(list);
        const auto tag = '"' + std::to_string(std::hash<std::string> {}(body)) + '"';
        // A delayed request has lost its headers and gets the complete list.
        if (request.native && request.header("if-none-match") == tag)
            responder.send({ 304, {}, "application/json", { { "etag", tag } } });
        else
            responder.send({ 200, body, "application/json", { { "etag", tag } } });
    }

    void control(const HttpRequest& request, HttpResponder& responder)
    {
        if (request.path == "/fault")
            setFault(request);
        else if (request.path == "/register")
            registerInstances(request);
        else if (request.path == "/snapshot")
            m_snapshot = m_store;
        else if (request.path == "/rollback")
            m_store = m_snapshot;
        const Json stats { { "reads", m_reads }, { "writes", m_writes }, { "writes_by_prefix", m_writesByPrefix },
            { "watches", m_watches.size() }, { "revision", m_store.revision() } };
        responder.send({ 200, stats.dump(), "application/json", {} });
    }

    void setFault(const HttpRequest& request)
    {
        static const std::map<std::string, FaultMode> modes { { "ok", FaultMode::Ok }, { "down", FaultMode::Down },
            { "silent", FaultMode::Silent }, { "lose-answers", FaultMode::LoseAnswers } };
        const auto found = modes.find(request.parameter("mode"));
        const Fault fault { found == modes.end() ? FaultMode::Ok : found->second,
            Duration(std::stoll("0" + request.parameter("delay"))) };
        const auto port = request.parameter("port");
        for (std::size_t i = 0; i < m_faults.size(); ++i) {
            if (port.empty() || port == std::to_string(i))
                m_faults[i] = fault;
        }
        if (fault.mode == FaultMode::Ok)
            m_heldResponders.clear();
        s_log.info("Set the injected fault.", { { "port", port }, { "mode", request.parameter("mode") } });
    }

    void registerInstances(const HttpRequest& request)
    {
        for (auto& info : decodeInstanceList(std::string(request.body))) {
            auto& slot = m_instances[info.id];
            const auto now = m_loop.now();
            if (slot.info.id.empty())
                slot.listedFrom = now + m_listLag;
            slot.lastSeen = now;
            slot.info = std::move(info);
        }
    }

    EventLoop& m_loop;
    KeyValueStore m_store;
    KeyValueStore m_snapshot;
    std::vector<Fault> m_faults;
    std::list<PendingWatch> m_watches;
    std::vector<HttpResponderPtr> m_heldResponders;
    std::map<InstanceId, Registration> m_instances;
    Duration m_listLag;
    std::uint64_t m_reads { 0 };
    std::uint64_t m_writes { 0 };
    std::map<std::string, std::uint64_t> m_writesByPrefix;
};

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    std::vector<std::string> listen;
    std::int64_t lag = 0;
    po::options_description options("marigold-platform-stub: platform stub for tests and the demo");
    options.add_options()("help", "print this help")("listen",
        po::value(&listen)->multitoken()->default_value({ "127.0.0.1:0" }, "127.0.0.1:0"),
        "addresses to listen on, one for each group of callers")(
        "list-lag", po::value(&lag)->default_value(0), "lag of the instance list in milliseconds");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        if (values.count("help")) {
            std::cout << options;
            return 0;
        }
        EventLoop loop;
        PlatformStub stub(loop, listen.size(), Duration(lag));
        std::list<HttpServer> servers;
        for (std::size_t i = 0; i < listen.size(); ++i) {
            const auto& server
                = servers.emplace_back(loop, HttpServer::Limits { std::size_t { 8 } * 1024 * 1024, Duration(10000) },
                    [&stub, i](const HttpRequest& request, HttpResponderPtr responder) {
                        stub.handle(i, request, std::move(responder));
                    });
            const auto endpoint = const_cast<HttpServer&>(server).listen(Endpoint::parse(listen[i]));
            std::cout << "listening " << endpoint.text() << std::endl;
        }
        loop.onTerminate([&loop] { loop.stop(); });
        loop.run();
    } catch (const std::exception& error) {
        std::cerr << "marigold-platform-stub: " << error.what() << '\n';
        return 2;
    }
    return 0;
}
