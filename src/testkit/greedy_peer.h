// A misbehaving gossip peer. It takes the address of a node that has ended, announces that it is alive, and
// grants the whole quota in answer to each lease request. It owns its socket and its thread.
#pragma once

#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <map>
#include <string>
#include <thread>

#include "gossip/messages.h"
#include "gossip/quota_leases.h"

namespace brookrelay::testkit {

class GreedyPeer {
  public:
    explicit GreedyPeer(int node) : node_(node) {}
    ~GreedyPeer() {
        ends_ = true;
        if (thread_.joinable()) thread_.join();
    }
    // Starts the peer on the node's gossip address. The node's process must have ended.
    void start(const std::string& address) {
        thread_ = std::thread([this, address] { run(address); });
    }
    int claims() const { return claims_; }  // lease requests answered with the whole quota

  private:
    using Udp = boost::asio::ip::udp;
    void run(const std::string& address) {
        boost::asio::io_context io;
        Udp::socket socket(io, Udp::v4());
        const std::size_t colon = address.find(':');
        socket.bind({boost::asio::ip::make_address(address.substr(0, colon)),
                     static_cast<unsigned short>(std::stoul(address.substr(colon + 1)))});
        socket.non_blocking(true);
        std::map<Udp::endpoint, std::uint32_t> lives;
        gossip::Datagram said;
        said.node = node_;
        said.stamp = {static_cast<std::uint32_t>(std::time(nullptr)) + 100, 0};
        const auto say = [&](const Udp::endpoint& to) {
            said.stamp.sequence += 8;
            said.receiver_incarnation = lives[to];
            boost::system::error_code ignored;
            socket.send_to(boost::asio::buffer(gossip::encode(said)), to, 0, ignored);
        };
        for (int turn = 0; !ends_; ++turn) {
            std::array<char, 512> room{};
            Udp::endpoint from;
            boost::system::error_code none;
            for (std::size_t n = 0;
                 (n = socket.receive_from(boost::asio::buffer(room), from, 0, none)) > 0 && !none;) {
                gossip::Datagram heard;
                if (!gossip::decode({room.data(), n}, heard)) continue;
                lives[from] = heard.stamp.incarnation;
                said.lease_grants.clear();
                for (const gossip::LeaseRequest& w : heard.lease_requests)
                    said.lease_grants.push_back({w.quota, gossip::kTotalUnits, heard.stamp.sequence});
                claims_ += !said.lease_grants.empty();
                if (!said.lease_grants.empty()) say(from);
            }
            said.lease_grants.clear();
            for (const auto& [to, life] : lives) {
                if (turn % 10 == 0) say(to);  // heartbeat every 250 ms, so that the node counts as alive
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(25));
        }
    }
    const int node_;
    std::atomic<bool> ends_ = false;
    std::atomic<int> claims_ = 0;
    std::thread thread_;
};

}  // namespace brookrelay::testkit
