package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// fuzz plays random requests beside random disruptions and checks MIXED, TWICE,
// REFUSED and UNASKED. SEED is the seed, SECS the length in seconds, and MODE a list
// of: pipe, early, reset, abort, short and load for the requests, and term, kill,
// stop, hup, config and crash for the disruptions. It is no case.
func fuzz(w *world, _ bool) bool {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewPCG(seed, 7))
	secs, _ := strconv.Atoi(os.Getenv("SECS"))
	if secs == 0 {
		secs = 30
	}
	mode := os.Getenv("MODE")
	has := func(s string) bool { return strings.Contains(mode, s) }
	w.addMachines("orders", "a", "a", "b", "b")
	w.putConfig(1, []string{"orders"}, route("once", "/once/", "non_idempotent", "orders", "4000ms"), route("idem", "/idem/", "idempotent", "orders", "4000ms"))
	var backends []*backend
	for i, m := range w.machines {
		w.start(m)
		b := w.startBackend(m, fmt.Sprintf("i-%d", i+1))
		backends = append(backends, b)
	}
	w.awaitReady("/idem/answer=10")
	live := append([]*backend(nil), backends...)
	var mu sync.Mutex
	faults := map[string]int{}
	report := func(kind, f string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		faults[kind]++
		w.log("FAULT %s "+f, append([]any{kind}, args...)...)
	}
	count := map[string]int{}
	done := make(chan struct{})
	var aborted atomic.Int64
	sizes := []int{0, 0, 0, 100, 3000, 10 << 10, 20 << 10, 60 << 10, 100 << 10, 250 << 10, 300 << 10, 1 << 20}
	answers := []int{0, 10, 400, 400, 400, 5000, 60 << 10, 200 << 10, 300 << 10, 1 << 20}
	newReq := func(r *rand.Rand) request {
		q := request{id: newID(), deadline: 3 * time.Second}
		if has("short") && r.IntN(2) == 0 {
			q.deadline = time.Duration(1+r.IntN(150)) * time.Millisecond
		}
		prefix := "/idem/"
		q.method = "GET"
		switch r.IntN(3) {
		case 0:
			prefix, q.method = "/once/", "POST"
		case 1:
			q.method = []string{"POST", "PUT", "GET"}[r.IntN(3)]
		}
		if q.method != "GET" {
			q.body = sizes[r.IntN(len(sizes))]
			q.chunked = r.IntN(4) == 0 && q.body > 0
			if r.IntN(3) == 0 && q.body > 0 {
				q.piece = q.body/8 + 1
				q.pause = time.Duration(r.IntN(30)) * time.Millisecond
			}
		}
		o := fmt.Sprintf("work=%d,body=%d,answer=%d", r.IntN(60), q.body, answers[r.IntN(len(answers))])
		if r.IntN(4) == 0 {
			o += ",frame=chunked"
		} else if r.IntN(8) == 0 {
			o += ",frame=close"
		}
		if has("early") && r.IntN(6) == 0 {
			o += ",early=1"
		}
		if has("reset") && r.IntN(25) == 0 {
			o += ",reset=" + strconv.Itoa(1+r.IntN(100000))
		}
		q.path = prefix + o
		return q
	}
	var all sync.WaitGroup
	type rec struct {
		q request
		a answer
	}
	var recs []rec
	clients := 24
	if has("load") {
		clients = 150
	}
	for c := range clients {
		r := rand.New(rand.NewPCG(seed, uint64(c)))
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				m := w.machines[r.IntN(len(w.machines))]
				ch, err := dial(m.address(m.ports.calls))
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for range 1 + r.IntN(20) {
					var qs []request
					if has("pipe") && r.IntN(3) == 0 {
						for range 2 + r.IntN(6) {
							q := newReq(r)
							for !strings.HasPrefix(q.path, "/idem/") || q.body > 3000 || q.chunked {
								q = newReq(r)
							}
							qs = append(qs, q)
						}
						if r.IntN(3) == 0 {
							qs = append(qs, newReq(r))
						}
					} else {
						qs = []request{newReq(r)}
					}
					_ = ch.conn.SetDeadline(time.Now().Add(8 * time.Second))
					sent := make(chan error, 1)
					go func() {
						for _, q := range qs {
							if err := ch.send(q); err != nil {
								sent <- err
								return
							}
						}
						sent <- nil
					}()
					bad := false
					if has("abort") && r.IntN(6) == 0 {
						time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
						_ = ch.conn.Close()
						aborted.Add(int64(len(qs)))
					}
					for _, q := range qs {
						if bad {
							mu.Lock()
							recs = append(recs, rec{q, answer{err: errNoChannel}})
							mu.Unlock()
							continue
						}
						a := ch.receive(q)
						mu.Lock()
						recs = append(recs, rec{q, a})
						k := "err"
						if a.err == nil {
							k = strconv.Itoa(a.status)
							if a.header.Get("X-Server-Seal") != "" {
								k += "b"
							}
						}
						count[k]++
						mu.Unlock()
						w.log("%s %s %s n%d: %s", q.id, q.method, q.path, m.number, a.text())
						if a.fault != "" {
							report("MIXED", "%s %s: %s", q.id, q.path, a.fault)
						}
						bad = a.err != nil || a.close
					}
					if bad || <-sent != nil {
						break
					}
					if r.IntN(4) == 0 {
						time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
					}
				}
				_ = ch.conn.Close()
			}
		})
	}
	end := time.Now().Add(time.Duration(secs) * time.Second)
	version := 2
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+rnd.IntN(1500)) * time.Millisecond)
		m := w.machines[rnd.IntN(len(w.machines))]
		switch k := rnd.IntN(6); {
		case k == 0 && has("term"):
			w.signal(m, syscall.SIGTERM)
			go func() { m.awaitEnd(); time.Sleep(300 * time.Millisecond); w.start(m) }()
			time.Sleep(7 * time.Second)
		case k == 1 && has("kill"):
			w.signal(m, syscall.SIGKILL)
			m.awaitEnd()
			time.Sleep(300 * time.Millisecond)
			w.start(m)
		case k == 2 && has("stop"):
			w.signal(m, syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rnd.IntN(3000)) * time.Millisecond)
			w.signal(m, syscall.SIGCONT)
		case k == 3 && has("hup"):
			w.signal(m, syscall.SIGHUP)
		case k == 4 && has("config"):
			version += 1 + rnd.IntN(3)
			to := []string{"3000ms", "4000ms", "2000ms"}[rnd.IntN(3)]
			w.putConfig(version, []string{"orders"}, route("once", "/once/", "non_idempotent", "orders", to), route("idem", "/idem/", "idempotent", "orders", to))
		case k == 5 && has("crash"):
			i := rnd.IntN(len(live))
			live[i].end()
			time.Sleep(500 * time.Millisecond)
			live[i] = w.startBackend(live[i].m, fmt.Sprintf("i-%d-%d", i+1, time.Now().UnixMilli()))
			backends = append(backends, live[i])
		}
	}
	close(done)
	all.Wait()
	time.Sleep(4 * time.Second)
	for _, m := range w.machines {
		if response, err := http.Get("http://" + m.address(m.ports.admin) + "/debug/vars"); err == nil {
			var all struct{ Lentilferry map[string]any }
			_ = json.NewDecoder(response.Body).Decode(&all)
			_ = response.Body.Close()
			line := fmt.Sprintf("node %d:", m.number)
			for _, k := range []string{"upstreamRunning", "upstreamWaiting", "bufferedBytes", "headerBytes", "connectionsOpen", "goroutines", "responseBytesHeld", "heapBytes", "ingressAborted"} {
				line += fmt.Sprintf(" %s %v", k, all.Lentilferry[k])
			}
			fmt.Println(line)
		}
	}
	runs := map[string][]run{}
	for _, b := range backends {
		b.mu.Lock()
		for _, r := range b.runs {
			runs[r.id] = append(runs[r.id], *r)
		}
		b.mu.Unlock()
	}
	known := map[string]bool{}
	for _, x := range recs {
		known[x.q.id] = true
		rs := runs[x.q.id]
		once := strings.HasPrefix(x.q.path, "/once/")
		if once && len(rs) > 1 {
			report("TWICE", "%s %s ran %d times", x.q.id, x.q.path, len(rs))
		}
		own := x.a.err == nil && x.a.header.Get("X-Server-Seal") == ""
		if own && once && len(rs) > 0 && (x.a.status == 503 || x.a.status == 429 || x.a.status == 408 || x.a.status == 421) {
			report("REFUSED", "%s %s got %d and ran", x.q.id, x.q.path, x.a.status)
		}
		for _, r := range rs {
			if r.body != "" && strings.HasPrefix(r.body, "other") {
				report("UNASKED", "%s %s: %s", x.q.id, x.q.path, r.body)
			}
			if x.a.err == nil && x.a.status == http.StatusOK && len(rs) == 1 && r.body != "" && !strings.Contains(x.q.path, "early") {
				report("UNASKED", "%s %s: answered, body %s", x.q.id, x.q.path, r.body)
			}
			if r.method != x.q.method || r.path != x.q.path || r.caller != "orders" {
				report("UNASKED", "%s %s: ran as %s %s %s", x.q.id, x.q.path, r.method, r.path, r.caller)
			}
		}
		if x.a.err == errNoChannel && len(rs) > 0 {
			count["behind-ran"]++
		}
		if x.a.err != nil && x.a.err != errNoChannel && len(rs) > 0 && !strings.Contains(x.q.path, "reset") && !strings.Contains(x.q.path, "early") {
			count["lost"]++
			w.log("LOST? %s %s: %v", x.q.id, x.q.path, x.a.err)
		}
	}
	w.log("counts %v faults %v", count, faults)
	fmt.Println("counts", count, "faults", faults)
	return len(faults) == 0
}
