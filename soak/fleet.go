package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
	"lentilferry.example/lentilferry/internal/fakes/fakestore"
)

const (
	_service = "desk"
	// _zoneCount is the number of zones that the nodes are spread over.
	_zoneCount = 3
	// _slots and _processingTime are the concurrency limit of each upstream and
	// the time it takes for a call.
	_slots          = 8
	_processingTime = 15 * time.Millisecond
	// _announceInterval is the time between an upstream's announcements and
	// _announceTimeout the timeout of each.
	_announceInterval = 300 * time.Millisecond
	_announceTimeout  = time.Second
	// _crashDowntime is how long an upstream that a call has crashed is down.
	_crashDowntime = time.Second
	// _stopGracePeriod is how long a process may take to stop before it is
	// killed.
	_stopGracePeriod = 6 * time.Second
)

// vm holds a node's process, its upstream and the proxies on their connections.
type vm struct {
	id             string
	args           []string
	binary         string
	checker        *checker
	logFile        *os.File
	callAddress    netip.AddrPort
	readyURL       string
	upstream       *fakehost.Upstream
	upstreamServer *httptest.Server
	// toPeer proxies connections from other nodes to this node, toStore those
	// from this node to the store, and toUpstream those to its upstream.
	toPeer, toStore, toUpstream *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process exits.
	exited chan struct{}
	// stopping is set while the process is being stopped on purpose.
	stopping bool
}

// fleet holds the store, nodes and upstreams of one run.
type fleet struct {
	vms         []*vm
	store       *fakestore.Store
	storeServer *httptest.Server
	checker     *checker
	client      *http.Client
	ports       portAllocator
	// configVersion is the version of the newest configuration.
	configVersion atomic.Int64
}

const (
	// The nodes' ports lie from _firstPort up to _lastPort, below the ephemeral
	// range: otherwise an outgoing connection could take the port of a node that
	// is down.
	_firstPort = 12_000
	_lastPort  = 32_000
)

// portAllocator allocates loopback ports on which no process listens.
type portAllocator struct{ next int }

// allocate returns the next free address. It fails when no port in the range is
// free.
func (p *portAllocator) allocate() (netip.AddrPort, error) {
	for range _lastPort - _firstPort {
		p.next++
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(_firstPort+p.next%(_lastPort-_firstPort)))
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
		if err == nil {
			_ = listener.Close()
			return address, nil
		}
	}
	return netip.AddrPort{}, errors.New("no free port in the range")
}

// newFleet starts the store, the upstreams and the nodes. On an error it also
// returns the fleet, which must be closed.
func newFleet(binary, logDir string, nodeCount int, check *checker) (*fleet, error) {
	store := fakestore.New()
	f := &fleet{store: store, ports: portAllocator{next: os.Getpid()}, storeServer: httptest.NewServer(store), checker: check, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second},
		Timeout:   _announceTimeout,
	}}
	for i := range nodeCount {
		v, err := f.newVM(binary, logDir, i)
		if err != nil {
			return f, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

// newVM starts one node with its upstream and proxies, and logs to logDir.
func (f *fleet) newVM(binary, logDir string, index int) (*vm, error) {
	v := &vm{id: fmt.Sprintf("n%02d", index), binary: binary, checker: f.checker}
	var callAddress, peerAddress, adminAddress, announceAddress netip.AddrPort
	for _, address := range []*netip.AddrPort{&callAddress, &peerAddress, &adminAddress, &announceAddress} {
		port, err := f.ports.allocate()
		if err != nil {
			return nil, err
		}
		*address = port
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { v.upstream.ServeHTTP(w, r) }))
	upstreamAddress := netip.MustParseAddrPort(server.Listener.Addr().String())
	storeAddress := netip.MustParseAddrPort(strings.TrimPrefix(f.storeServer.URL, "http://"))
	for _, link := range []struct {
		dest   **proxy
		target netip.AddrPort
	}{{&v.toPeer, peerAddress}, {&v.toStore, storeAddress}, {&v.toUpstream, upstreamAddress}} {
		address, err := f.ports.allocate()
		if err != nil {
			return nil, err
		}
		p, err := newProxy(address, link.target)
		if err != nil {
			return nil, err
		}
		*link.dest = p
	}
	v.upstreamServer = server
	v.upstream = fakehost.NewUpstream(fakehost.UpstreamDependencies{
		Service: _service, Slots: _slots, ProcessingTime: _processingTime, ReportsLoad: index%2 == 0, Address: v.toUpstream.address, AnnounceAddress: announceAddress,
		OnRun: f.checker.recordRun, IsCrashing: isCrashing, OnCrash: v.restartUpstreamLater,
	})
	server.Start()
	logFile, err := os.Create(filepath.Join(logDir, v.id+".log")) //nolint:gosec // The user chooses the folder.
	if err != nil {
		return nil, errors.Wrap(err, "create log file")
	}
	v.logFile, v.callAddress, v.readyURL = logFile, callAddress, "http://"+adminAddress.String()+"/readyz"
	zone := fmt.Sprintf("zone-%d", index%_zoneCount)
	v.args = []string{
		"--id", v.id, "--region", fmt.Sprintf("region-%d", index%_zoneCount%2), "--zone", zone,
		"--call-address", callAddress.String(), "--peer-address", v.toPeer.address.String(), "--peer-listen-address", peerAddress.String(),
		"--admin-address", adminAddress.String(), "--announce-address", announceAddress.String(),
		"--platform-protocol", "hosted", "--platform-url", "http://" + v.toStore.address.String(),
		"--service", _service, "--upstream-address", v.toUpstream.address.String(),
		"--upstream-health-path", fakehost.HealthPath, "--pipeline-depth", "16",
		"--leave-notice", "2900ms", "--drain-timeout", "5100ms", "--gc-percent", "50", "--verbosity", "1",
	}
	return v, v.start()
}

// restartUpstreamLater makes the upstream refuse connections and starts its next
// instance after _crashDowntime.
func (v *vm) restartUpstreamLater(crashed string) {
	v.toUpstream.refuse()
	time.AfterFunc(_crashDowntime, func() {
		v.upstream.RestartCrashed(crashed)
		if err := v.toUpstream.listen(); err != nil {
			v.checker.addViolationf("%s: upstream not restarted: %v", v.id, err)
		}
	})
}

// start starts the node's process and waits for its exit in the background.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd = exec.Command(v.binary, v.args...) //nolint:gosec,noctx // The user chooses the program, and stop ends it.
	v.cmd.Stdout, v.cmd.Stderr = v.logFile, v.logFile
	v.stopping = false
	if err := v.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", v.id)
	}
	exited, cmd := make(chan struct{}), v.cmd
	v.exited = exited
	go func() {
		defer close(exited)
		_ = cmd.Wait()
	}()
	return nil
}

// signal sends a signal to the node's process, if it was started.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		// Signalling a process that has already exited fails; that is fine.
		_ = v.cmd.Process.Signal(s)
	}
}

// stop sends s to the process and waits for its exit. After _stopGracePeriod it
// resumes the process, in case it is paused, and kills it.
func (v *vm) stop(s syscall.Signal) {
	v.mu.Lock()
	v.stopping = true
	exited := v.exited
	v.mu.Unlock()
	v.signal(s)
	select {
	case <-exited:
	case <-time.After(_stopGracePeriod):
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-exited
	}
}

// exitedUnexpectedly reports whether the process exited without being stopped.
func (v *vm) exitedUnexpectedly() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.exited:
		return !v.stopping
	default:
		return false
	}
}

// announce announces the VM's upstream to its node at regular intervals until
// the context ends.
func (f *fleet) announce(ctx context.Context, v *vm) {
	for ctx.Err() == nil {
		// The announcement fails while the node is down; the next one retries.
		_ = v.upstream.Announce(ctx, f.client)
		select {
		case <-ctx.Done():
		case <-time.After(_announceInterval):
		}
	}
}

// isReady reports whether a node answers its readiness check with 200.
func (f *fleet) isReady(v *vm) bool {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, v.readyURL, nil)
	if err != nil {
		return false
	}
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close stops the processes, proxies and servers of the fleet.
func (f *fleet) close() {
	var closing sync.WaitGroup
	for _, v := range f.vms {
		closing.Go(func() {
			v.signal(syscall.SIGCONT)
			v.stop(syscall.SIGKILL)
			for _, p := range []*proxy{v.toPeer, v.toStore, v.toUpstream} {
				p.close()
			}
			v.upstreamServer.CloseClientConnections()
			v.upstreamServer.Close()
			_ = v.logFile.Close()
		})
	}
	closing.Wait()
	f.storeServer.CloseClientConnections()
	f.storeServer.Close()
}
