// Package fakestore is a stand-in for the metadata store of the users'
// platform, written from its published documentation, that can show the store's
// faults.
package fakestore

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// _pageSize is the maximum number of objects in one page of a list.
const _pageSize = 3

// Faults holds the faults of the store. The zero value has none.
type Faults struct {
	// Status is the HTTP status with which each call fails without an effect;
	// 0 means that calls don't fail.
	Status int
	// Hang leaves each call without a response and without an effect.
	Hang bool
	// Reset breaks each call's connection before the call takes effect.
	Reset bool
	// LoseResponses makes writes take effect and then breaks their connections.
	LoseResponses bool
	// RefuseWrites answers writes with a 503.
	RefuseWrites bool
	// LateWriteDelay, if positive, makes writes take effect only after this
	// time, without a response.
	LateWriteDelay time.Duration
	// SuppressEvents keeps all changes from watches.
	SuppressEvents bool
	// StaleReadLag is how long serializable watches don't see a change.
	StaleReadLag time.Duration
	// RefuseFrom reports whether calls from a remote address get a 503.
	RefuseFrom func(remote string) bool
	// LagBehindRestore makes serializable lists return what the store held when
	// it was last restored, as a replica does that has not noticed yet.
	LagBehindRestore bool
	// StaleLists is what serializable lists return, as a replica does that lags
	// behind; nil for the store's present content.
	StaleLists *Copy
}

// Meta holds the name and the revision of an object.
type Meta struct {
	Name string `json:"name"`
	Rev  uint64 `json:"rev"`
}

// Object is a stored object.
type Object struct {
	Metadata Meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change of an object. Its exported fields are written as JSON.
type event struct {
	kind    string
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
	// changedAt is when the change was made.
	changedAt time.Time
}

// Copy is the content of a store at one moment.
type Copy struct {
	// objects holds the objects by kind and name.
	objects map[string]map[string]Object
	// rev is the revision of the newest change.
	rev uint64
	// era is the store's era.
	era uint64
	// history holds the changes since compactedRev, oldest first.
	history []event
	// compactedRev is the revision up to which the history was removed.
	compactedRev uint64
}

// clone returns a copy that doesn't change with the original.
func (c Copy) clone() Copy {
	objects := make(map[string]map[string]Object, len(c.objects))
	for kind, named := range c.objects {
		objects[kind] = maps.Clone(named)
	}
	c.objects, c.history = objects, slices.Clone(c.history)
	return c
}

// Store is an in-memory metadata store with an HTTP API. It is safe for
// concurrent use.
type Store struct {
	mu sync.Mutex
	Copy
	// ended is what the store held before it was last restored.
	ended Copy
	// changed is closed and replaced to notify the pending watches.
	changed chan struct{}
	faults  Faults
	// serializableCalls counts the serializable reads, which are cheaper, and
	// fullCalls all other calls, which cost the full price.
	fullCalls, serializableCalls int
	// fullCallsByKind is fullCalls by the kind of the objects.
	fullCallsByKind map[string]int
	lateWrites      sync.WaitGroup
}

// New returns an empty store.
func New() *Store {
	return &Store{Copy: Copy{objects: make(map[string]map[string]Object), rev: 1, era: 1}, changed: make(chan struct{}), fullCallsByKind: make(map[string]int)}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// Calls returns the number of calls at the full price and the number of
// serializable reads, which are cheaper.
func (s *Store) Calls() (full, serializable int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullCalls, s.serializableCalls
}

// FullCallsOf returns the number of calls at the full price for a kind.
func (s *Store) FullCallsOf(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullCallsByKind[kind]
}

// CompactHistory removes the whole history, so that watches from an older
// revision fail with status 410.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compactedRev = s.rev
	s.notifyWatchers()
}

// Backup returns a copy of the store.
func (s *Store) Backup() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clone()
}

// Restore replaces the content of the store, its history and its revision by
// those of a copy, cuts the pending watches and begins the next era.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = s.Copy
	s.Copy = c.clone()
	s.era = s.ended.era + 1
	s.notifyWatchers()
}

// WaitForLateWrites waits until all late writes have taken effect.
func (s *Store) WaitForLateWrites() {
	s.lateWrites.Wait()
}

// Put writes an object's spec, as an operator does, and returns its revision.
func (s *Store) Put(kind, name, spec string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name = name
	o.Spec = json.RawMessage(spec)
	return s.commit(kind, o).Metadata.Rev
}

// Get returns a stored object and whether it exists.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// commit stores an object under a new revision, unless its content is
// unchanged, and returns it as stored. The caller must hold s.mu.
func (s *Store) commit(kind string, o Object) Object {
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
	s.history = append(s.history, event{kind: kind, Object: o, changedAt: time.Now()})
	s.notifyWatchers()
	return o
}

// notifyWatchers wakes the pending watches. The caller must hold s.mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call of the store's API, subject to the faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	if isSerializable(r) {
		s.serializableCalls++
	} else {
		s.fullCalls++
		s.fullCallsByKind[parts[0]]++
	}
	f := s.faults
	setEra(w, s.era)
	s.mu.Unlock()
	// The server detects that the client has gone only once the body is read.
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
		writeJSON(w, http.StatusOK, o)
	default:
		s.write(w, r, parts, body)
	}
}

// isSerializable reports whether a request allows a result that is seconds old.
func isSerializable(r *http.Request) bool {
	return r.URL.Query().Get("serializable") == "1"
}

// setEra sets the header with the era that a response is of.
func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
}

// list writes one page of the objects of a kind, ordered by name.
func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := s.Copy
	if s.faults.LagBehindRestore && isSerializable(r) {
		content = s.ended
	}
	if s.faults.StaleLists != nil && isSerializable(r) {
		content = *s.faults.StaleLists
	}
	setEra(w, content.era)
	items := make([]Object, 0, len(content.objects[kind]))
	for _, o := range content.objects[kind] {
		if o.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	hasMore := len(items) > _pageSize
	if hasMore {
		items = items[:_pageSize]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": hasMore, "as-of": content.rev})
}

// watch waits until there are changes after the given revision and writes them.
// It writes no changes when the wait time is over.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(millis) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	setEra(w, era)
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.compactedRev || after > s.rev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, hiddenFor := s.eventsAfter(kind, after, isSerializable(r))
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as-of": rev})
			return
		}
		var visible <-chan time.Time
		if hiddenFor > 0 {
			visible = time.After(hiddenFor)
		}
		select {
		case <-changed:
		case <-visible:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as-of": after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the visible changes of a kind after a revision. If later
// ones are hidden by StaleReadLag, hiddenFor is the time until the oldest of
// them becomes visible. The caller must hold s.mu.
func (s *Store) eventsAfter(kind string, after uint64, serializable bool) (events []event, hiddenFor time.Duration) {
	if s.faults.SuppressEvents {
		return nil, 0
	}
	for _, e := range s.history {
		if e.kind != kind || e.Object.Metadata.Rev <= after {
			continue
		}
		if age := time.Since(e.changedAt); serializable && age < s.faults.StaleReadLag {
			return events, s.faults.StaleReadLag - age
		}
		events = append(events, e)
	}
	return events, 0
}

// write decodes a create, update or delete, applies it and writes the response, subject
// to the faults.
func (s *Store) write(w http.ResponseWriter, r *http.Request, parts []string, body []byte) {
	var sent Object
	if err := json.Unmarshal(body, &sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.RefuseWrites {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if len(parts) > 1 {
		sent.Metadata.Name = parts[1]
	}
	if f.LateWriteDelay > 0 {
		s.lateWrites.Go(func() {
			time.Sleep(f.LateWriteDelay)
			s.apply(r.Method, parts, sent)
		})
		<-r.Context().Done()
		return
	}
	status, o, era := s.apply(r.Method, parts, sent)
	setEra(w, era)
	if f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, o)
}

// apply creates, updates or deletes an object, or updates only its status if
// parts has three elements, and returns the HTTP status, the object and the store's era.
func (s *Store) apply(method string, parts []string, sent Object) (int, Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := parts[0]
	old, exists := s.objects[kind][sent.Metadata.Name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, old, s.era
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, Object{}, s.era
	case method != http.MethodPost && sent.Metadata.Rev != 0 && sent.Metadata.Rev != old.Metadata.Rev:
		return http.StatusConflict, old, s.era
	case method == http.MethodDelete:
		delete(s.objects[kind], sent.Metadata.Name)
		s.rev++
		old.Metadata.Rev = s.rev
		s.history = append(s.history, event{kind: kind, Object: old, Deleted: true, changedAt: time.Now()})
		s.notifyWatchers()
		return http.StatusOK, old, s.era
	case len(parts) == 3:
		old.Status = sent.Status
		return http.StatusOK, s.commit(kind, old), s.era
	default:
		sent.Status = old.Status
		return http.StatusOK, s.commit(kind, sent), s.era
	}
}

// writeJSON writes a response with the body in JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
