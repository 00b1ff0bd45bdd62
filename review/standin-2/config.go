package main

import (
	"encoding/json"
	"fmt"
)

// route is a route of a configuration.
type route struct {
	name, host, prefix string
	kind               string
	timeoutMs          int
	service            string
	// weights holds the services and their weights, in place of service.
	weights []weight
}

// weight is the share of a service in the requests of a route.
type weight struct {
	service string
	weight  float64
}

// configuration returns the operator's configuration in full.
func (w *world) configuration(version int, routes []route, services []string) []byte {
	resources := make([]any, 0, len(routes)+len(services)+1)
	for _, r := range routes {
		spec := map[string]any{
			"host": r.host, "path_prefix": r.prefix, "type": r.kind, "timeout_ms": r.timeoutMs, w.names["objective"]: 500,
			"priority": 1, w.names["attempts"]: 2,
		}
		if len(r.weights) == 0 {
			spec["service"] = r.service
		}
		var shares []any
		for _, x := range r.weights {
			shares = append(shares, map[string]any{"service": x.service, "weight": x.weight})
		}
		if len(shares) > 0 {
			spec[w.names["weighted"]] = shares
		}
		resources = append(resources, map[string]any{
			"resource_kind": "routes", "metadata": map[string]any{"name": r.name}, "spec": spec,
		})
	}
	for _, s := range services {
		resources = append(resources, map[string]any{
			"resource_kind": "services", "metadata": map[string]any{"name": s},
			"spec": map[string]any{"health_path": "/health", "max_connections": 1000, "protocol": "h1", "tls": false},
		})
	}
	resources = append(resources, map[string]any{
		"resource_kind": "limits", "metadata": map[string]any{},
		"spec": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	data, err := json.Marshal(map[string]any{"version": version, "base_version": version - 1, "resources": resources})
	if err != nil {
		panic(err)
	}
	return data
}

// setConfig writes a configuration to the store, whose response is the acknowledgement.
func (w *world) setConfig(data []byte) {
	w.store.put(w.names["op-topic"], "config", data)
}

// manyRoutes returns the route of the traffic and further routes that get none.
func manyRoutes(first route, count int) []route {
	routes := []route{first}
	for i := range count {
		routes = append(routes, route{
			name: fmt.Sprintf("r-%05d", i), host: fmt.Sprintf("h%d.example", i%40), prefix: fmt.Sprintf("/p%05d/", i),
			kind: "safe", timeoutMs: 1000, service: first.service,
		})
	}
	return routes
}
