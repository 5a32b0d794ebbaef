// Standins runs the cases that are scripts: stand-ins for the store, the
// backends, the requesters and the operator around real nodes.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// cases returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) (held bool){
	"early-answer": earlyAnswer,
	"late-ping":    latePing,
	"fuzz":         fuzz,
	"cut-pipeline": cutPipeline,
	"encoded-path": encodedPath,
	"cut-answer":   cutAnswer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins CASE FOLDER")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	held := false
	func() {
		defer func() {
			if p := recover(); p != nil {
				w.log("the case could not run: %v", p)
				fmt.Println("the case could not run:", p)
				w.stop()
				os.Exit(2)
			}
		}()
		held = cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	}()
	w.log("held: %v", held)
	w.stop()
	if !held {
		os.Exit(1)
	}
}

// route is a route of the configuration.
func route(name, prefix, kind, service, timeout string) map[string]any {
	return map[string]any{
		"name": name, "path-prefix": prefix, "kind": kind, "timeout": timeout, "target-latency": "600ms",
		"priority": 1, "service": service, "attempts": 2,
	}
}

// putConfig writes a configuration as the operator does.
func (w *world) putConfig(version int, services []string, routes ...map[string]any) {
	var specs []map[string]any
	for _, s := range services {
		specs = append(specs, map[string]any{"name": s, "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false})
	}
	w.store.put("config", "main", map[string]any{
		"version": version, "services": specs,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
		"vhosts": []map[string]any{{"host": host, "paths": routes}},
	})
	w.log("operator writes configuration %d", version)
}

// awaitReady waits until all nodes are ready and requests of a path are served.
func (w *world) awaitReady(path string) {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range w.machines {
		for {
			response, err := http.Get("http://" + m.address(m.ports.admin) + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					a := askOnce(m.address(m.ports.calls), request{id: newID(), method: http.MethodGet, path: path, deadline: 2 * time.Second, closes: true})
					if a.err == nil && a.status == http.StatusOK {
						break
					}
				}
			}
			if time.Now().After(deadline) {
				panic(fmt.Sprintf("node %d is not ready", m.number))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.log("all nodes are ready")
}
