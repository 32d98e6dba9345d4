// SPDX-License-Identifier: MIT
#include "event_loop/listener.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>

#include "event_loop/address.h"
#include "proxy/resource_limits.h"

namespace edge_proxy::event_loop {
namespace {

/// Binds with SO_REUSEPORT, so that the next process of this edge proxy can listen on the same address while
/// this one still serves. g_socket_bind would reset the option.
bool bind_shared(GSocket* socket, GSocketAddress* address) {
  sockaddr_storage native_address{};
  const gssize size = g_socket_address_get_native_size(address);
  if (size < 0 || !g_socket_address_to_native(address, &native_address, sizeof native_address, nullptr))
    return false;
  g_socket_set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1, nullptr);
  g_socket_set_option(socket, SOL_SOCKET, SO_REUSEPORT, 1, nullptr);
  return bind(g_socket_get_fd(socket), reinterpret_cast<const sockaddr*>(&native_address),
              static_cast<socklen_t>(size)) == 0;
}

}  // namespace

ObjectPtr<GSocket> new_tcp_socket(GSocketAddress* address, Error& error) {
  ObjectPtr<GSocket> socket(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                         G_SOCKET_PROTOCOL_TCP, error.out_ptr()));
  if (socket) g_socket_set_blocking(socket.get(), FALSE);
  return socket;
}

Listener::Listener(const std::string& key, const std::string& address) {
  const auto parsed = parse_address(address);
  const std::string field = "field '" + key + "': ";
  if (!parsed) throw std::runtime_error(field + "'" + address + "' is not an IP address and port");
  Error error;
  socket_ = new_tcp_socket(parsed.get(), error);
  if (!socket_ || !bind_shared(socket_.get(), parsed.get()))
    throw std::runtime_error(field + "can't bind " + address + ": " + g_strerror(errno));
  g_socket_set_listen_backlog(socket_.get(), proxy::kListenBacklog);
  if (!g_socket_listen(socket_.get(), error.out_ptr()))
    throw std::runtime_error(field + "can't listen on " + address + ": " + error.text());
}

ObjectPtr<GSocket> Listener::accept(Error& error) const {
  return ObjectPtr<GSocket>(g_socket_accept(socket_.get(), nullptr, error.out_ptr()));
}

bool Listener::has_waiting_connection() const {
  return g_socket_condition_check(socket_.get(), G_IO_IN) != 0;
}

bool Listener::prefer_next_process() const {
  // The kernel distributes new connections over all sockets that listen on the address. The filter applies to
  // all of them and selects the second one (index 1), which belongs to the process started after this one. If
  // there is no second socket, the filter selects none and the distribution is unchanged. Without the filter,
  // connections still waiting in this socket's accept queue would be reset when the socket is closed.
  sock_filter select_second{BPF_RET | BPF_K, 0, 0, 1};
  const sock_fprog filter{1, &select_second};
  return setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &filter,
                    sizeof filter) == 0;
}

}  // namespace edge_proxy::event_loop
