// The running front node: what clients, engines and the name service say becomes events of the module, and
// its actions what is sent. It decides nothing by itself: what the module leaves open is asked of src/decide.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/policy_driver.hpp"
#include "decide/attempt_guard.hpp"
#include "decide/client_request.hpp"
#include "decide/node_admission.hpp"
#include "decide/request_lifecycle.hpp"
#include "discovery/dns_endpoint_source.hpp"
#include "node/clients.hpp"
#include "node/config.hpp"
#include "node/engine_connections.hpp"

namespace gatetiller::node {

struct NodeDeps {
    std::function<void(const std::string&)> log;  // what an operator reads
    // One line for each state change of a request, a connection or the list, with its reason; may be absent.
    std::function<void(const std::string&)> trace;
    std::function<std::uint64_t()> log_lines_lost = nullptr;  // of the log, where it could not be written
};

class Node {
public:
    Node(net::Loop& loop, NodeSettings settings, NodeDeps deps);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // The address that clients connect to. Where it fails it may be called again, and goes on where it
    // failed.
    Result<net::Address> start();
    bool has_list() const {
        return !list_.endpoints().empty() || list_.serial() > 0;
    }
    bool listens() const {
        return clients_.listens();
    }
    // A new configuration file: the name service's address and the machine's limits. What the module was told
    // at the start (settings, seed) and the address listened on need a restart; a change of them is logged.
    void reload(const NodeSettings& settings);
    // A planned restart: goes on serving while clients still come, refuses after that, ends what it has.
    // `done` once nothing is left. A second call changes nothing.
    void drain(std::function<void()> done);
    std::size_t requests() const {
        return running_.size();
    }
    // By engine: attempts that the module counts as out, and those out on the sockets.
    std::vector<std::pair<std::size_t, std::size_t>> out_by_engine() const;
    // One line: what the module reckons with and what the sockets hold, by engine (of a large fleet the
    // busiest alone), and the counts.
    std::string status() const;
    const decide::ViolationCounts& violations() const {
        return violations_;
    }
    void count(decide::Invariant invariant, const std::string& what);  // a guard refused; told in the log

private:
    struct Running;
    struct Attempt;
    struct Engine {
        std::string name, address;
        std::unique_ptr<EngineConnections> link;
        std::size_t out = 0;  // attempts that the module has not been told the end of
        bool listed = true;
        std::string kind, zone;
        std::int64_t cell = 0;
        Micros came_up = 0;         // on the loop's clock; 0: long ago
        Micros draining_since = 0;  // when this node was told; 0: it does not drain
        bool to_discard = false;    // it drains, and what the kernel holds for it has not been looked at yet
        std::deque<Micros> sent;    // attempts while it was cold, within the window of the slow start
    };

    void heard_list(const discovery::ReceivedUpdate& heard);
    void take_change(std::optional<EndpointUpdate> change);  // of the list
    void note_change(const EndpointUpdate& change);
    void discard_for_drained();
    Micros wall_now() const;
    void requested(Clients::Id client, thrift::Call call, Micros unseen);
    void given_up(Clients::Id client, std::int32_t seq);
    void carry_out(const Action& action);
    void send(const DispatchAttempt& action);
    void send_again(const Running& r);  // of faults planted by the soak
    decide::AttemptContext facts_of(const Attempt& a) const;
    decide::EndpointSnapshot target_facts(const Engine& e) const;
    std::optional<double> cold_requests(const Engine& e) const;
    std::string text_of(const Attempt& a) const;
    std::string list_text() const;
    std::string engines_text() const;
    // Ends an attempt of which nothing has gone out yet: it never ran.
    void recall(Attempt& a);
    // Ends one that has not gone out whole, which never ran either, at the price of its connection.
    void withhold(Attempt& a);
    void complete(Attempt& a, AttemptOutcome outcome, bool finished, decide::ExchangeResult* end = nullptr);
    void on_end(Attempt& a, decide::ExchangeResult end);
    void finish(Running& r, std::string frame, const char* how,
                std::optional<GiveUpReason> reason = std::nullopt);
    void refuse(Running& r, Micros come_back, const char* how,
                std::optional<GiveUpReason> reason = std::nullopt);
    void free_later(const std::string& id);
    void tick();
    void look_at_list_age();
    void look_drained();
    void end_all();
    Running* find(const std::string& id);
    std::string name_of(EngineId id) const;
    std::string bounds_text() const;

    net::Loop& loop_;
    NodeSettings settings_;
    NodeDeps deps_;
    decide::ResourceLimits bounds_;
    ConnectionPool pool_;
    core::PolicyDriver driver_;
    Clients clients_;
    discovery::DnsEndpointSource dns_;
    decide::EndpointList list_;
    std::map<EngineId, Engine> engines_;
    std::unordered_map<std::string, std::unique_ptr<Running>> running_;
    std::map<std::pair<Clients::Id, std::int32_t>, std::string> asked_;  // which request a client's number is
    std::size_t statement_bytes_ = 0;
    std::vector<std::string> to_free_;
    std::map<std::string, std::uint64_t> ended_;           // counts by how
    std::map<std::string, std::uint64_t> attempts_ended_;  // counts by outcome
    decide::AttemptGuard guard_;
    decide::ViolationCounts violations_;
    double mean_work_ = 0;  // of the requests taken, on one thread, in microseconds
    std::uint64_t bad_lists_ = 0;
    Micros wall_offset_ = 0;  // from the loop's clock to the wall's, read once
    bool started_ = false, discovering_ = false;
    bool list_is_old_ = false;  // and the log says so
    decide::ShutdownSchedule restart_;
    Micros draining_since_ = 0;
    std::function<void()> drained_;
    net::TimerId free_timer_ = 0, tick_timer_ = 0, drain_timer_ = 0, discard_timer_ = 0;
    int ticks_ = 0;
};

}  // namespace gatetiller::node
