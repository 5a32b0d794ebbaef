package call

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/routing"
)

// fixedRoutes serves a table that doesn't change.
type fixedRoutes struct {
	Routes
	table *routing.Table
}

func (r fixedRoutes) Table() *routing.Table { return r.table }

// BenchmarkKeyCheck compares what a call costs without workspaces and with
// 10,000 keys: the checks at the ingress, the headers for the next hop, and what
// the owner is told and reads.
func BenchmarkKeyCheck(b *testing.B) {
	c := config.Config{
		Services: []config.Service{{Name: "s", AnyVersion: true}},
		Routes:   []config.Route{{Name: "r", Service: "s", PathPrefix: "/", Class: config.ClassLookup, Timeout: time.Second}},
	}
	withKeys := c
	for i := range 1_000 {
		w := config.Workspace{Name: config.WorkspaceName(fmt.Sprint("workspace-", i))}
		for k := range 10 {
			w.KeyHashes = append(w.KeyHashes, config.HashKey(fmt.Sprintf("key-%d-%d-%s", i, k, strings.Repeat("x", 24))))
		}
		withKeys.Workspaces = append(withKeys.Workspaces, w)
	}
	for name, c := range map[string]config.Config{"without": c, "with": withKeys} {
		b.Run(name, func(b *testing.B) {
			ingress := NewIngress(IngressDependencies{
				Routes:  fixedRoutes{table: routing.NewTable(c, nil, rand.New(rand.NewPCG(1, 1)))},
				Dialect: NativeDialect{}, Metrics: NewMetrics(new(expvar.Map), "ingress"), Now: time.Now,
			})
			r := httptest.NewRequest(http.MethodGet, "http://h.example/a", nil)
			r.Header.Set("Authorization", "Token key-500-5-"+strings.Repeat("x", 24))
			forwarded := forwardedCall{id: newCallID(), attempt: 1, owner: "node-0001@1", route: "r", class: config.ClassLookup, caller: _emptyField}
			b.ReportAllocs()
			for b.Loop() {
				a, reason := ingress.accept(time.Now(), r)
				assert.Assert(b, reason == "")
				out := forwardableHeaders(r.Header, ingress.deps.Dialect)
				if a.hasWorkspaces {
					ingress.deps.Dialect.RemoveKey(out)
					ingress.deps.Dialect.SetWorkspace(out, "")
				}
				forwarded.workspace = a.workspace
				if _, err := parseForwardedCall(forwarded.String()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
