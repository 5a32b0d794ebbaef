package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
	"lentilferry.example/lentilferry/internal/fakes/fakestore"
)

const (
	// _faultEvery is the mean time between the beginnings of two faults, so
	// that several overlap.
	_faultEvery = 700 * time.Millisecond
	// _faultMost bounds how long a fault lasts.
	_faultMost = 4 * time.Second
	// _restartMost bounds how long a process stays down.
	_restartMost = 2 * time.Second
)

// fault is one kind of trouble. It begins at once and returns when it is over.
type fault struct {
	name string
	play func(s *schedule, v *vm, last time.Duration)
}

// schedule plays faults by a seed.
type schedule struct {
	fleet *fleet
	rnd   *rand.Rand
	// rndMu guards rnd, which overlapping faults draw from.
	rndMu sync.Mutex
	// version is the number of the configuration that was written last.
	version int
	// busy holds a lock for each VM's process and upstream, so that two
	// faults do not start the same one twice.
	busy map[*vm]*sync.Mutex
	// storeMu is held while the store's failures are set.
	storeMu sync.Mutex
	playing sync.WaitGroup
	logf    func(format string, args ...any)
}

func newSchedule(f *fleet, seed uint64, logf func(string, ...any)) *schedule {
	s := &schedule{fleet: f, rnd: rand.New(rand.NewPCG(seed, 0)), busy: make(map[*vm]*sync.Mutex), logf: logf}
	for _, v := range f.vms {
		s.busy[v] = &sync.Mutex{}
	}
	return s
}

func faults() []fault {
	link := func(which func(*vm) *proxy, f linkFault) func(*schedule, *vm, time.Duration) {
		return func(_ *schedule, v *vm, last time.Duration) {
			which(v).set(f)
			time.Sleep(last)
			which(v).set(linkSound)
		}
	}
	toPeer, toStore, toUpstream := func(v *vm) *proxy { return v.toPeer }, func(v *vm) *proxy { return v.toStore }, func(v *vm) *proxy { return v.toUpstream }
	store := func(f fakestore.Faults) func(*schedule, *vm, time.Duration) {
		return func(s *schedule, _ *vm, last time.Duration) {
			s.storeMu.Lock()
			defer s.storeMu.Unlock()
			s.fleet.store.SetFaults(f)
			time.Sleep(last)
			s.fleet.store.SetFaults(fakestore.Faults{})
		}
	}
	upstream := func(f fakehost.Faults) func(*schedule, *vm, time.Duration) {
		return func(_ *schedule, v *vm, last time.Duration) {
			v.upstream.SetFaults(f)
			time.Sleep(last)
			v.upstream.SetFaults(fakehost.Faults{})
		}
	}
	return []fault{
		{"kill", func(s *schedule, v *vm, _ time.Duration) { s.restart(v, syscall.SIGKILL) }},
		{"stop", func(s *schedule, v *vm, _ time.Duration) { s.restart(v, syscall.SIGTERM) }},
		{"pause", func(_ *schedule, v *vm, last time.Duration) {
			v.signal(syscall.SIGSTOP)
			time.Sleep(last)
			v.signal(syscall.SIGCONT)
		}},
		{"hup", func(_ *schedule, v *vm, _ time.Duration) { v.signal(syscall.SIGHUP) }},
		{"herd-kill", func(s *schedule, _ *vm, _ time.Duration) { s.herd(2) }},
		{"all-kill", func(s *schedule, _ *vm, _ time.Duration) { s.herd(1) }},
		{"peer-slow", link(toPeer, linkSlow)},
		{"peer-reset", link(toPeer, linkReset)},
		{"peer-silent", link(toPeer, linkSilent)},
		{"peer-one-way", link(toPeer, linkOneWay)},
		{"store-link-reset", link(toStore, linkReset)},
		{"store-link-silent", link(toStore, linkSilent)},
		{"store-link-one-way", link(toStore, linkOneWay)},
		{"upstream-link-slow", link(toUpstream, linkSlow)},
		{"upstream-link-reset", link(toUpstream, linkReset)},
		{"upstream-link-one-way", link(toUpstream, linkOneWay)},
		{"store-busy", store(fakestore.Faults{Status: http.StatusServiceUnavailable})},
		{"store-over-rate", store(fakestore.Faults{Status: http.StatusTooManyRequests})},
		{"store-silent", store(fakestore.Faults{Hang: true})},
		{"store-loses-answers", store(fakestore.Faults{LoseResponses: true})},
		{"store-late", store(fakestore.Faults{LateWriteDelay: 700 * time.Millisecond})},
		{"store-deaf", store(fakestore.Faults{SuppressEvents: true})},
		{"store-lags", store(fakestore.Faults{StaleReadLag: 2 * time.Second})},
		{"store-forgets", func(s *schedule, _ *vm, _ time.Duration) { s.fleet.store.CompactHistory() }},
		{"upstream-slow", upstream(fakehost.Faults{Delay: 5 * _work})},
		{"upstream-fails", upstream(fakehost.Faults{FailRatio: 0.4})},
		{"upstream-loses-answers", upstream(fakehost.Faults{LostResponseRatio: 0.2})},
		{"upstream-crash", func(s *schedule, v *vm, last time.Duration) { s.replaceUpstream(v, false, last) }},
		{"upstream-leave", func(s *schedule, v *vm, last time.Duration) { s.replaceUpstream(v, true, last) }},
		{"configure", func(s *schedule, _ *vm, _ time.Duration) { s.configure() }},
		{"configure", func(s *schedule, _ *vm, _ time.Duration) { s.configure() }},
	}
}

// run plays faults until the context ends and then waits for the end of those
// that are under way.
func (s *schedule) run(ctx context.Context) {
	kinds := faults()
	for {
		select {
		case <-ctx.Done():
			s.playing.Wait()
			return
		case <-time.After(s.draw(2 * _faultEvery)):
		}
		s.rndMu.Lock()
		kind, v := kinds[s.rnd.IntN(len(kinds))], s.fleet.vms[s.rnd.IntN(len(s.fleet.vms))]
		s.rndMu.Unlock()
		last := s.draw(_faultMost)
		s.logf("fault %s %s for %s", kind.name, v.id, last.Round(time.Millisecond))
		s.playing.Go(func() {
			kind.play(s, v, last)
			s.logf("fault %s %s is over", kind.name, v.id)
		})
	}
}

func (s *schedule) draw(most time.Duration) time.Duration {
	s.rndMu.Lock()
	defer s.rndMu.Unlock()
	return time.Duration(s.rnd.Int64N(int64(most)))
}

// restart ends a node's process by a signal and starts it again.
func (s *schedule) restart(v *vm, signal syscall.Signal) {
	s.busy[v].Lock()
	defer s.busy[v].Unlock()
	v.end(signal)
	time.Sleep(s.draw(_restartMost))
	if err := v.start(); err != nil {
		s.logf("%+v", err)
	}
}

// herd kills one in so many of the nodes at the same time.
func (s *schedule) herd(oneIn int) {
	var killing sync.WaitGroup
	for i, v := range s.fleet.vms {
		if i%oneIn == 0 {
			killing.Go(func() { s.restart(v, syscall.SIGKILL) })
		}
	}
	killing.Wait()
}

// replaceUpstream ends a node's upstream, with or without notice, and starts
// another process of it.
func (s *schedule) replaceUpstream(v *vm, withNotice bool, down time.Duration) {
	s.busy[v].Lock()
	defer s.busy[v].Unlock()
	if withNotice {
		v.upstream.Leave()
		time.Sleep(_leavingBound + down)
		s.fleet.promises.left(v.upstream.LeaveConfirmed())
	}
	v.upstream.Crash()
	time.Sleep(down)
	v.upstream.Restart()
}

// configure writes the next configuration. The routes of the version before
// are gone with it, but for those that all versions have.
func (s *schedule) configure() {
	s.rndMu.Lock()
	defer s.rndMu.Unlock()
	s.version++
	document, err := fakehost.EncodeConfig(s.version, _service, []fakehost.Route{
		{Name: "lookups", PathPrefix: _pathLookup, Idempotent: true},
		{Name: "commands", PathPrefix: _pathCommand},
		{Name: "newest", PathPrefix: newestPath(s.version), Idempotent: true},
	})
	if err != nil {
		s.logf("%+v", err)
		return
	}
	s.fleet.store.Put("config", "main", document)
}

func newestPath(version int) string {
	return "/version-" + strconv.Itoa(version) + "/"
}
