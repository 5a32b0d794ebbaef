package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// sendSlowly sends a request whose body is chunked: a part at once and the rest
// after the given time.
func (r *run) sendSlowly(n *node, host, path string, takes, deadline time.Duration) {
	r.mu.Lock()
	r.attempts++
	attempt := fmt.Sprintf("u%05d", r.attempts)
	s := &sending{attempt: attempt, at: time.Now(), to: n}
	r.sendings[attempt] = s
	r.recordLocked("send %s POST %s to %s, the body within %s", attempt, path, n.name, takes)
	r.mu.Unlock()
	body, parts := io.Pipe()
	go func() {
		_, _ = io.WriteString(parts, "first page of the batch\n")
		time.Sleep(takes)
		_, _ = io.WriteString(parts, "last page of the batch\n")
		_ = parts.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	h, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address+":8141"+path, body)
	h.Host, h.Close = host, true
	h.Header.Set("X-Attempt-Id", attempt)
	h.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(h)
	status, sealed, text := 0, false, ""
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status, sealed = response.StatusCode, response.Header.Get("X-Server-Seal") == "seal."+attempt
	}
	if err != nil {
		text = err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.ended, s.status, s.sealed, s.err = time.Now(), status, sealed, text
	r.recordLocked("answer %s status %d sealed %v %s", attempt, status, sealed, text)
}

// slowUploads checks DRAIN: requesters take 2.7 s to send their bodies, and
// meanwhile a backend leaves.
func slowUploads(r *run) int {
	const (
		host     = "payslips.example"
		takes    = 2720 * time.Millisecond
		deadline = 3 * time.Second
		// rounds is how many backends leave, and perNode how many bodies are being
		// sent at each node when one does.
		rounds  = 2
		perNode = 3
		// stays is for how long a backend serves after its confirmation.
		stays = drainBound + 250*time.Millisecond
	)
	r.configure(7, []string{"archive-desk"}, host, route("r-print", "/print/", "non_idempotent", "archive-desk", "3000ms", 1))
	for i := range 6 {
		zone := []string{"puget-a", "willamette-a", "inland-a"}[i%3]
		n := r.addNode(fmt.Sprintf("sidecar-%s-%d", zone, i/3+1), []string{"puget", "willamette", "inland"}[i%3], zone, "archive-desk")
		r.addBackend(n, fmt.Sprintf("i-%04d", i), "v1", 12, 150*time.Millisecond)
	}
	r.startAll()
	for _, b := range r.backends {
		b.start()
	}
	r.awaitReady(15 * time.Second)
	time.Sleep(5 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, n := range r.nodes {
		go r.traffic(ctx, n, 8, func() request {
			return request{method: "POST", host: host, path: "/print/1", body: "batch", deadline: deadline}
		})
	}
	time.Sleep(4 * time.Second)
	confirmed := make(map[*backend]time.Time)
	var uploads sync.WaitGroup
	for i := range rounds {
		for _, n := range r.nodes {
			for range perNode {
				took := takes - time.Duration(rand.Int64N(int64(60*time.Millisecond)))
				uploads.Go(func() { r.sendSlowly(n, host, "/print/2", took, deadline) })
			}
		}
		time.Sleep(50 * time.Millisecond)
		if leaver := r.backends[i]; r.trouble {
			confirmed[leaver] = leaver.drain()
			time.Sleep(stays)
			leaver.deregister()
			leaver.stop()
		}
		uploads.Wait()
		time.Sleep(time.Second)
	}
	cancel()
	time.Sleep(2 * time.Second)
	r.mu.Lock()
	late, lost, slow, answered := 0, 0, 0, 0
	for _, s := range r.sendings {
		if s.attempt[0] == 'u' {
			slow++
			if s.sealed {
				answered++
			}
		}
	}
	for _, e := range r.executions {
		at, left := confirmed[e.backend]
		if !left || e.at.Sub(at) <= drainBound {
			continue
		}
		late++
		verdict := "answered"
		if !r.sendings[e.attempt].sealed {
			lost++
			verdict = fmt.Sprintf("lost, status %d", r.sendings[e.attempt].status)
		}
		r.recordLocked("DRAIN: %s reached %s %s after the confirmation; %s", e.attempt, e.backend.id, e.at.Sub(at).Round(time.Millisecond), verdict)
	}
	r.mu.Unlock()
	r.record("%d of %d requests with slow bodies were answered by a backend", answered, slow)
	r.record("DRAIN: %d requests reached a backend later than %s after the confirmation that it leaves; %d of them got no answer of it", late, drainBound, lost)
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}
