/// The schedule of a graceful shutdown, from SIGTERM to the platform's kill. It performs no action: the node
/// closes the connections and responds to the requests. All times are monotonic, in seconds.
#pragma once

namespace brookrelay {

/// Computes the next step of a shutdown from the time of the signal and the longest client timeout.
class GracefulShutdown {
  public:
    enum class Step {
        wait,                // call next_step() again after kCheckInterval
        fail_open_requests,  // the kill is near: respond to all open requests with an error
        finish,              // end the process
    };
    /// What the node still has to do.
    struct Work {
        bool has_clients = false;        // a client may still send a command
        bool has_open_requests = false;  // a request has no response yet
        // A response has begun, or is complete, and has not reached its client.
        bool has_undelivered_responses = false;
    };
    static constexpr double kCheckInterval = 0.05;  // s

    /// `now` is the earliest time at which the signal may have arrived, because the time until the kill
    /// counts from the signal. `longest_client_timeout` determines the earliest time of the kill. With a
    /// shared listener, new clients connect to the other processes, so connections close at once; otherwise
    /// they close only when another node has had time to start.
    void begin(double now, double longest_client_timeout, bool has_shared_listener);
    /// Takes the timeout of a configuration that was loaded after begin(). A shorter timeout may make the
    /// kill earlier; a longer one does not delay it.
    void on_configuration(double longest_client_timeout);
    bool has_begun() const { return closes_at_ > 0; }
    /// The time at which the node begins to close the client connections.
    double closes_at() const { return closes_at_; }
    /// Whether the front proxy has had enough time to stop sending to this node.
    bool has_front_moved_away(double now) const;
    /// The clients count as gone at `now` if none has sent a command since the returned time.
    static double quiet_from(double now);
    /// Whether the kill may come too soon for a request that arrives now.
    bool is_kill_near(double now) const { return has_begun() && now >= fail_requests_at_; }
    /// The process does not end while responses are delivered, even after the time at which the kill may
    /// come: the platform may wait longer, and a process that ends earlier would truncate them.
    Step next_step(double now, const Work& work) const;

  private:
    double began_at_ = 0;
    double closes_at_ = 0;         // 0: the shutdown has not begun
    double fail_requests_at_ = 0;  // when requests that are still open fail
};

}  // namespace brookrelay
