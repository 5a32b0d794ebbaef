package node

import (
	"context"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/call"
	"lentilferry.example/lentilferry/common/meter"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/peer"
)

const (
	// _mainConnShare is the part of all connections that is reserved for the call
	// address, and for the peer address; _sideConnShare that for another one.
	_mainConnShare = 0.25
	_sideConnShare = 0.0625
)

// boundServer is an HTTP server and the listener that it serves.
type boundServer struct {
	server   *http.Server
	listener net.Listener
}

// servers returns the servers for all of the node's listeners. The contexts of
// calls are derived from callsCtx.
func (n *Node) servers(callsCtx context.Context) []boundServer {
	newContext := func(net.Listener) context.Context { return callsCtx }
	calls := n.newServer(n.ingress)
	calls.BaseContext = newContext
	calls.ConnContext = call.ConnContext
	calls.ConnState = func(conn net.Conn, state http.ConnState) { n.callerConns.trackState(n.deps.Now(), conn, state) }
	callListener := n.guard.Protect("calls", calls, n.deps.Listeners.Calls, _mainConnShare)
	if n.pipelines != nil {
		callListener = n.pipelines.Attach(calls, callListener)
	}
	peers := n.newServer(n.peerHandler())
	peers.ConnState = func(conn net.Conn, state http.ConnState) { n.peerConns.trackState(n.deps.Now(), conn, state) }
	peers.BaseContext = newContext
	peers.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return call.ConnContext(meter.ConnContext(ctx, conn), conn)
	}
	admin := n.newServer(n.guard.CountMessages(n.adminHandler()))
	const ownSockets = 3
	all := make([]boundServer, 0, ownSockets+len(n.deps.ExtraServers))
	all = append(all,
		boundServer{server: calls, listener: callListener},
		boundServer{server: peers, listener: meter.Listener{Listener: n.guard.Protect("peers", peers, n.deps.Listeners.Peers, _mainConnShare)}},
		boundServer{server: admin, listener: n.guard.Protect("admin", admin, n.deps.Listeners.Admin, _sideConnShare)},
	)
	for _, s := range n.deps.ExtraServers {
		server := n.newServer(n.guard.CountMessages(s.Handler(n)))
		all = append(all, boundServer{server: server, listener: n.guard.Protect("extra", server, s.Listener, _sideConnShare)})
	}
	return all
}

// newServer returns a server for HTTP/1.
func (n *Node) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: _readHeaderTimeout,
		WriteTimeout:      _writeTimeout,
		IdleTimeout:       _callerIdleTimeout,
		MaxHeaderBytes:    _maxRequestHeaderBytes,
		ErrorLog:          log.New(serverLog{n.deps.Logger}, "", 0),
	}
}

func serve(s boundServer) error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", s.listener.Addr())
}

// peerHandler dispatches peers' requests to the control message handler or, for
// forwarded calls, to the call owner.
func (n *Node) peerHandler() http.Handler {
	path, control := lentilferryv1connect.NewPeerServiceHandler(
		peer.NewServer(n.gossip, n.collector, n.appliedRevisions, n, n), peer.HandlerOptions()...)
	messages := n.guard.CountMessages(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, path) {
			http.Error(w, "this address serves nodes only", http.StatusNotFound)
			return
		}
		meter.SetRequestMeter(r.Context(), n.controlTraffic)
		control.ServeHTTP(w, r)
	}))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if call.IsForwarded(r) {
			n.owner.ServeHTTP(w, r)
			return
		}
		messages.ServeHTTP(w, r)
	})
}

// adminHandler serves health, readiness, metrics and operators' requests.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte("{\"lentilferry\": " + n.metrics.String() + "}\n"))
	})
	if n.deps.OperatorHandler != nil {
		mux.Handle(n.deps.OperatorHandler(n))
	}
	return mux
}

// serveReady serves the readiness check. The node is ready while it has routes
// and no planned stop has begun.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.stopping.Load():
		http.Error(w, "not ready: stopping", http.StatusServiceUnavailable)
	case n.Table() == nil:
		http.Error(w, "not ready: no configuration", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready: " + n.lifecycle.State().String() + "\n"))
	}
}

// Stop begins a planned stop, which ends Run: the node notifies its peers,
// refuses new calls as not run, and completes in-flight calls.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stopRequested) })
}

const (
	// _leaveNotifyPeers is how many peers are notified concurrently that this
	// node is leaving.
	_leaveNotifyPeers = 6
	// _leaveNotifyTimeout bounds these notifications, so that peers that do not
	// answer do not use up the time that a planned stop has.
	_leaveNotifyTimeout = 300 * time.Millisecond
	// _answerTimeout bounds the time in which interrupted calls are answered.
	_answerTimeout = 300 * time.Millisecond
	// _closeTimeout bounds closing the servers after the drain; by then no call
	// is left that could still be answered.
	_closeTimeout = 200 * time.Millisecond
)

// shutdown waits for a planned stop or the end of the context, and closes the
// servers. cancel ends the node's context and interrupt those of calls.
func (n *Node) shutdown(ctx context.Context, cancel context.CancelFunc, interrupt context.CancelCauseFunc, servers []boundServer) error {
	select {
	case <-n.stopRequested:
	case <-ctx.Done():
		for _, s := range servers {
			_ = s.server.Close()
		}
		return nil
	}
	n.drain(ctx, interrupt)
	var notifying sync.WaitGroup
	// The node's own context is about to end, so use one that does not.
	notifying.Go(func() { n.notifyLeaving(context.WithoutCancel(ctx)) })
	defer notifying.Wait()
	cancel()
	// The node's own context has ended; give the servers a little more time.
	shutdownCtx, done := context.WithTimeout(context.WithoutCancel(ctx), _closeTimeout)
	defer done()
	for _, s := range servers {
		_ = s.server.Shutdown(shutdownCtx)
		_ = s.server.Close()
	}
	return errStopped
}

// _peerNotice is how long before the end of Timing.LeaveNotice peers are told
// that the upstream takes no more calls. Callers need more notice than peers:
// they leave only after readiness checks have failed, and until then the
// upstream's slots would stay unused.
const _peerNotice = 600 * time.Millisecond

// drain takes the node out of service. It reports the node as not ready and
// closes callers' connections after their next response, so that they connect
// to other nodes. New calls get no more time than the stop leaves. Near the end
// of Timing.LeaveNotice it tells peers to send no more calls. After LeaveNotice
// it refuses new calls as not run, and waits until in-flight calls have ended,
// their responses were sent and the controller's lease was released.
// Timing.DrainTimeout counts from the start of the drain; the calls that are then
// still in flight are interrupted and answered.
func (n *Node) drain(ctx context.Context, interrupt context.CancelCauseFunc) {
	n.deps.Logger.Info("Draining", "node", n.deps.ID)
	drainCtx, cancel := context.WithTimeout(ctx, n.deps.Timing.DrainTimeout)
	defer cancel()
	// Calls that a second signal interrupts are answered too.
	answerCtx, cancelAnswers := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelAnswers()
	noticeEnd := time.Now().Add(n.deps.Timing.LeaveNotice)
	n.stopping.Store(true)
	end := n.deps.Now().Add(n.deps.Timing.DrainTimeout)
	n.ingress.LimitTime(end)
	n.owner.LimitTime(end)
	n.ingress.DisableKeepAlives()
	sleep(ctx, n.deps.Timing.LeaveNotice-_peerNotice)
	n.announceLeaving()
	n.notifyLeaving(ctx)
	sleep(ctx, time.Until(noticeEnd))
	n.drainGate()
	n.ingress.StopAccepting()
	released, finished := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(released)
		n.controller.Stop(drainCtx)
	}()
	go func() {
		defer close(finished)
		n.owner.Wait()
		n.ingress.Wait()
		// A server sends the end of a response after its handler has returned.
		n.callerConns.drain(answerCtx)
		n.peerConns.drain(answerCtx)
	}()
	select {
	case <-finished:
	case <-drainCtx.Done():
		n.deps.Logger.Info("Drain timed out, interrupting in-flight calls", "node", n.deps.ID)
		interrupt(call.ErrInterrupted)
		defer time.AfterFunc(_answerTimeout, cancelAnswers).Stop()
		n.awaitAnswers(answerCtx, finished)
	}
	select {
	case <-released:
	case <-drainCtx.Done():
		// The lease expires by itself.
	}
	n.lifecycle.Leave()
	n.announceState(membership.Left)
	n.deps.Logger.Info("Left", "node", n.deps.ID)
}

// awaitAnswers waits until the interrupted calls were answered, at most until the
// context ends.
func (n *Node) awaitAnswers(ctx context.Context, answered <-chan struct{}) {
	ticker := time.NewTicker(_drainCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-answered:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
			// Repeated, since a handler may set another read deadline.
			n.callerConns.stopReading()
			n.peerConns.stopReading()
		}
	}
}

// announceLeaving publishes that the node is draining. The lock keeps
// syncUpstreamState from publishing an earlier state after it.
func (n *Node) announceLeaving() {
	n.upstreamMu.Lock()
	defer n.upstreamMu.Unlock()
	n.lifecycle.Drain()
	n.announceState(membership.Draining)
}

// drainGate makes the owner refuse calls as not run, for good: the node leaves.
func (n *Node) drainGate() {
	n.upstreamMu.Lock()
	defer n.upstreamMu.Unlock()
	n.gate.Drain()
}

// announceState sets the state in this node's membership record, which gossip
// spreads.
func (n *Node) announceState(state membership.State) {
	n.members.UpdateSelf(n.deps.Now(), func(m *membership.Member) { m.State = state })
}

// notifyLeaving exchanges state with some peers concurrently, so that they
// learn that this node is leaving. It waits no longer than _leaveNotifyTimeout.
// The last node of a zone notifies the other zones itself.
func (n *Node) notifyLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, _leaveNotifyTimeout)
	defer cancel()
	peers := n.members.RandomPeers(n.deps.ID, _leaveNotifyPeers)
	if len(peers) == 0 {
		for _, zone := range n.members.OtherZones() {
			if m, ok := n.members.RandomMember(zone); ok {
				peers = append(peers, m)
			}
		}
	}
	var notifying sync.WaitGroup
	for _, m := range peers {
		notifying.Go(func() {
			// Gossip delivers the state later if a peer can't be reached.
			_ = n.gossip.Exchange(ctx, m.ID, m.PeerAddress)
		})
	}
	notifying.Wait()
}
