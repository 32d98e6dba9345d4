// SPDX-License-Identifier: MIT
/// @file
/// A small language for scenarios: who sends, expects or closes what, and for how long to wait. A scenario
/// runs against the reducer in virtual time or against the started program over loopback: see Stage.
///
///     # a comment
///     CLIENT send NUMBER CLASS [field=value ...] [body=TEXT]   asks, with seqid and ids made of NUMBER
///     CLIENT send giveUp NUMBER | probe NUMBER | dance NUMBER  other calls ("dance" is none of the service)
///     CLIENT send raw HEX
///     CLIENT expect served|refused|failed|exception|ready|unready NUMBER [field=value ...] [body=TEXT]
///     MEMBER send WORD NUMBER [field=value,... [BODY]]         an answer; WORD as in the protocol
///     MEMBER send raw TEXT                                     ending in CR LF
///     MEMBER expect serve|cancel NUMBER [field=value ...] [body=TEXT]
///     MEMBER expect gauges
///     bulletin send head | comment | JSON | raw TEXT           \\n stands for CR LF
///     bulletin expect get last=NUMBER
///     PEER expect nothing | closed
///     PEER close [reset]        its connections end
///     PEER close half           it ends its half of them
///     PEER close refusing       and new ones are refused, until "PEER close not"
///     PEER close silent         nothing more is heard from it, new connections do not come up
///     PEER close late           new connections come up at "PEER close not" (in virtual time)
///     A client with "small" in its name has little room for what it has not read.
///     PEER close deaf           it reads nothing until "PEER close not"
///     PEER cork | uncork        what it sends between the two goes out in one piece
///     PEER close stays          a client that does not close when the edge proxy ends its half, as others do
///     OPERATOR send GET|POST PATH                              a call at the second address (names in
///     ops...) OPERATOR expect STATUS [LINE ...]                        those lines are in what is answered
///     edge send HUP PEER        the configuration names that bulletin now; "nowhere": a faulty address
///     edge send TERM | edge expect stopped | edge expect log WORD ...
///     wait MILLISECONDS
///
/// A field written `name=*` may have any value, `!name` must not be there; `body=` takes the rest of the
/// line.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "config/config.h"

namespace edge_proxy::test {

enum class Ends { closed, reset, half, refusing, silent, late, stays, deaf, not_at_all };

/// A member answers on the connection on which it was asked.

/// What a scenario acts on: peers named `bulletin...`, `ops...`, as a listed member, or (all others) clients.
class Stage {
 public:
  virtual ~Stage() = default;
  virtual void send(const std::string& peer, const std::string& bytes) = 0;
  /// What has come for the peer since it was last asked for.
  virtual std::string received(const std::string& peer) = 0;
  virtual void close(const std::string& peer, Ends how) = 0;
  /// Whether the edge proxy has ended the peer's last connection.
  virtual bool closed(const std::string& peer) = 0;
  virtual void wait(std::chrono::milliseconds span) = 0;
  virtual void terminate() = 0;
  virtual void reload(const std::string& bulletin) = 0;
  virtual bool stopped() = 0;
  virtual std::string log() = 0;
  /// For how long an expected message may still be under way.
  virtual std::chrono::milliseconds patience() const = 0;
};

/// The ids asked for in what a member received, where it holds whole commands.
std::vector<std::string> ids_asked(const std::string& bytes);

/// Runs a scenario; failed expectations are GoogleTest failures that name the line.
void play(Stage& stage, const std::string& scenario);

/// The text of a configuration: members `box...` are caches, `up...` parents, `main` the origin. Addresses
/// are `name:1` unless given.
std::string config_text(const std::vector<std::string>& members,
                        const std::map<std::string, std::string>& addresses = {}, int memory_mb = 192);
/// The JSON of one listed member, as in the bulletin.
std::string listed(const std::string& id, const std::string& address, const std::string& phase = "active",
                   long long up_since_ms = 0);

}  // namespace edge_proxy::test
