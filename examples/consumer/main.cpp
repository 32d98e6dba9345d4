// SPDX-License-Identifier: MIT
// A minimal use of the library: routes one request, with one cache and one origin.
#include <edge_proxy/router.h>

#include <iostream>

int main() {
  using namespace std::chrono_literals;
  edge_proxy::Settings settings;
  settings.routers_by_zone = {1};
  settings.origin_kind = 1;
  settings.max_attempts = 4;
  settings.transfer_kb_per_s = 5000;
  edge_proxy::RequestClass page_class;
  page_class.latency_objective = 300ms;
  page_class.deadline = 2s;
  settings.classes = {page_class};
  edge_proxy::Router router(settings, 1);

  edge_proxy::Endpoint cache, origin;
  cache.id = "cache:80";
  origin.id = "origin:80";
  origin.kind = 1;
  router.handle(1s, edge_proxy::EndpointList{edge_proxy::ListKind::complete, {cache, origin}});

  edge_proxy::Request request;
  request.id = "first";
  request.object = 42;
  request.size_kb = 100;
  request.expires = 3s;
  for (const edge_proxy::Action& action : router.handle(1s, request)) {
    if (const auto* attempt = std::get_if<edge_proxy::Attempt>(&action)) {
      std::cout << "send to " << attempt->endpoint << ", fill from " << attempt->source << '\n';
      return 0;
    }
  }
  return 1;
}
