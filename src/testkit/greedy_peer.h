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
        is_stopping_ = true;
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
        std::map<Udp::endpoint, std::uint32_t> incarnations;
        gossip::Datagram reply;
        reply.node = node_;
        reply.stamp = {static_cast<std::uint32_t>(std::time(nullptr)) + 100, 0};
        const auto send_reply = [&](const Udp::endpoint& to) {
            reply.stamp.sequence += 8;
            reply.receiver_incarnation = incarnations[to];
            boost::system::error_code ignored;
            socket.send_to(boost::asio::buffer(gossip::encode(reply)), to, 0, ignored);
        };
        for (int round = 0; !is_stopping_; ++round) {
            std::array<char, 512> buffer{};
            Udp::endpoint from;
            boost::system::error_code error;
            for (std::size_t n = 0;
                 (n = socket.receive_from(boost::asio::buffer(buffer), from, 0, error)) > 0 && !error;) {
                gossip::Datagram received;
                if (!gossip::decode({buffer.data(), n}, received)) continue;
                incarnations[from] = received.stamp.incarnation;
                reply.lease_grants.clear();
                for (const gossip::LeaseRequest& request : received.lease_requests)
                    reply.lease_grants.push_back(
                        {request.quota, gossip::kTotalUnits, received.stamp.sequence});
                claims_ += !reply.lease_grants.empty();
                if (!reply.lease_grants.empty()) send_reply(from);
            }
            reply.lease_grants.clear();
            for (const auto& [to, incarnation] : incarnations) {
                if (round % 10 == 0)
                    send_reply(to);  // heartbeat every 250 ms, so that the node counts as alive
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(25));
        }
    }
    const int node_;
    std::atomic<bool> is_stopping_ = false;
    std::atomic<int> claims_ = 0;
    std::thread thread_;
};

}  // namespace brookrelay::testkit
