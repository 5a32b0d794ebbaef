package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lentilferry.example/lentilferry/crash"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/move"
	"lentilferry.example/lentilferry/quarantine"
	"lentilferry.example/lentilferry/revision"
)

// fakePeer responds to each exchange with a large message and counts its open
// connections.
type fakePeer struct {
	lentilferryv1connect.UnimplementedPeerServiceHandler
	openConns atomic.Int64
	// withDigests counts the requests with digests of the sender's state.
	withDigests atomic.Int64
	// compressed counts the requests that offered or used compression.
	compressed atomic.Int64
}

func (p *fakePeer) Exchange(_ context.Context, r *connect.Request[lentilferryv1.ExchangeRequest]) (*connect.Response[lentilferryv1.ExchangeResponse], error) {
	if r.Header().Get("Accept-Encoding") != "identity" || r.Header().Get("Content-Encoding") != "" {
		p.compressed.Add(1)
	}
	if len(r.Msg.GetDigests()) > 0 {
		p.withDigests.Add(1)
	}
	return connect.NewResponse(&lentilferryv1.ExchangeResponse{From: string(make([]byte, 8<<10))}), nil
}

// startFakePeer starts a fakePeer and returns its address.
func startFakePeer(t testing.TB) (*fakePeer, netip.AddrPort) {
	t.Helper()
	p := &fakePeer{}
	_, handler := lentilferryv1connect.NewPeerServiceHandler(p, HandlerOptions()...)
	server := httptest.NewUnstartedServer(handler)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			p.openConns.Add(1)
		case http.StateClosed:
			p.openConns.Add(-1)
		case http.StateActive, http.StateIdle, http.StateHijacked:
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return p, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// A node exchanges messages with very many others, so connections to them must
// be closed soon after the last message.
func TestIdleConnectionsAreClosed(t *testing.T) {
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	clients := NewClients(transport)
	var peers []*fakePeer
	for range 20 {
		peer, address := startFakePeer(t)
		peers = append(peers, peer)
		_, err := clients.For(address).Exchange(t.Context(), connect.NewRequest(&lentilferryv1.ExchangeRequest{From: string(make([]byte, 8<<10))}))
		assert.NilError(t, err)
		assert.Equal(t, peer.compressed.Load(), int64(0), "compressed messages")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var openConns int64
		for _, p := range peers {
			openConns += p.openConns.Load()
		}
		if openConns > 0 {
			return poll.Continue("%d connections are open", openConns)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(100*time.Millisecond))
}

// At first contact, when a node knows only the peer's address, it sends no
// digests, whatever it knows itself. That requests the peer's full state.
func TestFirstContactRequestsFullState(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	self := membership.Member{ID: "n", Incarnation: 1, State: membership.Serving, Region: "r", Zone: "z", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
	table := membership.New(membership.DefaultTiming(), self, rand.New(rand.NewPCG(1, 1)), now)
	table.Tick(now)
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	peer, address := startFakePeer(t)
	gossip := NewGossip(GossipDependencies{
		Table: table, Holder: revision.NewHolder(), Quarantines: quarantine.New(), Crashes: crash.New("n"), Orders: noOrders{},
		Clients: NewClients(transport), Now: func() time.Time { return now },
	})
	assert.NilError(t, gossip.Exchange(t.Context(), "", address))
	assert.Equal(t, peer.withDigests.Load(), int64(0))
	// The peer has another ID than the expected one.
	assert.ErrorContains(t, gossip.Exchange(t.Context(), "other", address), "in place of")
	assert.Equal(t, peer.withDigests.Load(), int64(1))
}

// noOrders holds no orders.
type noOrders struct{}

func (noOrders) Orders(time.Time) []move.Order { return nil }

func (noOrders) MergeOrder(move.Order) bool { return false }
