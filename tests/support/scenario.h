// SPDX-License-Identifier: MIT
/// @file
/// A line-based language for test scenarios. Each line makes a peer of the edge proxy send, expect or close
/// something, or lets time pass. A ProxyHarness runs a scenario against the reducer in virtual time or
/// against the started program over loopback.
///
///     # a comment
///     CLIENT send NUMBER CLASS [field=value ...] [body=TEXT]
///                                a request; seqid and ids are derived from NUMBER
///     CLIENT send giveUp NUMBER | probe NUMBER | dance NUMBER
///                                other calls; the service has no method "dance"
///     CLIENT send raw HEX
///     CLIENT expect served|refused|failed|exception|ready|unready NUMBER [field=value ...] [body=TEXT]
///     MEMBER send WORD NUMBER [field=value,... [BODY]]
///                                a response; WORD is a status of the protocol
///     MEMBER send raw TEXT       CR LF is appended
///     MEMBER expect serve|cancel NUMBER [field=value ...] [body=TEXT]
///     MEMBER expect gauges
///     bulletin send head | comment | JSON | raw TEXT
///                                a backslash and n in the raw TEXT stand for CR LF
///     bulletin expect get last=NUMBER
///     PEER expect nothing | closed
///     PEER close [reset]         closes or resets the peer's connections
///     PEER close half            shuts down the peer's side of its connections
///     PEER close refusing        closes them; new connections are refused until "PEER set normal"
///     PEER set silent            sends nothing more; new connections are not established
///     PEER set delayed_connect   new connections are established at "PEER set normal" (in virtual time)
///     PEER set not_reading       reads nothing until "PEER set normal"
///     PEER set keeps_open        does not close its connection after the edge proxy has shut down its side
///     PEER set normal
///     PEER cork | uncork         messages between the two lines are sent in one piece
///     OPERATOR send GET|POST PATH     a call at the admin address; operators' names begin with "ops"
///     OPERATOR expect STATUS [LINE ...]      the response contains these lines
///     edge send HUP PEER         reloads a configuration that names this discovery service; "nowhere" is an
///                                invalid address
///     edge send TERM | edge expect stopped | edge expect log WORD ...
///     wait MILLISECONDS
///
/// `name=*` matches any value, `!name` requires that the field is absent, and `body=` takes the rest of the
/// line. A client whose name contains "small" has a small receive buffer. A member responds on the connection
/// on which the request arrived.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "config/config.h"

namespace edge_proxy::test {

/// How a peer treats its connections; scenario lines `close` and `set` select one.
enum class PeerBehavior {
  closed,
  reset,
  half_closed,
  refusing,
  silent,
  delayed_connect,
  keeps_open,
  not_reading,
  normal
};

/// The proxy under test and its peers: discovery services (`bulletin...`), operators (`ops...`), members
/// (`box...`, `up...`, `main`) and clients (all other names).
class ProxyHarness {
 public:
  virtual ~ProxyHarness() = default;
  virtual void send(const std::string& peer, const std::string& bytes) = 0;
  /// Returns the bytes that the peer has received since the last call.
  virtual std::string take_received(const std::string& peer) = 0;
  virtual void set_behavior(const std::string& peer, PeerBehavior behavior) = 0;
  /// Whether the edge proxy has closed all connections of the peer.
  virtual bool is_closed(const std::string& peer) = 0;
  virtual void wait(std::chrono::milliseconds duration) = 0;
  virtual void terminate() = 0;
  virtual void reload(const std::string& discovery_peer) = 0;
  virtual bool has_stopped() = 0;
  virtual std::string log() = 0;
  /// Maximum time that an expected message may take to arrive.
  virtual std::chrono::milliseconds expectation_timeout() const = 0;
};

/// Returns the ids of the requests (`serve`) in bytes that a member received.
std::vector<std::string> requested_ids(const std::string& bytes);

/// Runs a scenario. An expectation that is not met is a GoogleTest failure that names the line.
void run_scenario(ProxyHarness& harness, const std::string& scenario);

/// Returns the fields of a request as a scenario sends it; its ids are derived from `number`.
std::map<std::string, std::string> request_fields(int number, const std::string& request_class);
/// Returns the bytes of a client's request with `number` as its sequence id.
std::string request_message(int number, const std::map<std::string, std::string>& fields,
                            const std::string& body = {});
/// Returns the bytes with which a client cancels its request with that sequence id.
std::string cancel_message(int number);

/// Returns the text of a configuration whose members `box...` are caches, `up...` parents and `main` the
/// origin. The address of a name is `name:1` unless `addresses` contains it.
std::string config_text(const std::vector<std::string>& members,
                        const std::map<std::string, std::string>& addresses = {}, int memory_mb = 192);
/// Changes a configuration so that requests of the class `order` must not be repeated.
std::string with_fragile_orders(std::string config);
/// Returns the JSON of one member in an endpoint list.
std::string member_json(const std::string& id, const std::string& address,
                        const std::string& phase = "active", long long up_since_ms = 0);

}  // namespace edge_proxy::test
