// Package peer carries membership, revisions and evidence between nodes.
package peer

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
)

const (
	// _dialTimeout bounds the making of a connection.
	_dialTimeout = time.Second
	// _idle is how long an unused connection is kept: longer than the time
	// between the messages of an order under way. Nodes speak to one of their
	// zone a second, and each connection that is kept takes some 20 KB.
	_idleTimeout = 3 * time.Second
	// _maxMessageBytes bounds a message between nodes.
	_maxMessageBytes = 32 << 20
	// _maxClients bounds the clients that are kept for reuse.
	_maxClients = 4_096
)

// NewTransport returns the transport of control messages between nodes:
// HTTP/1.1, one message at a time on a connection. A message that is not
// answered in time closes its connection, and the next one makes a new one.
// Messages are not compressed: a compressor takes up to a megabyte.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: _dialTimeout}).DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     _idleTimeout,
		MaxIdleConnsPerHost: 1,
	}
}

// Clients keeps a client for each peer's address.
type Clients struct {
	http connect.HTTPClient

	mu sync.Mutex
	// byPeer has at most _maxClients entries.
	byAddress map[netip.AddrPort]lentilferryv1connect.PeerServiceClient
}

// NewClients returns clients that use the given transport.
func NewClients(transport http.RoundTripper) *Clients {
	return &Clients{
		http:      &http.Client{Transport: transport},
		byAddress: make(map[netip.AddrPort]lentilferryv1connect.PeerServiceClient),
	}
}

// For returns the client for a peer.
func (c *Clients) For(peer netip.AddrPort) lentilferryv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.byAddress[peer]; ok {
		return client
	}
	if len(c.byAddress) >= _maxClients {
		clear(c.byAddress)
	}
	client := lentilferryv1connect.NewPeerServiceClient(
		c.http,
		"http://"+peer.String(),
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(_maxMessageBytes),
	)
	c.byAddress[peer] = client
	return client
}

// HandlerOptions returns the options of the handlers between nodes.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(_maxMessageBytes),
	}
}
