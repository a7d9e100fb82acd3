// The processes and stand-ins of one soak.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/platform.hpp"
#include "lab/process.hpp"
#include "net/poll_loop.hpp"
#include "shim/fault_control.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/soak.hpp"

namespace gatetiller::soak {

// The fault shim's memory of one process, shared with it through a file.
class ControlFile {
public:
    static Result<std::unique_ptr<ControlFile>> create(const std::string& file);
    ~ControlFile();
    ControlFile(const ControlFile&) = delete;
    ControlFile& operator=(const ControlFile&) = delete;
    testing::FaultControl& operator*() {
        return *control_;
    }
    testing::FaultControl* operator->() {
        return control_;
    }
    const std::string& file() const {
        return file_;
    }

private:
    ControlFile() = default;
    std::string file_;
    testing::FaultControl* control_ = nullptr;
};

// A client with a connection of its own through the proxy, and what it asked.
struct Client {
    struct Asked {
        std::string trace;
        Micros at = 0;
        bool first = false;  // on its connection
    };
    LinkId link = 0;
    net::Address address;  // of its link
    std::unique_ptr<lab::PlatformClient> connection;
    std::vector<Asked> asked;  // on this connection
};

// A request whose client's record has to be read with care.
struct ClientEnd {
    std::string trace;
    enum class Why {
        left,
        cut,
        crossed
    } why = Why::left;
    Micros at = 0;
};

struct Node {
    enum class State {
        down,
        starting,
        up,
        ending,
        stopped
    };
    std::string name, config, log;
    net::Address listen, dns;
    State state = State::down;
    lab::Process process, ending;  // ending: the one before, where a restart overlaps
    std::unique_ptr<ControlFile> control;
    std::vector<Client> clients;
    std::unique_ptr<lab::PlatformClient> prober;
    Micros started_at = 0, told_to_end_at = 0, restart_at = 0, next_ask = 0;
    Micros slow_start = 0;  // time for which it was not to blame for not being ready
    bool taking = false;
    bool was_ready = false;  // its process, once
};

struct Engine {
    std::string name;
    std::unique_ptr<lab::PlatformEngine> stand_in;
    lab::NameService::Entry entry;
    std::vector<LinkId> links;  // by node
    Micros started_at = 0;      // on the loop's clock; 0: it was up from the beginning
    bool up = true;
};

class Fleet {
public:
    Fleet(const SoakOptions& options, SoakResult& result);
    Result<bool> begin();  // every node up and ready
    void turn();           // of the loop, and whatever is due
    void quiesce();        // asks nothing new, until nothing is open
    void end_all();        // SIGTERM to every node; waits for them

    void start_node(Node& node);
    void kill_node(Node& node);
    void terminate_node(Node& node, bool restart_overlaps);
    void stop_node(Node& node);
    void continue_node(Node& node);
    void reload_node(Node& node, bool half_written);
    void signal_in_series(Node& node);  // new configurations and planned restarts, one right behind another
    // Whole, it tells the node of engines that it may never have heard of; of others a list does.
    void write_config(const Node& node, bool half = false);
    void move_names(Node& node);
    // Of the trouble of that number; nothing: it is over. Those that last at once add up.
    void trouble_names(std::size_t trouble, const std::optional<lab::NameFaults>& faults);
    Engine& add_engine(bool cold);
    void crash_engine(Engine& engine);
    void remove_engine(Engine& engine);
    void leave(Client& client, Node& node, bool cut);
    void rude_client(Node& node);
    void idle_crowd(Node& node, std::size_t size);
    void drop_crowd() {
        crowd_.clear();
    }

    std::vector<Engine*> engines_up();
    void find(const std::string& kind, const std::string& what) {
        result_.findings.push_back({kind, what});
    }
    void record(const char* event, const Node& node);

    const SoakOptions& options;
    const EngineSettings engine_settings;  // as every node's configuration has them
    net::PollLoop loop;
    Random random;
    lab::Records records, engine_records;  // engine_records: what engines did themselves
    lab::NameService names;
    FaultProxy proxy;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<ClientEnd> client_ends;
    std::map<std::string, int> work_ms;  // of requests asked
    bool asking = true;

private:
    std::string config_text(const Node& node) const;
    std::string command(const Node& node) const;
    void connect(Client& client, Node& node);
    void ask(Node& node);
    void look_at(Node& node);
    void look_starting(Node& node);
    void look_ending(Node& node);
    void look_at_clients(Node& node);
    void ended_connection(Client& client);
    void crashed(const Node& node, int status);
    bool ended_before_main(const Node& node) const;
    bool told_of_files(const Node& node) const;

    SoakResult& result_;
    std::map<std::size_t, lab::NameFaults> name_troubles_;
    std::vector<std::unique_ptr<lab::PlatformClient>> rudes_, crowd_;
};

}  // namespace gatetiller::soak
