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
	// _meanFaultInterval is the mean time between the beginnings of two faults, so
	// that several overlap.
	_meanFaultInterval = 700 * time.Millisecond
	// _maxFaultDuration bounds how long a fault lasts.
	_maxFaultDuration = 4 * time.Second
	// _maxDowntime bounds how long a process stays down.
	_maxDowntime = 2 * time.Second
)

// fault is one kind of trouble. It begins at once and returns when it is over.
type fault struct {
	name   string
	inject func(s *faultInjector, v *vm, duration time.Duration)
}

// faultInjector plays faults by a seed.
type faultInjector struct {
	fleet *fleet
	rnd   *rand.Rand
	// rndMu guards rnd, which overlapping faults draw from.
	rndMu sync.Mutex
	// configVersion is the number of the configuration that was written last.
	configVersion int
	// vmMu holds a lock for each VM's process and upstream, so that two
	// faults do not start the same one twice.
	vmMu map[*vm]*sync.Mutex
	// storeFaultsMu is held while the store's failures are set.
	storeFaultsMu sync.Mutex
	active        sync.WaitGroup
	logf          func(format string, args ...any)
}

func newFaultInjector(f *fleet, seed uint64, logf func(string, ...any)) *faultInjector {
	s := &faultInjector{fleet: f, rnd: rand.New(rand.NewPCG(seed, 0)), vmMu: make(map[*vm]*sync.Mutex), logf: logf}
	for _, v := range f.vms {
		s.vmMu[v] = &sync.Mutex{}
	}
	return s
}

func faultKinds() []fault {
	link := func(selectLink func(*vm) *proxy, f linkFault) func(*faultInjector, *vm, time.Duration) {
		return func(_ *faultInjector, v *vm, duration time.Duration) {
			selectLink(v).setFault(f)
			time.Sleep(duration)
			selectLink(v).setFault(_linkHealthy)
		}
	}
	toPeer, toStore, toUpstream := func(v *vm) *proxy { return v.toPeer }, func(v *vm) *proxy { return v.toStore }, func(v *vm) *proxy { return v.toUpstream }
	store := func(f fakestore.Faults) func(*faultInjector, *vm, time.Duration) {
		return func(s *faultInjector, _ *vm, duration time.Duration) {
			s.storeFaultsMu.Lock()
			defer s.storeFaultsMu.Unlock()
			s.fleet.store.SetFaults(f)
			time.Sleep(duration)
			s.fleet.store.SetFaults(fakestore.Faults{})
		}
	}
	upstream := func(f fakehost.Faults) func(*faultInjector, *vm, time.Duration) {
		return func(_ *faultInjector, v *vm, duration time.Duration) {
			v.upstream.SetFaults(f)
			time.Sleep(duration)
			v.upstream.SetFaults(fakehost.Faults{})
		}
	}
	return []fault{
		{"kill", func(s *faultInjector, v *vm, _ time.Duration) { s.restart(v, syscall.SIGKILL) }},
		{"stop", func(s *faultInjector, v *vm, _ time.Duration) { s.restart(v, syscall.SIGTERM) }},
		{"pause", func(_ *faultInjector, v *vm, duration time.Duration) {
			v.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			v.signal(syscall.SIGCONT)
		}},
		{"hup", func(_ *faultInjector, v *vm, _ time.Duration) { v.signal(syscall.SIGHUP) }},
		{"herd-kill", func(s *faultInjector, _ *vm, _ time.Duration) { s.killEveryNth(2) }},
		{"all-kill", func(s *faultInjector, _ *vm, _ time.Duration) { s.killEveryNth(1) }},
		{"peer-slow", link(toPeer, _linkSlow)},
		{"peer-reset", link(toPeer, _linkReset)},
		{"peer-silent", link(toPeer, _linkStalled)},
		{"peer-one-way", link(toPeer, _linkOneWay)},
		{"store-link-reset", link(toStore, _linkReset)},
		{"store-link-silent", link(toStore, _linkStalled)},
		{"store-link-one-way", link(toStore, _linkOneWay)},
		{"upstream-link-slow", link(toUpstream, _linkSlow)},
		{"upstream-link-reset", link(toUpstream, _linkReset)},
		{"upstream-link-one-way", link(toUpstream, _linkOneWay)},
		{"store-busy", store(fakestore.Faults{Status: http.StatusServiceUnavailable})},
		{"store-over-rate", store(fakestore.Faults{Status: http.StatusTooManyRequests})},
		{"store-silent", store(fakestore.Faults{Hang: true})},
		{"store-loses-answers", store(fakestore.Faults{LoseResponses: true})},
		{"store-late", store(fakestore.Faults{LateWriteDelay: 700 * time.Millisecond})},
		{"store-deaf", store(fakestore.Faults{SuppressEvents: true})},
		{"store-lags", store(fakestore.Faults{StaleReadLag: 2 * time.Second})},
		{"store-forgets", func(s *faultInjector, _ *vm, _ time.Duration) { s.fleet.store.CompactHistory() }},
		{"upstream-slow", upstream(fakehost.Faults{Delay: 5 * _processingTime})},
		{"upstream-fails", upstream(fakehost.Faults{FailRatio: 0.4})},
		{"upstream-loses-answers", upstream(fakehost.Faults{LostResponseRatio: 0.2})},
		{"upstream-crash", func(s *faultInjector, v *vm, duration time.Duration) { s.replaceUpstream(v, false, duration) }},
		{"upstream-leave", func(s *faultInjector, v *vm, duration time.Duration) { s.replaceUpstream(v, true, duration) }},
		{"configure", func(s *faultInjector, _ *vm, _ time.Duration) { s.writeNextConfig() }},
		{"configure", func(s *faultInjector, _ *vm, _ time.Duration) { s.writeNextConfig() }},
	}
}

// run plays faults until the context ends and then waits for the end of those
// that are under way.
func (s *faultInjector) run(ctx context.Context) {
	kinds := faultKinds()
	for {
		select {
		case <-ctx.Done():
			s.active.Wait()
			return
		case <-time.After(s.randomDuration(2 * _meanFaultInterval)):
		}
		s.rndMu.Lock()
		kind, v := kinds[s.rnd.IntN(len(kinds))], s.fleet.vms[s.rnd.IntN(len(s.fleet.vms))]
		s.rndMu.Unlock()
		duration := s.randomDuration(_maxFaultDuration)
		s.logf("fault %s %s for %s", kind.name, v.id, duration.Round(time.Millisecond))
		s.active.Go(func() {
			kind.inject(s, v, duration)
			s.logf("fault %s %s is over", kind.name, v.id)
		})
	}
}

func (s *faultInjector) randomDuration(limit time.Duration) time.Duration {
	s.rndMu.Lock()
	defer s.rndMu.Unlock()
	return time.Duration(s.rnd.Int64N(int64(limit)))
}

// restart ends a node's process by a signal and starts it again.
func (s *faultInjector) restart(v *vm, signal syscall.Signal) {
	s.vmMu[v].Lock()
	defer s.vmMu[v].Unlock()
	v.stop(signal)
	time.Sleep(s.randomDuration(_maxDowntime))
	if err := v.start(); err != nil {
		s.logf("%+v", err)
	}
}

// killEveryNth kills one in so many of the nodes at the same time.
func (s *faultInjector) killEveryNth(n int) {
	var restarts sync.WaitGroup
	for i, v := range s.fleet.vms {
		if i%n == 0 {
			restarts.Go(func() { s.restart(v, syscall.SIGKILL) })
		}
	}
	restarts.Wait()
}

// replaceUpstream ends a node's upstream, with or without notice, and starts
// another process of it.
func (s *faultInjector) replaceUpstream(v *vm, withNotice bool, downtime time.Duration) {
	s.vmMu[v].Lock()
	defer s.vmMu[v].Unlock()
	if withNotice {
		v.upstream.Leave()
		time.Sleep(_leaveGracePeriod + downtime)
		s.fleet.checker.checkRunsAfterLeave(v.upstream.LeaveConfirmed())
	}
	v.upstream.Crash()
	time.Sleep(downtime)
	v.upstream.Restart()
}

// writeNextConfig writes the next configuration. The routes of the version before
// are gone with it, but for those that all versions have.
func (s *faultInjector) writeNextConfig() {
	s.rndMu.Lock()
	defer s.rndMu.Unlock()
	s.configVersion++
	document, err := fakehost.EncodeConfig(s.configVersion, _service, []fakehost.Route{
		{Name: "lookups", PathPrefix: _pathLookup, Idempotent: true},
		{Name: "commands", PathPrefix: _pathCommand},
		{Name: "newest", PathPrefix: versionPath(s.configVersion), Idempotent: true},
	})
	if err != nil {
		s.logf("%+v", err)
		return
	}
	s.fleet.store.Put("config", "main", document)
}

func versionPath(version int) string {
	return "/version-" + strconv.Itoa(version) + "/"
}
