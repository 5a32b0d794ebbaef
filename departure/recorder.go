package departure

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/upstream"
)

const (
	// _attemptTimeout bounds one attempt to read or write the log.
	_attemptTimeout = 1500 * time.Millisecond
	// _relayDelay is how long the store may take before other nodes are asked to
	// call it. A store that is only slow answers within it.
	_relayDelay = 250 * time.Millisecond
	// _minRetryDelay and _maxRetryDelay bound the delay after a failed attempt to
	// write the log.
	_minRetryDelay = 100 * time.Millisecond
	_maxRetryDelay = time.Second
)

// Relay calls the store through other nodes, for when it turns this one away.
type Relay interface {
	// LoadDepartures reads this node's log.
	LoadDepartures(ctx context.Context) ([]upstream.Instance, error)
	// AppendDepartures appends to this node's log.
	AppendDepartures(ctx context.Context, departed []upstream.Instance) error
}

// Recorder records the departures from a node's VM in its Log, and repeats it
// until the store has them. It is safe for concurrent use.
type Recorder struct {
	log    *Log
	relay  Relay
	logger klog.Logger
	// added holds a token while departures may be pending.
	added chan struct{}

	mu sync.Mutex
	// recorded holds the departures that the store has, the newest last; at most
	// _maxDepartures.
	recorded []upstream.Instance
	// pending holds the departures to record, each with a channel that is closed
	// once it is.
	pending map[upstream.Instance]chan struct{}
}

// NewRecorder returns a recorder that does nothing until Run is called.
func NewRecorder(log *Log, relay Relay, logger klog.Logger) *Recorder {
	return &Recorder{log: log, relay: relay, logger: logger, added: make(chan struct{}, 1), pending: make(map[upstream.Instance]chan struct{})}
}

// Load returns the departures that were recorded before, also by earlier
// processes of the node. The error says why neither this node nor the relay
// could read them.
func (r *Recorder) Load(ctx context.Context) ([]upstream.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, _attemptTimeout)
	defer cancel()
	departed, err := firstSuccess(ctx, _relayDelay, r.log.Load, r.relay.LoadDepartures)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markRecorded(departed)
	return departed, nil
}

// Record begins to record a departure and returns a channel that is closed once
// the store has it.
func (r *Recorder) Record(d upstream.Instance) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Contains(r.recorded, d) {
		done := make(chan struct{})
		close(done)
		return done
	}
	if _, ok := r.pending[d]; !ok {
		r.pending[d] = make(chan struct{})
	}
	r.notify()
	return r.pending[d]
}

// RecordAgain records all departures once more, for a store that may have lost
// some.
func (r *Recorder) RecordAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.recorded {
		if _, ok := r.pending[d]; !ok {
			r.pending[d] = make(chan struct{})
		}
	}
	r.recorded = nil
	r.log.Forget()
	r.notify()
}

// PendingCount returns the number of departures that the store doesn't have yet.
func (r *Recorder) PendingCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

func (r *Recorder) notify() {
	select {
	case r.added <- struct{}{}:
	default:
	}
}

// Run records departures until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.added:
			r.recordPending(ctx)
		}
	}
}

// recordPending repeats the attempt to record what is pending until it succeeds
// or the context ends.
func (r *Recorder) recordPending(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = _minRetryDelay, _maxRetryDelay
	hasFailed := false
	for ctx.Err() == nil {
		departed := r.pendingDepartures()
		if len(departed) == 0 {
			return
		}
		err := r.append(ctx, departed)
		if err == nil {
			r.logger.Info("Departures recorded", "departures", len(departed), "afterFailure", hasFailed)
			r.finish(departed)
			continue
		}
		if !hasFailed {
			r.logger.Info("Departures not recorded yet", "departures", len(departed), "cause", err.Error())
		}
		hasFailed = true
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay.NextBackOff()):
		}
	}
}

func (r *Recorder) append(ctx context.Context, departed []upstream.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, _attemptTimeout)
	defer cancel()
	_, err := firstSuccess(ctx, _relayDelay,
		func(ctx context.Context) (struct{}, error) { return struct{}{}, r.log.Append(ctx, departed...) },
		func(ctx context.Context) (struct{}, error) {
			return struct{}{}, r.relay.AppendDepartures(ctx, departed)
		})
	return err
}

func (r *Recorder) pendingDepartures() []upstream.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	departed := make([]upstream.Instance, 0, len(r.pending))
	for d := range r.pending {
		departed = append(departed, d)
	}
	slices.SortFunc(departed, upstream.Instance.Compare)
	return departed
}

// finish marks pending departures as recorded.
func (r *Recorder) finish(departed []upstream.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markRecorded(departed)
	for _, d := range departed {
		close(r.pending[d])
		delete(r.pending, d)
	}
}

// markRecorded adds to recorded. The caller holds r.mu.
func (r *Recorder) markRecorded(departed []upstream.Instance) {
	for _, d := range departed {
		if !slices.Contains(r.recorded, d) {
			r.recorded = append(r.recorded, d)
		}
	}
	r.recorded = r.recorded[max(0, len(r.recorded)-_maxDepartures):]
}

// firstSuccess calls first, and also second once first has failed or the delay
// has passed. It returns the first result without an error, and the error of
// first if there is none.
func firstSuccess[T any](ctx context.Context, delay time.Duration, first, second func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := func(f func(context.Context) (T, error), results chan<- result) {
		value, err := f(ctx)
		results <- result{value, err}
	}
	firstResult, secondResult := make(chan result, 1), make(chan result, 1)
	go call(first, firstResult)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var failed result
	select {
	case failed = <-firstResult:
		if failed.err == nil {
			return failed.value, nil
		}
		firstResult = nil
	case <-timer.C:
	}
	go call(second, secondResult)
	for {
		select {
		case r := <-firstResult:
			if r.err == nil || secondResult == nil {
				return r.value, r.err
			}
			failed, firstResult = r, nil
		case r := <-secondResult:
			if r.err == nil {
				return r.value, nil
			}
			if firstResult == nil {
				return failed.value, failed.err
			}
			secondResult = nil
		}
	}
}
