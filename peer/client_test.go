package peer

import (
	"context"
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

	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
)

// answering is a peer that answers each exchange with a long message and
// counts its open connections.
type answering struct {
	lentilferryv1connect.UnimplementedPeerServiceHandler
	open atomic.Int64
	// compressed counts the requests that offered or used compression.
	compressed atomic.Int64
}

func (a *answering) Exchange(_ context.Context, r *connect.Request[lentilferryv1.ExchangeRequest]) (*connect.Response[lentilferryv1.ExchangeResponse], error) {
	if r.Header().Get("Accept-Encoding") != "identity" || r.Header().Get("Content-Encoding") != "" {
		a.compressed.Add(1)
	}
	return connect.NewResponse(&lentilferryv1.ExchangeResponse{From: string(make([]byte, 8<<10))}), nil
}

func startAnswering(t *testing.T) (*answering, netip.AddrPort) {
	t.Helper()
	a := &answering{}
	_, handler := lentilferryv1connect.NewPeerServiceHandler(a, HandlerOptions()...)
	server := httptest.NewUnstartedServer(handler)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			a.open.Add(1)
		case http.StateClosed:
			a.open.Add(-1)
		case http.StateActive, http.StateIdle, http.StateHijacked:
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return a, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// A node speaks to very many others; what it keeps for each of them must not
// outlast the message by much.
func TestUnusedConnectionsAreGivenUp(t *testing.T) {
	transport := NewTransport()
	defer transport.CloseIdleConnections()
	clients := NewClients(transport)
	var peers []*answering
	for range 20 {
		peer, address := startAnswering(t)
		peers = append(peers, peer)
		_, err := clients.To(address).Exchange(t.Context(), connect.NewRequest(&lentilferryv1.ExchangeRequest{From: string(make([]byte, 8<<10))}))
		assert.NilError(t, err)
		assert.Equal(t, peer.compressed.Load(), int64(0), "messages are not compressed")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var open int64
		for _, p := range peers {
			open += p.open.Load()
		}
		if open > 0 {
			return poll.Continue("%d connections are open", open)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(100*time.Millisecond))
}
