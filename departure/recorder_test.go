package departure_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/departure"
	"lentilferry.example/lentilferry/internal/fakes/fakeplatform"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/upstream"
)

const _waitTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// relay calls a store through another node.
type relay struct{ log *departure.Log }

func (r relay) LoadDepartures(ctx context.Context) ([]upstream.Instance, error) {
	return r.log.Load(ctx)
}

func (r relay) AppendDepartures(ctx context.Context, departed []upstream.Instance) error {
	return r.log.Append(ctx, departed...)
}

// startRecorder returns a running recorder that calls one store itself and
// another through its relay.
func startRecorder(t *testing.T, own, relayed departure.Store) *departure.Recorder {
	t.Helper()
	r := departure.NewRecorder(newLog(own), relay{newLog(relayed)}, klog.Logger{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

func isClosed(c <-chan struct{}, within time.Duration) bool {
	select {
	case <-c:
		return true
	case <-time.After(within):
		return false
	}
}

func newStore(f fakeplatform.Faults) *fakeplatform.Platform {
	store := fakeplatform.New()
	store.SetFaults(f)
	return store
}

// Guards against a departure that counts as recorded before the store has it.
func TestRecordWaitsForStore(t *testing.T) {
	store := newStore(fakeplatform.Faults{Down: true})
	r := startRecorder(t, store, store)
	recorded := r.Record(instance(1))
	assert.Assert(t, !isClosed(recorded, 500*time.Millisecond))
	assert.Equal(t, r.PendingCount(), 1)
	store.SetFaults(fakeplatform.Faults{})
	assert.Assert(t, isClosed(recorded, _waitTimeout))
	assert.DeepEqual(t, loaded(t, store), []upstream.Instance{instance(1)})
	assert.Equal(t, r.PendingCount(), 0)
	written := store.Calls().Writes
	assert.Assert(t, isClosed(r.Record(instance(1)), _waitTimeout))
	assert.Equal(t, store.Calls().Writes, written)
}

func TestDeparturesAreRecordedTogether(t *testing.T) {
	store := newStore(fakeplatform.Faults{Down: true})
	r := startRecorder(t, store, store)
	first := r.Record(instance(1))
	var all []<-chan struct{}
	for i := range uint64(9) {
		all = append(all, r.Record(instance(i+2)))
	}
	store.SetFaults(fakeplatform.Faults{})
	for _, c := range append(all, first) {
		assert.Assert(t, isClosed(c, _waitTimeout))
	}
	assert.Equal(t, len(loaded(t, store)), 10)
}

// A store that turns this node away, or doesn't answer it, is called through
// another node.
func TestRecordThroughRelay(t *testing.T) {
	for name, faults := range map[string]fakeplatform.Faults{"refused": {Down: true}, "silent": {Delay: time.Hour}} {
		t.Run(name, func(t *testing.T) {
			own, relayed := newStore(faults), newStore(fakeplatform.Faults{})
			r := startRecorder(t, own, relayed)
			assert.Assert(t, isClosed(r.Record(instance(1)), 700*time.Millisecond))
			assert.DeepEqual(t, loaded(t, relayed), []upstream.Instance{instance(1)})
			departed, err := startRecorder(t, own, relayed).Load(t.Context())
			assert.NilError(t, err)
			assert.DeepEqual(t, departed, []upstream.Instance{instance(1)})
		})
	}
}

func TestLoadErrorIsThatOfTheStore(t *testing.T) {
	down := newStore(fakeplatform.Faults{Down: true})
	_, err := startRecorder(t, down, down).Load(t.Context())
	assert.ErrorIs(t, err, objectstore.ErrUnavailable)
}

// Guards against departures that are lost with what a restored store had
// acknowledged.
func TestRecordAgain(t *testing.T) {
	store := newStore(fakeplatform.Faults{})
	r := startRecorder(t, store, store)
	assert.Assert(t, isClosed(r.Record(instance(1)), _waitTimeout))
	object, err := store.Get(t.Context(), _key)
	assert.NilError(t, err)
	assert.Equal(t, store.Delete(t.Context(), _key, object.Version).Result, objectstore.Written)
	r.RecordAgain()
	for end := time.Now().Add(_waitTimeout); len(loaded(t, store)) == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not recorded again")
	}
	assert.Assert(t, isClosed(r.Record(instance(1)), _waitTimeout))
}
