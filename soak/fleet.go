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
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/internal/fakes/fakehost"
	"lentilferry.example/lentilferry/internal/fakes/fakestore"
)

const (
	_service = "desk"
	// _zones is how many zones the nodes are spread over.
	_zones = 3
	// _slots and _work are those of each upstream.
	_slots = 8
	_work  = 15 * time.Millisecond
	// _announceEvery is the time between an upstream's announcements, and
	// _announceTimeout bounds one.
	_announceEvery   = 300 * time.Millisecond
	_announceTimeout = time.Second
	// _grace is how long a planned stop may take before the process is killed.
	_grace = 6 * time.Second
)

// vm is a node's process, its upstream and the links around them.
type vm struct {
	id       string
	args     []string
	binary   string
	logs     *os.File
	calls    netip.AddrPort
	ready    string
	upstream *fakehost.Upstream
	server   *httptest.Server
	// toPeer, toStore and toUpstream are the links to the node from other
	// nodes, from it to the store and from it to its upstream.
	toPeer, toStore, toUpstream *proxy

	mu      sync.Mutex
	process *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// stopping is set while the end of the process is wanted.
	stopping bool
}

// fleet is all that one run consists of.
type fleet struct {
	vms      []*vm
	store    *fakestore.Store
	server   *httptest.Server
	promises *promises
	client   *http.Client
	ports    ports
}

const (
	// _portFirst and _portLast bound the nodes' ports. They lie below those that
	// the operating system gives to outgoing connections, which would else take
	// the port of a node that is down.
	_portFirst = 12_000
	_portLast  = 32_000
)

// ports hands out ports that nobody listens at.
type ports struct{ next int }

func (p *ports) free() (netip.AddrPort, error) {
	for range _portLast - _portFirst {
		p.next++
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(_portFirst+p.next%(_portLast-_portFirst)))
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address.String())
		if err == nil {
			_ = listener.Close()
			return address, nil
		}
	}
	return netip.AddrPort{}, errors.New("no port is free")
}

// newFleet starts the store, the upstreams and the nodes.
func newFleet(binary, folder string, nodes int, p *promises) (*fleet, error) {
	store := fakestore.New()
	f := &fleet{store: store, ports: ports{next: os.Getpid()}, server: httptest.NewServer(store), promises: p, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second},
		Timeout:   _announceTimeout,
	}}
	for i := range nodes {
		v, err := f.newVM(binary, folder, i)
		if err != nil {
			return f, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

func (f *fleet) newVM(binary, folder string, i int) (*vm, error) {
	v := &vm{id: fmt.Sprintf("n%02d", i), binary: binary}
	var calls, peers, admin, announce netip.AddrPort
	for _, into := range []*netip.AddrPort{&calls, &peers, &admin, &announce} {
		port, err := f.ports.free()
		if err != nil {
			return nil, err
		}
		*into = port
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { v.upstream.ServeHTTP(w, r) }))
	target := netip.MustParseAddrPort(server.Listener.Addr().String())
	storeAt := netip.MustParseAddrPort(strings.TrimPrefix(f.server.URL, "http://"))
	for _, link := range []struct {
		into   **proxy
		target netip.AddrPort
	}{{&v.toPeer, peers}, {&v.toStore, storeAt}, {&v.toUpstream, target}} {
		p, err := newProxy(link.target)
		if err != nil {
			return nil, err
		}
		*link.into = p
	}
	v.server = server
	v.upstream = fakehost.NewUpstream(fakehost.UpstreamDependencies{
		Service: _service, Slots: _slots, ProcessingTime: _work, Address: v.toUpstream.address(), AnnounceAddress: announce, OnRun: f.promises.ran,
	})
	server.Start()
	logs, err := os.Create(filepath.Join(folder, v.id+".log")) //nolint:gosec // The folder is the one that was asked for.
	if err != nil {
		return nil, errors.Wrap(err, "create log file")
	}
	v.logs, v.calls, v.ready = logs, calls, "http://"+admin.String()+"/readyz"
	zone := fmt.Sprintf("zone-%d", i%_zones)
	v.args = []string{
		"--id", v.id, "--region", fmt.Sprintf("region-%d", i%_zones%2), "--zone", zone,
		"--call-address", calls.String(), "--peer-address", v.toPeer.address().String(), "--peer-listen-address", peers.String(),
		"--admin-address", admin.String(), "--announce-address", announce.String(),
		"--platform-protocol", "hosted", "--platform-url", "http://" + v.toStore.address().String(),
		"--service", _service, "--upstream-address", v.toUpstream.address().String(),
		"--leave-notice", "2900ms", "--drain-timeout", "5100ms", "--gc-percent", "50", "--verbosity", "1",
	}
	return v, v.start()
}

// start starts the node's process.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.process = exec.Command(v.binary, v.args...) //nolint:gosec,noctx // The program is the one that was asked for, and end() ends it.
	v.process.Stdout, v.process.Stderr = v.logs, v.logs
	v.stopping = false
	if err := v.process.Start(); err != nil {
		return errors.Wrapf(err, "start %s", v.id)
	}
	ended, process := make(chan struct{}), v.process
	v.ended = ended
	go func() {
		defer close(ended)
		_ = process.Wait()
	}()
	return nil
}

// signal sends a signal to the node's process, if it is up.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process != nil && v.process.Process != nil {
		// A process that has ended meanwhile needs no signal.
		_ = v.process.Process.Signal(s)
	}
}

// end ends the process by a signal, and by SIGKILL after the grace.
func (v *vm) end(s syscall.Signal) {
	v.mu.Lock()
	v.stopping = true
	ended := v.ended
	v.mu.Unlock()
	v.signal(s)
	select {
	case <-ended:
	case <-time.After(_grace):
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-ended
	}
}

// endedByItself reports whether the process ended though nobody wanted it to.
func (v *vm) endedByItself() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.ended:
		return !v.stopping
	default:
		return false
	}
}

// announce keeps the upstream announcing itself until the context ends.
func (f *fleet) announce(ctx context.Context, v *vm) {
	for ctx.Err() == nil {
		// A node that is down confirms nothing; the next round tries again.
		_ = v.upstream.Announce(ctx, f.client)
		select {
		case <-ctx.Done():
		case <-time.After(_announceEvery):
		}
	}
}

// isReady reports whether a node says that it is ready.
func (f *fleet) isReady(v *vm) bool {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, v.ready, nil)
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

// close ends all that the run has started.
func (f *fleet) close() {
	var ending sync.WaitGroup
	for _, v := range f.vms {
		ending.Go(func() {
			v.signal(syscall.SIGCONT)
			v.end(syscall.SIGKILL)
			for _, p := range []*proxy{v.toPeer, v.toStore, v.toUpstream} {
				p.close()
			}
			v.server.CloseClientConnections()
			v.server.Close()
			_ = v.logs.Close()
		})
	}
	ending.Wait()
	f.server.CloseClientConnections()
	f.server.Close()
}
