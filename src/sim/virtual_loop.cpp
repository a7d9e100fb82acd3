#include "sim/virtual_loop.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace gatetiller::sim {

using net::Closed;

// One end of a connection. Bytes that arrive while nobody reads wait here, as in a kernel's buffer.
struct VirtualLoop::End final : std::enable_shared_from_this<End> {
    explicit End(VirtualLoop& l) : loop(l) {}

    net::SendId send(std::string bytes) {
        if (!open || finishing || bytes.empty())
            return 0;
        early.emplace_back(++last_send, std::move(bytes));
        const net::SendId id = last_send;  // what goes out may lead to further sends
        if (!connecting)
            go_out();
        return id;
    }
    void go_out() {
        if (owner && !early.empty())
            owner->on_sending(SIZE_MAX);
        for (auto& [id, bytes] : std::exchange(early, {}))
            go_out(std::move(bytes));
    }
    void go_out(std::string bytes) {
        const auto to = other.lock();
        if (!to)
            return;
        if (unsent == 0)
            loop.after(0, [self = shared_from_this()] {
                self->unsent = 0;
                if (self->owner)
                    self->owner->on_sent();
            });
        unsent += bytes.size();
        to->arriving([to, bytes = std::move(bytes)] {
            if (!to->open)
                return;
            to->waiting.append(bytes);
            to->deliver();
        });
    }
    // What comes over the network keeps its order.
    void arriving(std::function<void()> what) {
        last_arrival = std::max(last_arrival, loop.now_ + loop.delay());
        loop.after(last_arrival - loop.now_, std::move(what));
    }
    bool cancel_send(net::SendId id) {
        return id == 0 || std::erase_if(early, [&](const auto& kept) {
                              return kept.first == id;
                          }) > 0;
    }
    void finish() {
        if (!open || std::exchange(finishing, true))
            return;
        reading = true;
        in.clear();
        say_end();
    }
    void say_end() {
        const auto to = other.lock();
        if (std::exchange(said_end, true) || !to || !to->open)
            return;
        to->arriving([to] {
            to->closing = Closed::by_peer;
            to->deliver();
        });
    }
    void deliver() {
        if (!reading || !owner)
            return;
        if (finishing)
            waiting.clear();
        if (!waiting.empty()) {
            in.append(std::exchange(waiting, {}));
            owner->on_data(in);
        }
        if (reading && open && closing && waiting.empty())
            end(*closing);
    }
    void end(Closed how) {
        if (!std::exchange(open, false))
            return;
        loop.cancel(std::exchange(connect_timer, 0));
        if (net::StreamEvents* told = std::exchange(owner, nullptr))
            told->on_closed(how);
    }
    void drop() {
        owner = nullptr;
        loop.cancel(std::exchange(connect_timer, 0));
        open = false;
        say_end();
    }

    VirtualLoop& loop;
    std::weak_ptr<End> other;
    net::StreamEvents* owner = nullptr;
    Buffer in;
    std::string waiting, peer;
    std::vector<std::pair<net::SendId, std::string>> early;  // while it is coming up
    net::SendId last_send = 0;
    std::size_t unsent = 0;
    bool open = true, reading = true, connecting = false, offering = false, finishing = false,
         said_end = false;
    std::optional<Closed> closing;
    Micros last_arrival = 0;
    net::TimerId connect_timer = 0;
};

class VirtualLoop::EndStream final : public net::Stream {
public:
    explicit EndStream(std::shared_ptr<End> end) : end_(std::move(end)) {}
    ~EndStream() override {
        end_->drop();
    }
    void events(net::StreamEvents& to) override {
        end_->owner = &to;
    }
    net::SendId send(std::string bytes) override {
        return end_->send(std::move(bytes));
    }
    std::size_t unsent() const override {
        std::size_t early = 0;
        for (const auto& [id, bytes] : end_->early)
            early += bytes.size();
        return end_->unsent + early;
    }
    net::Written written(net::SendId id) const override {
        const auto kept = std::any_of(end_->early.begin(), end_->early.end(), [&](const auto& held) {
            return held.first == id;
        });
        return id == 0 || kept ? net::Written::none : net::Written::all;
    }
    std::optional<std::size_t> unacknowledged() const override {
        return std::nullopt;
    }
    bool cancel_send(net::SendId id) override {
        return end_->cancel_send(id);
    }
    void finish() override {
        end_->finish();
    }
    bool replace(net::SendId id, std::string bytes) override {
        for (auto& [kept, held] : end_->early)
            if (kept == id)
                return held = std::move(bytes), true;
        return false;
    }
    void discard_unsent() override {
        end_->early.clear(), end_->finishing = true;
    }
    void discard() override {
        discard_unsent();
    }  // bytes on their way arrive: nothing here holds them
    bool read_now() override {
        if (const auto kept = end_; kept->open)
            kept->deliver();
        return true;
    }
    void read(bool on) override {
        if (std::exchange(end_->reading, on) == on || !on)
            return;
        end_->loop.after(0, [e = end_] {
            e->deliver();
        });
    }
    Micros resource_delay() const override {
        return 0;
    }
    void schedule_delivery() override {
        if (end_->in.empty() || std::exchange(end_->offering, true))
            return;
        end_->loop.after(0, [e = end_] {
            e->offering = false;
            if (e->owner && !e->in.empty())
                e->owner->on_data(e->in);
        });
    }
    void set_input_budget(const net::InputBudget&) override {}  // a virtual network has room for all
    void discard_input() override {
        end_->in.clear();
    }
    const std::string& peer() const override {
        return end_->peer;
    }

private:
    std::shared_ptr<End> end_;
};

struct VirtualLoop::Door {
    net::Address address;
    std::function<void(std::unique_ptr<net::Stream>)> accepted;
    bool accepting = true;
    std::deque<std::shared_ptr<End>> waiting;  // as in the kernel's queue
    void take(std::shared_ptr<End> end) {
        accepted(std::make_unique<EndStream>(end));
        end->loop.after(0, [end] {
            end->deliver();
        });  // what came while it waited
    }
};

class VirtualLoop::DoorListener final : public net::Listener {
public:
    explicit DoorListener(std::shared_ptr<Door> door) : door_(std::move(door)) {}
    const net::Address& address() const override {
        return door_->address;
    }
    void accept(bool on) override {
        door_->accepting = on;
        take_waiting([](const Door& door) {
            return door.accepting;
        });
    }
    bool accept_pending(std::size_t most) override {
        const auto door = door_;
        take_waiting([&](const Door&) {
            return most-- > 0;
        });
        return door->waiting.empty();
    }

private:
    template <typename May>
    void take_waiting(May may) {
        for (const auto door = door_; may(*door) && !door->waiting.empty();) {
            auto end = std::move(door->waiting.front());
            door->waiting.pop_front();
            door->take(std::move(end));
        }
    }

    std::shared_ptr<Door> door_;  // the loop holds it weakly: closed when this goes
};

VirtualLoop::VirtualLoop(VirtualSettings settings) : settings_(settings), random_(settings.seed) {}
VirtualLoop::~VirtualLoop() = default;

Micros VirtualLoop::delay() {
    return settings_.delay_low + static_cast<Micros>(random_.below(static_cast<std::uint64_t>(
                                     settings_.delay_high - settings_.delay_low + 1)));
}

net::TimerId VirtualLoop::after(Micros delay, std::function<void()> call) {
    const net::TimerId id = ++last_;
    const Micros at = now_ + std::max<Micros>(0, delay);
    when_.emplace(id, at);
    due_.emplace(std::pair(at, id), std::move(call));
    return id;
}

void VirtualLoop::cancel(net::TimerId timer) {
    const auto found = when_.find(timer);
    if (found == when_.end())
        return;
    due_.erase({found->second, timer});
    when_.erase(found);
}

bool VirtualLoop::step() {
    if (due_.empty())
        return false;
    auto event = due_.extract(due_.begin());
    when_.erase(event.key().second);
    now_ = event.key().first;
    ++events_done_;
    event.mapped()();
    return true;
}

bool VirtualLoop::run(const std::function<bool()>& until, Micros longest) {
    for (const Micros end = now_ + longest; !until();) {
        if (due_.empty() || due_.begin()->first.first > end) {
            now_ = std::max(now_, end);
            return until();
        }
        step();
    }
    return true;
}

Result<std::unique_ptr<net::Listener>> VirtualLoop::listen(
    const net::Address& at, std::function<void(std::unique_ptr<net::Stream>)> accepted) {
    auto door = std::make_shared<Door>();
    door->address = at;
    if (at.port == 0 && at.family != net::Address::Family::local)
        door->address.port = next_port_++;
    auto& place = doors_[door->address.text()];
    if (!place.expired())
        return Error{"cannot listen on " + door->address.text() + ": it is taken"};
    door->accepted = std::move(accepted);
    place = door;
    return std::unique_ptr<net::Listener>(std::make_unique<DoorListener>(std::move(door)));
}

std::unique_ptr<net::Stream> VirtualLoop::connect(const net::Address& to, net::StreamEvents& events,
                                                  Micros time_out) {
    auto mine = std::make_shared<End>(*this);
    mine->owner = &events;
    mine->connecting = true;
    mine->peer = to.text();
    mine->connect_timer = after(time_out, [mine] {
        mine->connect_timer = 0;
        mine->end(Closed::connect_timed_out);
    });
    after(delay(), [this, mine, to] {
        if (!mine->open)
            return;
        const auto found = doors_.find(to.text());
        const auto door = found == doors_.end() ? nullptr : found->second.lock();
        if (!door) {
            after(delay(), [mine] {
                mine->end(Closed::refused);
            });
            return;
        }
        auto theirs = std::make_shared<End>(*this);
        theirs->other = mine, mine->other = theirs;
        theirs->peer = "127.0.0.1:" + std::to_string(next_port_);
        mine->arriving([mine] {
            if (!mine->open)
                return;
            mine->loop.cancel(std::exchange(mine->connect_timer, 0));
            mine->connecting = false;
            if (mine->owner)
                mine->owner->on_connected();
            mine->go_out();
        });
        if (door->accepting)
            door->accepted(std::make_unique<EndStream>(std::move(theirs)));
        else
            door->waiting.push_back(std::move(theirs));
    });
    return std::make_unique<EndStream>(std::move(mine));
}

struct VirtualLoop::Post {
    net::Address address;
    net::Datagrams::Received received;
};

// Datagrams may overtake each other: each has a delay of its own.
class VirtualLoop::PostDatagrams final : public net::Datagrams {
public:
    PostDatagrams(VirtualLoop& loop, std::shared_ptr<Post> post) : loop_(loop), post_(std::move(post)) {}
    void send(const net::Address& to, std::string_view bytes) override {
        loop_.after(loop_.delay(),
                    [&loop = loop_, from = post_->address, to = to.text(), copy = std::string(bytes)] {
                        const auto found = loop.posts_.find(to);
                        if (const auto post = found == loop.posts_.end() ? nullptr : found->second.lock())
                            post->received(from, copy);
                    });
    }
    const net::Address& address() const override {
        return post_->address;
    }

private:
    VirtualLoop& loop_;
    std::shared_ptr<Post> post_;  // the loop holds it weakly: closed when this goes
};

Result<std::unique_ptr<net::Datagrams>> VirtualLoop::datagrams(const net::Address& at,
                                                               net::Datagrams::Received received) {
    auto post = std::make_shared<Post>(Post{at, std::move(received)});
    if (at.port == 0)
        post->address.port = next_port_++;
    auto& place = posts_[post->address.text()];
    if (!place.expired())
        return Error{"cannot receive datagrams on " + post->address.text() + ": it is taken"};
    place = post;
    return std::unique_ptr<net::Datagrams>(std::make_unique<PostDatagrams>(*this, std::move(post)));
}

}  // namespace gatetiller::sim
