// The running front node: what clients, engines and the name service say becomes events of the module, and
// its actions what is sent. It decides nothing by itself: what the module leaves open is asked of src/decide.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/driver.hpp"
#include "decide/client_request.hpp"
#include "decide/life.hpp"
#include "decide/node_admission.hpp"
#include "node/clients.hpp"
#include "node/config.hpp"
#include "node/engine_link.hpp"
#include "roster/dns_source.hpp"

namespace gatetiller::node {

struct NodeDeps {
    std::function<void(const std::string&)> log;    // what an operator reads
    std::function<void(const std::string&)> trace;  // one line for each finished request; may be absent
};

class Node {
public:
    Node(net::Loop& loop, NodeSettings settings, NodeDeps deps);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    Result<net::Address> start();  // the address that clients connect to
    // A new configuration file: the name service's address and the machine's limits. What the module was told
    // at the start (settings, seed) and the address listened on need a restart; a change of them is logged.
    void reload(const NodeSettings& settings);
    // A planned restart: goes on serving while clients still come, refuses after that, ends what it has.
    // `done` once nothing is left. A second call changes nothing.
    void drain(std::function<void()> done);
    std::size_t requests() const { return running_.size(); }
    // By engine: attempts that the module counts as out, and those out on the sockets.
    std::vector<std::pair<std::size_t, std::size_t>> out_by_engine() const;
    // One line: what the module reckons with and what the sockets hold, by engine.
    std::string status() const;

private:
    struct Running;
    struct Attempt;
    struct Engine {
        std::string name, address;
        std::unique_ptr<EngineLink> link;
        std::size_t out = 0;  // attempts that the module has not been told the end of
        bool listed = true;
    };

    void take_list(std::uint64_t number, const std::vector<decide::ListedEngine>& list);
    void requested(Clients::Id client, thrift::Call call, Micros unseen);
    void given_up(Clients::Id client, std::int32_t seq);
    void carry_out(const Action& action);
    void send(const Send& action);
    // Ends an attempt of which nothing has gone out yet: it never ran. Whether that was so.
    bool recall(Attempt& a);
    void complete(Attempt& a, Outcome outcome, bool finished, decide::ExchangeEnd* end = nullptr);
    void on_end(Attempt& a, decide::ExchangeEnd end);
    void finish(Running& r, std::string frame, const char* how);
    void refuse(Running& r, Micros come_back, const char* how);
    void free_later(const std::string& id);
    void tick();
    void look_drained();
    void end_all();
    Running* find(const std::string& id);
    std::string name_of(EngineId id) const;
    std::string bounds_text() const;

    net::Loop& loop_;
    NodeSettings settings_;
    NodeDeps deps_;
    decide::NodeBounds bounds_;
    LinkPool pool_;
    core::Driver driver_;
    Clients clients_;
    roster::DnsSource dns_;
    decide::EngineList list_;
    std::map<EngineId, Engine> engines_;
    std::unordered_map<std::string, std::unique_ptr<Running>> running_;
    std::map<std::pair<Clients::Id, std::int32_t>, std::string> asked_;  // which request a client's number is
    std::size_t statement_bytes_ = 0;
    std::vector<std::string> to_free_;
    std::map<std::string, std::uint64_t> ended_;  // counts by how
    std::uint64_t bad_lists_ = 0;
    decide::RestartTimes restart_;
    Micros draining_since_ = 0;
    std::function<void()> drained_;
    net::TimerId free_timer_ = 0, tick_timer_ = 0, drain_timer_ = 0;
    int ticks_ = 0;
};

}  // namespace gatetiller::node
