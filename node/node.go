// Package node assembles a node: the process that runs beside an upstream,
// routes its calls, takes part in membership and configuration distribution,
// and can hold any control role.
package node

import (
	"context"
	"expvar"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"lentilferry.example/lentilferry/admission"
	"lentilferry.example/lentilferry/allotment"
	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/common/meter"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/control"
	"lentilferry.example/lentilferry/crash"
	"lentilferry.example/lentilferry/departure"
	"lentilferry.example/lentilferry/distribution"
	"lentilferry.example/lentilferry/evidence"
	"lentilferry.example/lentilferry/identity"
	"lentilferry.example/lentilferry/intake"
	"lentilferry.example/lentilferry/lease"
	"lentilferry.example/lentilferry/lifecycle"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/move"
	"lentilferry.example/lentilferry/objectstore"
	"lentilferry.example/lentilferry/peer"
	"lentilferry.example/lentilferry/pipeline"
	"lentilferry.example/lentilferry/quarantine"
	"lentilferry.example/lentilferry/retry"
	"lentilferry.example/lentilferry/revision"
	"lentilferry.example/lentilferry/routing"
	"lentilferry.example/lentilferry/upstream"
	"lentilferry.example/lentilferry/wire"
)

// Platform is the part of the platform API that a node uses.
type Platform interface {
	control.Platform
	Watch(ctx context.Context, kind objectstore.Kind, after uint64) (objectstore.EventBatch, error)
	// ListStale lists the objects of a kind from a read that may be some
	// seconds stale, where that costs the platform less.
	ListStale(ctx context.Context, kind objectstore.Kind) ([]objectstore.Object, uint64, error)
	Delete(ctx context.Context, key objectstore.Key, version uint64) objectstore.WriteOutcome
}

var _ Platform = (*objectstore.HTTPClient)(nil)

// Upstream describes the upstream that the node runs beside.
type Upstream struct {
	// Service is empty for a node without an upstream.
	Service config.ServiceName
	Version config.VersionName
	Address netip.AddrPort
	// HealthPath is the path of the HTTP GET health check. If it is empty, the
	// check only opens a connection.
	HealthPath string
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int
	// Warmup is how long the upstream counts as cold after it came up.
	Warmup time.Duration
	// SelfAnnounced is set for an upstream that announces itself to the node.
	// The node then takes the version, the slots and the state from the
	// announcements.
	SelfAnnounced bool
}

// ConfigSource provides configurations that operators write somewhere other
// than in the product's own head object.
type ConfigSource interface {
	// Next waits for a configuration that it has not returned yet, and returns
	// nil if none arrives in time. With allowStale set, the read costs less and
	// may be seconds stale. The error is revision.ErrInvalid for a
	// configuration that can't be used.
	Next(ctx context.Context, allowStale bool) (*revision.Snapshot, error)
}

// ExtraServer is an additional listener of the node and the handler that serves
// it.
type ExtraServer struct {
	Listener net.Listener
	Handler  func(*Node) http.Handler
}

// Timing holds the intervals between a node's periodic steps and the bounds of
// its waits.
type Timing struct {
	// GossipInterval is the time between probes.
	GossipInterval time.Duration
	// ZoneGossipInterval is the time between a relay's state exchanges with
	// other zones.
	ZoneGossipInterval time.Duration
	// EvidenceInterval is the time between evidence reports while a rollout is
	// in progress.
	EvidenceInterval time.Duration
	// ControlInterval is the time between a controller's steps.
	ControlInterval time.Duration
	// HealthCheckInterval is the time between health checks of the upstream.
	HealthCheckInterval time.Duration
	// DrainTimeout bounds the wait for in-flight calls in a planned stop. It
	// counts from the start of the stop and includes LeaveNotice.
	DrainTimeout time.Duration
	// LeaveNotice is how long the node still takes calls in a planned stop,
	// while callers and peers learn that it leaves.
	LeaveNotice time.Duration
	// ExcludeZoneAfter is how long a zone may be silent before the revision in
	// force is determined without it.
	ExcludeZoneAfter time.Duration
}

// DefaultTiming returns the timing for the target cluster size.
func DefaultTiming() Timing {
	return Timing{
		GossipInterval:      time.Second,
		ZoneGossipInterval:  2 * time.Second,
		EvidenceInterval:    time.Second,
		ControlInterval:     time.Second,
		HealthCheckInterval: time.Second,
		DrainTimeout:        config.MaxTimeout,
		LeaveNotice:         500 * time.Millisecond,
		ExcludeZoneAfter:    time.Minute,
	}
}

// Listeners are the node's open sockets.
type Listeners struct {
	// Calls accepts calls from callers.
	Calls net.Listener
	// Peers accepts forwarded calls and control messages from other nodes.
	Peers net.Listener
	// Admin accepts operators' requests, health checks and metrics requests.
	Admin net.Listener
}

// Dependencies are what a Node is built from.
type Dependencies struct {
	ID          membership.NodeID
	Region      membership.Region
	Zone        membership.Zone
	PeerAddress netip.AddrPort
	Upstream    Upstream
	// Seeds are peers to make first contact with, in addition to those that the
	// platform lists.
	Seeds      []netip.AddrPort
	Timing     Timing
	Membership membership.Timing
	Lease      lease.Timing
	Platform   Platform
	// ConfigSource is nil if the configuration is the platform's head object.
	ConfigSource ConfigSource
	// OrderStore is nil if the product's own rollouts move services between
	// versions.
	OrderStore OrderStore
	// StoreEra returns the newest known era of the platform's store, and false
	// while none is known; nil if the store has no eras.
	StoreEra  func() (uint64, bool)
	Dialect   call.Dialect
	Listeners Listeners
	// Retries limits the retries of each service; the zero value selects the
	// default.
	Retries retry.Limits
	// Allotments limits the calls of workspaces; the zero value selects the
	// default.
	Allotments allotment.Limits
	// MaxBufferedBytes bounds the bytes of calls' bodies that are kept in memory; 0
	// selects the default.
	MaxBufferedBytes int64
	// PipelineDepth bounds the pipelined requests of a caller's connection that are
	// handled concurrently, at most pipeline.MaxDepth; 0 and 1 handle them one after
	// the other.
	PipelineDepth int
	// MaxForwarded bounds the calls that are forwarded to other nodes at the same
	// time; 0 for no bound.
	MaxForwarded int
	// Intake bounds what the node holds for clients whose requests it has not
	// read; the zero value selects the default.
	Intake intake.Limits
	// DroppedLogLines returns how many log lines have been dropped; nil if
	// lines are never dropped.
	DroppedLogLines func() uint64
	// ExtraServers are served in addition to Listeners.
	ExtraServers []ExtraServer
	Logger       klog.Logger
	Now          func() time.Time
	// OperatorHandler builds the handler for operators' requests from the
	// node's parts, and returns it with its mux pattern.
	OperatorHandler func(*Node) (pattern string, handler http.Handler)
}

// Node is one node of the system.
type Node struct {
	deps             Dependencies
	members          *membership.Table
	holder           *revision.Holder
	replica          *distribution.Replica
	committer        *revision.Committer
	quarantines      *quarantine.Set
	crashes          *crash.Table
	gossip           *peer.Gossip
	clients          *peer.Clients
	collector        *evidence.Collector
	allotments       *allotments
	recorder         *evidence.Recorder
	appliedRevisions *membership.AppliedRevisions
	controller       *control.Controller
	operations       *control.Operations
	lifecycle        *lifecycle.Lifecycle
	// upstreamRegistry is nil unless the upstream announces itself.
	upstreamRegistry *upstream.Registry
	// departures records the departures of the upstream; nil unless the upstream
	// announces itself.
	departures *departure.Recorder
	// departuresLoaded is set once those that earlier processes of this node
	// recorded are known, and routesSince when the node had its first routes.
	departuresLoaded atomic.Bool
	routesSince      atomic.Pointer[time.Time]
	// upstreamMu serializes syncUpstreamState.
	upstreamMu sync.Mutex
	// exclusionReason is why the upstream takes no calls although it could;
	// empty while it may take them.
	exclusionReason string
	gate            *admission.Gate
	upstreamLoad    *upstream.LoadTracker
	buffers         *call.BufferBudget
	identities      *identity.Record
	owner           *call.Owner
	ingress         *call.Ingress
	// pipelines handles callers' pipelined requests; nil if PipelineDepth is less
	// than 2.
	pipelines      *pipeline.Server
	pool           *routing.Pool
	routes         atomic.Pointer[routing.Table]
	metrics        *expvar.Map
	controlTraffic *meter.Meter
	// lastApplied is the last report that reportApplied delivered.
	lastApplied appliedReport
	// reportSequence numbers this node's evidence reports.
	reportSequence atomic.Uint64
	// poolGeneration is the generation of the members that the upstream pool
	// was last built from, and poolUpdatedAt is when that was. Only refresh
	// uses them.
	poolGeneration uint64
	poolUpdatedAt  time.Time
	// rolloutDetectors holds the detector of each rollout that this node
	// collects evidence for, by rollout ID.
	rolloutDetectors map[string]*evidence.Detector

	rndMu sync.Mutex
	rnd   *rand.Rand

	// upstreamClient sends calls to the node's own upstream.
	upstreamClient *call.UpstreamClient
	// healthTransport carries health checks to the node's own upstream.
	healthTransport http.RoundTripper
	// transports have their idle connections closed when the node ends.
	transports []interface{ CloseIdleConnections() }

	// orderTable holds the known orders to move services between versions.
	orderTable *move.OrderTable
	// coordinators and orderDetectors hold the state of each order that this
	// node decides on, by order ID. Only stepOrders uses them.
	coordinators   map[string]*move.Coordinator
	orderDetectors map[string]*evidence.Detector
	// callerConns and peerConns track the connections of callers and of other
	// nodes.
	callerConns, peerConns *callerConns
	// guard bounds the connections and header sections of all servers.
	guard *intake.Guard
	// broadcasts queues the updates to send to other members without waiting
	// for gossip.
	broadcasts    *membership.BroadcastQueue
	stopRequested chan struct{}
	// stopping is set at the start of a planned stop.
	stopping atomic.Bool
	stopOnce sync.Once
	// startedAt is when the node was built. joined is set once it has made
	// first contact with another node.
	startedAt time.Time
	joined    atomic.Bool
	// replicatedSequence is the sequence number of this node's record that
	// another member last accepted before a departure was confirmed.
	replicatedSequence atomic.Uint64
}

const (
	// _pipelineShare is the part of MaxBufferedBytes that pipelined requests may take,
	// so that those of other connections find room.
	_pipelineShare = 2
	// _defaultMaxBufferedBytes is the default of Dependencies.MaxBufferedBytes.
	_defaultMaxBufferedBytes = 32 << 20
	// _defaultMemoryBytes is the memory limit that the default of
	// Dependencies.Intake is for.
	_defaultMemoryBytes = 256 << 20
	// _maxIdentities bounds the call identities remembered at once: 2,000
	// commands a second for the longest timeout.
	_maxIdentities = 240_000
	// _maxIdleUpstreamConns bounds the idle connections to an upstream whose
	// number of slots is not known yet.
	_maxIdleUpstreamConns = 64
	// _readHeaderTimeout bounds reading the headers of a call.
	_readHeaderTimeout = 10 * time.Second
	// _writeTimeout bounds a request from its headers until its response was sent.
	// It lets callers read their responses for half a minute after the longest call.
	_writeTimeout = config.MaxTimeout + 30*time.Second
	// _callerIdleTimeout is how long an idle connection of a caller is kept.
	_callerIdleTimeout = 2 * time.Minute
	// _maxRequestHeaderBytes bounds the size of a call's headers.
	_maxRequestHeaderBytes = 64 << 10
)

// New returns a node that is not running yet; see Run.
func New(deps Dependencies) *Node {
	if deps.Dialect == nil {
		deps.Dialect = call.NativeDialect{}
	}
	if deps.Retries == (retry.Limits{}) {
		deps.Retries = retry.DefaultLimits()
	}
	if deps.Allotments == (allotment.Limits{}) {
		deps.Allotments = allotment.DefaultLimits()
	}
	if deps.MaxBufferedBytes == 0 {
		deps.MaxBufferedBytes = _defaultMaxBufferedBytes
	}
	if deps.Intake == (intake.Limits{}) {
		deps.Intake = intake.LimitsFor(_defaultMemoryBytes, math.MaxUint64)
	}
	now := deps.Now()
	seed := uint64(now.UnixNano())
	n := &Node{
		deps:             deps,
		holder:           revision.NewHolder(),
		quarantines:      quarantine.New(),
		crashes:          crash.New(string(deps.ID)),
		collector:        evidence.NewCollector(),
		recorder:         evidence.NewRecorder(deps.Upstream.Version),
		appliedRevisions: membership.NewAppliedRevisions(),
		upstreamLoad:     upstream.NewLoadTracker(),
		lifecycle:        lifecycle.New(deps.Upstream.Warmup),
		pool:             routing.NewPool(deps.Zone, deps.Region),
		controlTraffic:   &meter.Meter{},
		rolloutDetectors: make(map[string]*evidence.Detector),
		rnd:              rand.New(rand.NewPCG(seed, 1)),
		orderTable:       move.NewOrderTable(),
		coordinators:     make(map[string]*move.Coordinator),
		orderDetectors:   make(map[string]*evidence.Detector),
		callerConns:      newCallerConns(),
		peerConns:        newCallerConns(),
		guard:            intake.New(deps.Intake, deps.Logger, deps.Now),
		broadcasts:       membership.NewBroadcastQueue(),
		startedAt:        now,
		stopRequested:    make(chan struct{}),
		metrics:          new(expvar.Map),
	}
	if deps.Upstream.SelfAnnounced {
		n.upstreamRegistry = upstream.New(deps.Upstream.Service, deps.Upstream.Address)
		n.departures = departure.NewRecorder(n.departureLog(deps.ID), departureRelay{n}, deps.Logger)
	}
	n.members = membership.New(deps.Membership, n.self(now), rand.New(rand.NewPCG(seed, 2)), now)
	n.replica = distribution.New(wire.Codec{}, n.holder)
	n.committer = revision.NewCommitter(deps.Platform, wire.Codec{}, n.holder)
	n.allotments = newAllotments(deps.Allotments, n.members.Self(), now)
	n.buildPeers()
	n.buildCalls(now)
	n.buildControl()
	n.registerMetrics()
	return n
}

// self returns the node's first membership record.
func (n *Node) self(now time.Time) membership.Member {
	return membership.Member{
		ID:          n.deps.ID,
		Incarnation: uint64(now.UnixNano()),
		State:       membership.Starting,
		Region:      n.deps.Region,
		Zone:        n.deps.Zone,
		PeerAddress: n.deps.PeerAddress,
		Service:     n.deps.Upstream.Service,
		Version:     n.deps.Upstream.Version,
		Slots:       n.deps.Upstream.Slots,
	}
}

func (n *Node) buildPeers() {
	transport := peer.NewTransport()
	transport.DialContext = n.controlTraffic.CountDials(transport.DialContext)
	n.transports = append(n.transports, transport)
	n.clients = peer.NewClients(transport)
	n.gossip = peer.NewGossip(peer.GossipDependencies{
		Table:       n.members,
		Holder:      n.holder,
		Replica:     n.replica,
		Quarantines: n.quarantines,
		Crashes:     n.crashes,
		Orders:      n,
		UpdateRelay: n,
		IsActive:    n.isActive,
		Clients:     n.clients,
		Logger:      n.deps.Logger,
		Now:         n.deps.Now,
	})
}

func (n *Node) buildCalls(now time.Time) {
	slots := max(1, n.deps.Upstream.Slots)
	idle := slots
	if n.upstreamRegistry != nil {
		idle = _maxIdleUpstreamConns
	}
	toUpstream, toPeers := call.NewUpstreamClient(idle, n.deps.Dialect), call.NewForwardTransport()
	n.transports = append(n.transports, toUpstream, toPeers)
	n.upstreamClient, n.healthTransport = toUpstream, toUpstream
	if n.upstreamRegistry != nil {
		// Responses to health checks lack what marks responses to calls.
		n.healthTransport = &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: _maxRequestHeaderBytes}
	}
	n.identities = identity.New(now, config.MaxTimeout, _maxIdentities)
	n.gate = admission.New(admission.DefaultLimits(slots))
	n.buffers = call.NewBufferBudget(n.deps.MaxBufferedBytes)
	n.owner = call.NewOwner(call.OwnerDependencies{
		Self:      n.members.Self,
		Table:     n.Table,
		Upstream:  n.deps.Upstream.Address,
		Process:   n.upstreamProcess(),
		Transport: toUpstream,
		Probe:     toUpstream,
		Dialect:   n.deps.Dialect,
		// An upstream that announces itself may end a response by closing the
		// connection.
		AllowCloseDelimited: n.upstreamRegistry != nil,
		Gate:                n.gate,
		Load:                n.upstreamLoad,
		Identities:          n.identities,
		Crashes:             n.crashes,
		Buffers:             n.buffers,
		Observer:            n.recorder,
		Metrics:             call.NewMetrics(n.metrics, "owner"),
		Logger:              n.deps.Logger,
		Now:                 n.deps.Now,
	})
	n.ingress = call.NewIngress(call.IngressDependencies{
		Routes:           n,
		Endpoints:        n.pool,
		Transport:        toPeers,
		LocalOwner:       n.owner,
		Self:             n.members.Self,
		SourceService:    n.deps.Upstream.Service,
		Dialect:          n.deps.Dialect,
		Budgets:          retry.NewBudgets[config.ServiceName](n.deps.Retries),
		NodeCount:        n.members.MemberCount,
		Crashes:          n.crashes,
		CrashesChanged:   n.crashesChanged,
		Buffers:          n.buffers,
		MaxForwarded:     n.deps.MaxForwarded,
		Allotments:       n.allotments.ledger,
		ShareSlotsFairly: n.upstreamRegistry == nil,
		Metrics:          call.NewMetrics(n.metrics, "ingress"),
		Logger:           n.deps.Logger,
		Now:              n.deps.Now,
	})
	if n.deps.PipelineDepth > 1 {
		n.pipelines = pipeline.New(pipeline.Dependencies{
			Depth:        n.deps.PipelineDepth,
			IsIdempotent: n.ingress.IsIdempotent,
			Budget:       n.buffers.Part(n.deps.MaxBufferedBytes / _pipelineShare),
			Logger:       n.deps.Logger,
		})
	}
}

func (n *Node) buildControl() {
	n.operations = control.NewOperations(control.OperationsDependencies{
		Platform:  n.deps.Platform,
		Committer: n.committer,
		Codec:     wire.Codec{},
		Holder:    n.holder,
		Members:   n.members,
		Now:       n.deps.Now,

		IsManagedElsewhere: n.deps.ConfigSource != nil,
	})
	n.controller = control.NewController(control.ControllerDependencies{
		Name:        n.members.Self().Instance(),
		Timing:      n.deps.Lease,
		Platform:    n.deps.Platform,
		Committer:   n.committer,
		Holder:      n.holder,
		Evidence:    n,
		Fleet:       n,
		Quarantines: n.quarantines,
		Logger:      n.deps.Logger,
		Now:         n.deps.Now,
	})
}

// Table returns the routes in force. It returns nil while there are none, or
// while they may be older than those that this node ran before.
func (n *Node) Table() *routing.Table {
	return n.routes.Load()
}

// Versions returns the versions of the service that the route's next call may
// go to, as a first choice and a fallback. If no upstream runs a version of the
// first choice, the baseline takes the call, never the candidate of a rollout.
func (n *Node) Versions(t *routing.Target, s config.Service) (first, second config.VersionSet) {
	if s.AnyVersion {
		first, second = n.orderTable.ChooseVersions(s.Name, t.NextPoint())
		if n.quarantines.InAllZones(n.orderTable.ActiveID(s.Name)) {
			return second, second
		}
		return first, second
	}
	first = config.VersionSet{Only: t.NextVersion(s, n.quarantines.ExcludedVersion(n.deps.Zone, s))}
	if s.Rollout.ID == "" {
		return first, first
	}
	return first, config.VersionSet{Only: s.Rollout.Baseline}
}

// Operations returns the operations available to operators.
func (n *Node) Operations() *control.Operations {
	return n.operations
}

// Holder returns the holder of the node's current revision.
func (n *Node) Holder() *revision.Holder {
	return n.holder
}

// Members returns the node's view of the members.
func (n *Node) Members() *membership.Table {
	return n.members
}

// ControlBytes returns the number of control message bytes sent and received so
// far.
func (n *Node) ControlBytes() uint64 {
	return n.controlTraffic.TotalBytes()
}

// Run runs the node until Stop has completed or the context ends, which stops
// the node immediately. The error is that of a server that failed.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	calls, interrupt := context.WithCancelCause(context.WithoutCancel(ctx))
	defer interrupt(nil)
	servers := n.servers(calls)
	for _, s := range servers {
		group.Go(func() error { return serve(s) })
	}
	group.Go(func() error { return n.shutdown(ctx, cancel, interrupt, servers) })
	n.startLoops(ctx, group)
	err := group.Wait()
	for _, transport := range n.transports {
		transport.CloseIdleConnections()
	}
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// errStopped ends the node's errgroup after a planned stop.
var errStopped = errors.New("the node has stopped")

// startLoops starts the node's periodic steps and its watches in the group.
// They end with the context.
func (n *Node) startLoops(ctx context.Context, group *errgroup.Group) {
	timing := n.deps.Timing
	loop := func(interval time.Duration, step func(context.Context)) {
		group.Go(func() error {
			n.repeat(ctx, interval, step)
			return nil
		})
	}
	group.Go(func() error { n.join(ctx); return nil })
	if n.departures != nil {
		group.Go(func() error { n.loadDepartures(ctx); return nil })
		group.Go(func() error { n.departures.Run(ctx); return nil })
		group.Go(func() error { n.recordDeparturesAgain(ctx); return nil })
		sweeper := departure.NewSweeper()
		loop(_departureSweepInterval, func(ctx context.Context) { n.sweepDepartures(ctx, sweeper) })
	}
	loop(timing.GossipInterval, n.gossip.ProbeNext)
	loop(timing.ZoneGossipInterval, n.gossipAcrossZones)
	loop(timing.HealthCheckInterval, n.checkUpstream)
	if n.upstreamRegistry != nil && n.deps.Upstream.HealthPath != "" {
		loop(timing.HealthCheckInterval, n.readUpstreamLoad)
	}
	group.Go(func() error { n.refreshLoop(ctx); return nil })
	group.Go(func() error { n.sendBroadcasts(ctx); return nil })
	loop(_idleCheckInterval, n.closeIdleCallers)
	group.Go(func() error { n.reportAllotments(ctx); return nil })
	group.Go(func() error { n.exchangeAllotments(ctx); return nil })
	if n.deps.OrderStore != nil {
		group.Go(func() error { n.watchOrders(ctx); return nil })
		loop(_orderInterval, n.stepOrders)
		loop(_saveEndedInterval, n.saveEndedOrders)
	}
	if n.deps.ConfigSource != nil {
		group.Go(func() error { n.watchConfigSource(ctx); return nil })
		group.Go(func() error { n.maintainRosters(ctx); return nil })
		return
	}
	loop(timing.EvidenceInterval, n.reportEvidence)
	loop(timing.EvidenceInterval, n.reportApplied)
	loop(timing.ControlInterval, n.stepController)
	group.Go(func() error { n.watchHead(ctx); return nil })
}

// repeat runs a step about once per interval until the context ends. The waits
// are randomized so that nodes that start together do not run their steps in
// lockstep.
func (n *Node) repeat(ctx context.Context, interval time.Duration, step func(context.Context)) {
	timer := time.NewTimer(n.jitter(interval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		step(ctx)
		timer.Reset(interval/2 + n.jitter(interval))
	}
}

// jitter returns a random duration between 0 and d.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.rndMu.Lock()
	defer n.rndMu.Unlock()
	return time.Duration(n.rnd.Int64N(int64(d) + 1))
}
