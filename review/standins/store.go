package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// meta, object and event have the form that PROTOCOL.md gives them.
type meta struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store. Each node calls it at
// an address of its own, so that the store can turn single nodes away.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []event
	changed chan struct{}
	// refused holds the nodes that get 503, which means that nothing was done.
	refused map[int]bool
	log     func(format string, args ...any)
}

func newStore(log func(string, ...any)) *store {
	return &store{rev: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}), refused: make(map[int]bool), log: log}
}

// serve serves the store for the node with the given number.
func (s *store) serve(node int, listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(node, w, r) })}
	go func() { _ = server.Serve(listener) }()
}

func (s *store) setRefused(node int, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refused
	s.notify()
}

func (s *store) isRefused(node int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[node]
}

// notify wakes the watches. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object's spec as the operator does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, text
	s.commit(kind, o)
}

func (s *store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// commit stores an object under a new revision. The caller holds s.mu.
func (s *store) commit(kind string, o object) object {
	old := s.objects[kind][o.Metadata.Name]
	if old.Metadata.Rev != 0 && string(old.Spec) == string(o.Spec) && string(old.Status) == string(o.Status) {
		return old
	}
	s.rev++
	o.Metadata.Rev = s.rev
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.rev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{kind: kind, Object: o})
	s.notify()
	return o
}

func (s *store) handle(node int, w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	body, _ := io.ReadAll(r.Body)
	if s.isRefused(node) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(node, w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet:
		o, ok := s.get(parts[0], parts[1])
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	default:
		s.write(w, r, parts, body)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	const page = 500
	more := len(items) > page
	if more {
		items = items[:page]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "as-of": s.rev})
}

func (s *store) watch(node int, w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Rev > after {
				events = append(events, e)
			}
		}
		rev, changed, refused := s.rev, s.changed, s.refused[node]
		s.mu.Unlock()
		if refused {
			// A watch that is waiting may be cut off.
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as-of": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as-of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string, body []byte) {
	var sent object
	if json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(parts) > 1 {
		sent.Metadata.Name = parts[1]
	}
	if text := r.URL.Query().Get("rev"); text != "" {
		sent.Metadata.Rev, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := parts[0]
	old, exists := s.objects[kind][sent.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && exists:
		writeJSON(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodPost && sent.Metadata.Rev != 0 && sent.Metadata.Rev != old.Metadata.Rev:
		writeJSON(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], sent.Metadata.Name)
		s.rev++
		old.Metadata.Rev = s.rev
		s.history = append(s.history, event{kind: kind, Object: old, Deleted: true})
		s.notify()
		writeJSON(w, http.StatusOK, old)
	case len(parts) == 3:
		old.Status = sent.Status
		writeJSON(w, http.StatusOK, s.commit(kind, old))
	default:
		sent.Status = old.Status
		sent.Metadata.Created = old.Metadata.Created
		writeJSON(w, http.StatusOK, s.commit(kind, sent))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
