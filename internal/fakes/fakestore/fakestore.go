// Package fakestore is a small stand-in for the metadata store of the users'
// platform, written from its published page, with its failures as switches.
package fakestore

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// _pageSize is how many objects one answer to a list holds at most.
const _pageSize = 3

// Faults are the failures that the store shows while they are set.
type Faults struct {
	// Status answers each call with this status and does nothing; 0 for none.
	Status int
	// Hang keeps each call without an answer.
	Hang bool
	// Reset breaks each call's connection.
	Reset bool
	// LoseResponses lets writes take effect and breaks their connections.
	LoseResponses bool
	// LateWriteDelay lets writes take effect only after this time, without an answer.
	LateWriteDelay time.Duration
	// SuppressEvents keeps watches from hearing of changes.
	SuppressEvents bool
	// StaleReadLag is how long reads that may lag hear nothing of a change.
	StaleReadLag time.Duration
	// RefuseFrom answers 503 to the calls from these addresses.
	RefuseFrom func(remote string) bool
}

// Meta is what the store keeps beside an object's content.
type Meta struct {
	Name string `json:"name"`
	Rev  uint64 `json:"rev"`
}

// Object is one stored object.
type Object struct {
	Metadata Meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
	at      time.Time
}

// Store is an in-memory store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string]map[string]Object
	rev     uint64
	history []event
	// forgotten is the revision up to which history is gone.
	forgotten uint64
	changed   chan struct{}
	faults    Faults
	// calls counts the calls at the full price, lagging the reads that may lag.
	calls, lagging int
	late           sync.WaitGroup
}

// New returns an empty store.
func New() *Store {
	return &Store{objects: make(map[string]map[string]Object), rev: 1, changed: make(chan struct{})}
}

// SetFaults replaces the failures that the store shows.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns how many calls the store has had at the full price, and how
// many reads that may lag.
func (s *Store) Calls() (full, lagging int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.lagging
}

// CompactHistory drops the history and cuts all watches.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.forgotten = s.rev
	s.wake()
}

// WaitForLateWrites returns when no late write is under way.
func (s *Store) WaitForLateWrites() {
	s.late.Wait()
}

// Put writes an object's spec as the operator does, and returns its revision.
func (s *Store) Put(kind, name, spec string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name = name
	o.Spec = json.RawMessage(spec)
	return s.store(kind, o).Metadata.Rev
}

// Get returns an object as it is stored.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

func (s *Store) store(kind string, o Object) Object {
	old := s.objects[kind][o.Metadata.Name]
	if old.Metadata.Rev != 0 && bytes.Equal(old.Spec, o.Spec) && bytes.Equal(old.Status, o.Status) {
		return old
	}
	s.rev++
	o.Metadata.Rev = s.rev
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{kind: kind, Object: o, at: time.Now()})
	s.wake()
	return o
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if mayLag(r) {
		s.lagging++
	} else {
		s.calls++
	}
	f := s.faults
	s.mu.Unlock()
	// The end of a call is seen only once it was read whole.
	body, _ := io.ReadAll(r.Body)
	switch {
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return
	case f.RefuseFrom != nil && f.RefuseFrom(r.RemoteAddr):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case f.Hang:
		<-r.Context().Done()
		return
	case f.Reset:
		panic(http.ErrAbortHandler)
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet:
		o, ok := s.Get(parts[0], parts[1])
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.write(w, r, parts, body)
	}
}

// mayLag reports whether a read may show what is seconds old.
func mayLag(r *http.Request) bool {
	return r.URL.Query().Get("serializable") == "1"
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make([]Object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > _pageSize
	if more {
		items = items[:_pageSize]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "as-of": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, hidden := s.since(kind, after, mayLag(r))
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": rev})
			return
		}
		var shown <-chan time.Time
		if hidden > 0 {
			shown = time.After(hidden)
		}
		select {
		case <-changed:
		case <-shown:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of a kind after a revision, and how long the oldest
// one that is not shown yet stays so. The store's lock is held.
func (s *Store) since(kind string, after uint64, mayLag bool) (events []event, hidden time.Duration) {
	if s.faults.SuppressEvents {
		return nil, 0
	}
	for _, e := range s.history {
		if e.kind != kind || e.Object.Metadata.Rev <= after {
			continue
		}
		if age := time.Since(e.at); mayLag && age < s.faults.StaleReadLag {
			return events, s.faults.StaleReadLag - age
		}
		events = append(events, e)
	}
	return events, 0
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, parts []string, body []byte) {
	var sent Object
	if err := json.Unmarshal(body, &sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if len(parts) > 1 {
		sent.Metadata.Name = parts[1]
	}
	if f.LateWriteDelay > 0 {
		s.late.Go(func() {
			time.Sleep(f.LateWriteDelay)
			s.apply(r.Method, parts, sent)
		})
		<-r.Context().Done()
		return
	}
	status, o := s.apply(r.Method, parts, sent)
	if f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, o)
}

func (s *Store) apply(method string, parts []string, sent Object) (int, Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := parts[0]
	old, exists := s.objects[kind][sent.Metadata.Name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old
	case method == http.MethodPut && !exists:
		return http.StatusNotFound, Object{}
	case method == http.MethodPut && sent.Metadata.Rev != 0 && sent.Metadata.Rev != old.Metadata.Rev:
		return http.StatusConflict, old
	case len(parts) == 3:
		old.Status = sent.Status
		return http.StatusOK, s.store(kind, old)
	default:
		sent.Status = old.Status
		return http.StatusOK, s.store(kind, sent)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
