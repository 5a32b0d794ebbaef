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
	// _meanFaultInterval is the mean time between the starts of two faults. It is
	// short enough that several faults overlap.
	_meanFaultInterval = 700 * time.Millisecond
	// _maxFaultDuration is the upper bound of a fault's random duration.
	_maxFaultDuration = 4 * time.Second
	// _maxDowntime is the upper bound of the time before a stopped process is
	// started again.
	_maxDowntime = 2 * time.Second
	// _minCrashingDuration is how long calls that crash upstreams are sent at
	// least. It is twice the time after which they must have been blocked.
	_minCrashingDuration = 2 * _blockedWithin
)

// fault is one kind of fault. Its inject function starts the fault at once and
// returns when the fault is over.
type fault struct {
	name   string
	inject func(inj *faultInjector, v *vm, duration time.Duration)
}

// faultInjector injects a random sequence of faults that depends on a seed.
type faultInjector struct {
	fleet   *fleet
	callers *callers
	rnd     *rand.Rand
	// rndMu guards rnd, which overlapping faults share, and orders the
	// configurations.
	rndMu sync.Mutex
	// vmMu holds a mutex for each VM's process and upstream, so that two faults
	// never start the same one twice.
	vmMu map[*vm]*sync.Mutex
	// storeFaultsMu is held while a store fault lasts, so that store faults do
	// not overlap.
	storeFaultsMu sync.Mutex
	active        sync.WaitGroup
	logf          func(format string, args ...any)
}

func newFaultInjector(f *fleet, c *callers, seed uint64, logf func(string, ...any)) *faultInjector {
	inj := &faultInjector{fleet: f, callers: c, rnd: rand.New(rand.NewPCG(seed, 0)), vmMu: make(map[*vm]*sync.Mutex), logf: logf}
	for _, v := range f.vms {
		inj.vmMu[v] = &sync.Mutex{}
	}
	return inj
}

// isolate returns a function that injects a fault which keeps the node out of
// touch with other nodes, and records that.
func isolate(inject func(*faultInjector, *vm, time.Duration)) func(*faultInjector, *vm, time.Duration) {
	return func(inj *faultInjector, v *vm, duration time.Duration) {
		inj.fleet.checker.beginIsolation(v.id)
		inject(inj, v, duration)
		inj.fleet.checker.endIsolation(v.id, time.Now())
	}
}

// faultKinds returns the faults to choose from. "configure" is listed twice to
// make it twice as likely.
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
		return func(inj *faultInjector, _ *vm, duration time.Duration) {
			inj.storeFaultsMu.Lock()
			defer inj.storeFaultsMu.Unlock()
			inj.fleet.store.SetFaults(f)
			time.Sleep(duration)
			inj.fleet.store.SetFaults(fakestore.Faults{})
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
		{"kill", func(inj *faultInjector, v *vm, _ time.Duration) { inj.restart(v, syscall.SIGKILL) }},
		{"stop", func(inj *faultInjector, v *vm, _ time.Duration) { inj.restart(v, syscall.SIGTERM) }},
		{"pause", isolate(func(_ *faultInjector, v *vm, duration time.Duration) {
			v.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			v.signal(syscall.SIGCONT)
		})},
		{"hup", func(_ *faultInjector, v *vm, _ time.Duration) { v.signal(syscall.SIGHUP) }},
		{"herd-kill", func(inj *faultInjector, _ *vm, _ time.Duration) { inj.killEveryNth(2) }},
		{"all-kill", func(inj *faultInjector, _ *vm, _ time.Duration) { inj.killEveryNth(1) }},
		{"peer-slow", link(toPeer, _linkSlow)},
		{"peer-reset", isolate(link(toPeer, _linkReset))},
		{"peer-silent", isolate(link(toPeer, _linkStalled))},
		{"peer-one-way", isolate(link(toPeer, _linkOneWay))},
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
		{"store-forgets", func(inj *faultInjector, _ *vm, _ time.Duration) { inj.fleet.store.CompactHistory() }},
		{"upstream-slow", upstream(fakehost.Faults{Delay: 5 * _processingTime})},
		{"upstream-fails", upstream(fakehost.Faults{FailRatio: 0.4})},
		{"upstream-loses-answers", upstream(fakehost.Faults{LostResponseRatio: 0.2})},
		{"upstream-crash", func(inj *faultInjector, v *vm, duration time.Duration) { inj.replaceUpstream(v, false, duration) }},
		{"upstream-leave", func(inj *faultInjector, v *vm, duration time.Duration) { inj.replaceUpstream(v, true, duration) }},
		{"crashing-call", func(inj *faultInjector, _ *vm, duration time.Duration) {
			inj.sendCrashing(_minCrashingDuration + duration)
		}},
		{"configure", func(inj *faultInjector, _ *vm, _ time.Duration) { inj.writeNextConfig() }},
		{"configure", func(inj *faultInjector, _ *vm, _ time.Duration) { inj.writeNextConfig() }},
	}
}

// run injects faults until the context ends and then waits for the active ones
// to end.
func (inj *faultInjector) run(ctx context.Context) {
	kinds := faultKinds()
	for {
		select {
		case <-ctx.Done():
			inj.active.Wait()
			return
		case <-time.After(inj.randomDuration(2 * _meanFaultInterval)):
		}
		inj.rndMu.Lock()
		kind, v := kinds[inj.rnd.IntN(len(kinds))], inj.fleet.vms[inj.rnd.IntN(len(inj.fleet.vms))]
		inj.rndMu.Unlock()
		duration := inj.randomDuration(_maxFaultDuration)
		inj.logf("fault %s %s for %s", kind.name, v.id, duration.Round(time.Millisecond))
		inj.active.Go(func() {
			kind.inject(inj, v, duration)
			inj.logf("fault %s %s is over", kind.name, v.id)
		})
	}
}

// randomDuration returns a random duration from 0 up to limit.
func (inj *faultInjector) randomDuration(limit time.Duration) time.Duration {
	inj.rndMu.Lock()
	defer inj.rndMu.Unlock()
	return time.Duration(inj.rnd.Int64N(int64(limit)))
}

// restart stops a node's process with a signal and starts it again after a
// random downtime.
func (inj *faultInjector) restart(v *vm, signal syscall.Signal) {
	inj.vmMu[v].Lock()
	defer inj.vmMu[v].Unlock()
	v.stop(signal)
	inj.fleet.checker.beginIsolation(v.id)
	defer func() { inj.fleet.checker.endIsolation(v.id, time.Now()) }()
	time.Sleep(inj.randomDuration(_maxDowntime))
	if err := v.start(); err != nil {
		inj.logf("%+v", err)
	}
}

// sendCrashing sends calls that crash upstreams for a duration.
func (inj *faultInjector) sendCrashing(duration time.Duration) {
	inj.rndMu.Lock()
	rnd := rand.New(rand.NewPCG(inj.rnd.Uint64(), 0))
	inj.rndMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	inj.callers.sendCrashing(ctx, rnd)
}

// killEveryNth kills and restarts every nth node at the same time.
func (inj *faultInjector) killEveryNth(n int) {
	var restarts sync.WaitGroup
	for i, v := range inj.fleet.vms {
		if i%n == 0 {
			restarts.Go(func() { inj.restart(v, syscall.SIGKILL) })
		}
	}
	restarts.Wait()
}

// replaceUpstream stops a node's upstream and starts a new instance after the
// downtime. With notice, the old instance first announces that it leaves.
func (inj *faultInjector) replaceUpstream(v *vm, withNotice bool, downtime time.Duration) {
	inj.vmMu[v].Lock()
	defer inj.vmMu[v].Unlock()
	if withNotice {
		v.upstream.Leave()
		time.Sleep(_leaveGracePeriod + downtime)
		inj.fleet.checker.checkRunsAfterLeave(v.upstream.LeaveConfirmed())
	}
	v.upstream.Crash()
	time.Sleep(downtime)
	v.upstream.Restart()
}

// writeNextConfig writes the next version of the configuration. It has the
// routes that all versions share and one of its own in place of the previous
// version's.
func (inj *faultInjector) writeNextConfig() {
	inj.rndMu.Lock()
	defer inj.rndMu.Unlock()
	version := int(inj.fleet.configVersion.Load()) + 1
	document, err := fakehost.EncodeConfig(version, _service, []fakehost.Route{
		{Name: "lookups", PathPrefix: _pathLookup, Idempotent: true},
		{Name: "commands", PathPrefix: _pathCommand},
		{Name: "newest", PathPrefix: versionPath(version), Idempotent: true, Public: true},
	}, tenants(version))
	if err != nil {
		inj.logf("%+v", err)
		return
	}
	inj.fleet.store.Put("config", "main", document)
	inj.fleet.configVersion.Store(int64(version))
}

// versionPath returns the path prefix of the route that only the given version
// of the configuration has.
func versionPath(version int) string {
	return _pathVersion + strconv.Itoa(version) + "/"
}
