package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/internal/fakes/fakeplatform"
	"lentilferry.example/lentilferry/internal/fakes/fakeupstream"
	"lentilferry.example/lentilferry/lease"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/node"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/operator"
)

// Service, versions and upstreams of the mesh.
const (
	_service         = config.ServiceName("archive-desk")
	_baselineVersion = config.VersionName("v1")
	_goodVersion     = config.VersionName("v2")
	_badVersion      = config.VersionName("v3")
	_slots           = 12
	// _processingTime is the time that an upstream takes for a call.
	_processingTime = 2 * time.Millisecond
	// _badFailRatio is the share of the bad version's calls that fail.
	_badFailRatio = 0.5
)

// _document is the configuration document that the demo applies.
const _document = `
services:
  - name: archive-desk
    weights:
      - {version: v1, share: 100}
versions:
  - {service: archive-desk, name: v1}
  - {service: archive-desk, name: v2}
  - {service: archive-desk, name: v3}
routes:
  - {name: slips, service: archive-desk, pathPrefix: /slips, class: lookup, timeout: 2s}
  - {name: batches, service: archive-desk, pathPrefix: /batches, class: command, timeout: 5s}
policies:
  - {service: archive-desk, stages: [5, 25, 100], minDwell: 2s, minStageCalls: 20, convergenceAllowance: 1s}
`

// meshNode is a node with its upstream and its addresses.
type meshNode struct {
	node         *node.Node
	id           membership.NodeID
	callAddress  netip.AddrPort
	adminAddress netip.AddrPort
	upstream     *fakeupstream.Upstream
}

// mesh holds the platform, nodes and upstreams, which all run in this process.
type mesh struct {
	platform    *fakeplatform.Platform
	platformURL *url.URL
	nodes       []*meshNode
	running     sync.WaitGroup
	cancel      context.CancelFunc

	mu sync.Mutex
	// nodeErrors holds the errors of nodes that stopped unexpectedly.
	nodeErrors []error
}

// startMesh starts the platform and, in each of two zones, two nodes for each
// version.
func startMesh(ctx context.Context) (*mesh, error) {
	ctx, cancel := context.WithCancel(ctx)
	m := &mesh{platform: fakeplatform.New(), cancel: cancel}
	address, err := m.serve(ctx, m.platform.Handler())
	if err != nil {
		return nil, err
	}
	m.platformURL = &url.URL{Scheme: "http", Host: address.String()}
	for _, zone := range []membership.Zone{"capital-a", "capital-b"} {
		for _, version := range []config.VersionName{_baselineVersion, _baselineVersion, _goodVersion, _goodVersion, _badVersion, _badVersion} {
			if err := m.startNode(ctx, zone, version); err != nil {
				return nil, err
			}
		}
	}
	return m, nil
}

// serve starts an HTTP server for a stand-in on a free loopback port. The
// server is closed when the context ends.
func (m *mesh) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, err := listen(ctx)
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	m.running.Go(func() { _ = server.Serve(listener) })
	m.running.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	return addressOf(listener), nil
}

func listen(ctx context.Context) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	return listener, errors.Wrap(err, "listen on loopback")
}

func addressOf(l net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(l.Addr().String())
}

// startNode starts a node and its upstream, which runs the given version.
func (m *mesh) startNode(ctx context.Context, zone membership.Zone, version config.VersionName) error {
	upstream := fakeupstream.New(string(version), _processingTime)
	if version == _badVersion {
		upstream.SetFaults(fakeupstream.Faults{FailRatio: _badFailRatio})
	}
	upstreamAddress, err := m.serve(ctx, upstream)
	if err != nil {
		return err
	}
	listeners, err := openListeners(ctx)
	if err != nil {
		return err
	}
	id := membership.NodeID(fmt.Sprintf("%s-%02d", zone, len(m.nodes)+1))
	n := node.New(node.Dependencies{
		ID:          id,
		Region:      "capital",
		Zone:        zone,
		PeerAddress: addressOf(listeners.Peers),
		Upstream: node.Upstream{
			Service:    _service,
			Version:    version,
			Address:    upstreamAddress,
			HealthPath: "/healthz",
			Slots:      _slots,
			Warmup:     500 * time.Millisecond,
		},
		Timing:     shortTiming(),
		Membership: membership.DefaultTiming(),
		Lease:      lease.Timing{Lifetime: 2 * time.Second, RenewInterval: 500 * time.Millisecond, SafetyMargin: 500 * time.Millisecond},
		Platform:   objectstore.NewHTTPClient(objectstore.HTTPDependencies{Base: m.platformURL, Transport: &http.Transport{}}),
		Listeners:  listeners,
		Logger:     klog.Background().WithValues("node", id),
		Now:        time.Now,
		OperatorHandler: func(n *node.Node) (string, http.Handler) {
			return operator.New(n, time.Now).Handler()
		},
	})
	m.nodes = append(m.nodes, &meshNode{
		node:         n,
		id:           id,
		callAddress:  addressOf(listeners.Calls),
		adminAddress: addressOf(listeners.Admin),
		upstream:     upstream,
	})
	m.running.Go(func() {
		if err := n.Run(ctx); err != nil && ctx.Err() == nil {
			m.recordNodeError(errors.Wrapf(err, "node %s", id))
		}
	})
	return nil
}

// openListeners opens a node's listeners on free loopback ports.
func openListeners(ctx context.Context) (node.Listeners, error) {
	var l node.Listeners
	for _, into := range []*net.Listener{&l.Calls, &l.Peers, &l.Admin} {
		listener, err := listen(ctx)
		if err != nil {
			return node.Listeners{}, err
		}
		*into = listener
	}
	return l, nil
}

// shortTiming returns intervals that are short enough for the demo to finish
// within a minute.
func shortTiming() node.Timing {
	return node.Timing{
		GossipInterval:      200 * time.Millisecond,
		ZoneGossipInterval:  300 * time.Millisecond,
		EvidenceInterval:    200 * time.Millisecond,
		ControlInterval:     200 * time.Millisecond,
		HealthCheckInterval: 200 * time.Millisecond,
		DrainTimeout:        5 * time.Second,
		ExcludeZoneAfter:    time.Minute,
	}
}

func (m *mesh) recordNodeError(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodeErrors = append(m.nodeErrors, err)
}

// stop stops the nodes and servers and waits for them.
func (m *mesh) stop() {
	m.cancel()
	m.running.Wait()
}

// controlBytes returns the control traffic of all nodes in bytes. Each message
// counts twice, once at its sender and once at its receiver.
func (m *mesh) controlBytes() uint64 {
	var total uint64
	for _, n := range m.nodes {
		total += n.node.ControlBytes()
	}
	return total
}

// revisions returns the revision of each node, in the order of m.nodes.
func (m *mesh) revisions() []uint64 {
	revisions := make([]uint64, 0, len(m.nodes))
	for _, n := range m.nodes {
		revisions = append(revisions, n.node.Members().Self().Revision)
	}
	return revisions
}

// waitForRevision waits until all nodes have reached the revision and returns
// how long it took. It returns an error if the context ends first.
func (m *mesh) waitForRevision(ctx context.Context, revision uint64) (time.Duration, error) {
	start := time.Now()
	for {
		behind := 0
		for _, current := range m.revisions() {
			if current < revision {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(start), nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Wrapf(ctx.Err(), "%d nodes are behind revision %d", behind, revision)
		case <-time.After(10 * time.Millisecond):
		}
	}
}
