package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

type objectMeta struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata objectMeta      `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// store is a stand-in for the platform's metadata store: linearizable, with one
// revision counter, conditional writes and watches.
type store struct {
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	events  []event
	changed chan struct{}
}

func newStore() *store {
	return &store{rev: 100, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put stores an object at a new revision. The caller holds s.mu.
func (s *store) put(kind string, o object) object {
	s.rev++
	o.Metadata.Rev = s.rev
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.rev
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.events = append(s.events, event{Object: o, kind: kind})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// write stores a spec as the operator does.
func (s *store) write(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name = name
	o.Spec = text
	s.put(kind, o)
}

// read returns an object, and false if there is none.
func (s *store) read(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kind := parts[1]
	switch {
	case r.Method == http.MethodGet && len(parts) == 2 && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 2:
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		if o, ok := s.read(kind, parts[2]); ok {
			reply(w, http.StatusOK, o)
			return
		}
		reply(w, http.StatusNotFound, nil)
	default:
		s.serveWrite(w, r, kind, parts[2:])
	}
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []object{}
	for name, o := range s.kinds[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	asOf := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "as-of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Rev > after {
				found = append(found, e)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": found, "as-of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind string, path []string) {
	var sent object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil && r.Method != http.MethodDelete {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := sent.Metadata.Name
	if len(path) > 0 {
		name = path[0]
	}
	stored, found := s.kinds[kind][name]
	condition := sent.Metadata.Rev
	if text := r.URL.Query().Get("rev"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && found:
		reply(w, http.StatusConflict, stored)
	case r.Method == http.MethodPost:
		reply(w, http.StatusCreated, s.put(kind, object{Metadata: objectMeta{Name: name}, Spec: sent.Spec}))
	case !found:
		reply(w, http.StatusNotFound, nil)
	case condition != 0 && condition != stored.Metadata.Rev:
		reply(w, http.StatusConflict, stored)
	case r.Method == http.MethodPut && len(path) == 2 && path[1] == "status":
		if string(stored.Status) != string(sent.Status) {
			stored.Status = sent.Status
			stored = s.put(kind, stored)
		}
		reply(w, http.StatusOK, stored)
	case r.Method == http.MethodPut:
		if string(stored.Spec) != string(sent.Spec) {
			stored.Spec = sent.Spec
			stored = s.put(kind, stored)
		}
		reply(w, http.StatusOK, stored)
	default:
		reply(w, http.StatusMethodNotAllowed, nil)
	}
}
