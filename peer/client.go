// Package peer exchanges membership, revisions and evidence between nodes: by
// gossip, and as the RPC server for other nodes.
package peer

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"lentilferry.example/lentilferry/common/httpstatus"
	"lentilferry.example/lentilferry/gen/lentilferry/v1/lentilferryv1connect"
)

const (
	// _dialTimeout bounds establishing a connection.
	_dialTimeout = time.Second
	// _idleTimeout bounds how long an idle connection is kept. It is longer than
	// the time between the messages of an active order. It is short because a
	// node exchanges messages with another node of its zone each second, and each
	// connection takes some 20 KB.
	_idleTimeout = 3 * time.Second
	// _maxMessageBytes bounds the size of a message.
	_maxMessageBytes = 32 << 20
	// _maxClients bounds the cached clients.
	_maxClients = 4_096
)

// NewTransport returns the transport for control messages between nodes. It
// uses HTTP/1.1, with one message at a time on a connection. When a message
// times out, its connection is closed, and the next message establishes a new
// one. Messages are not compressed, since a compressor takes up to a megabyte.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: _dialTimeout}).DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     _idleTimeout,
		MaxIdleConnsPerHost: 1,
	}
}

// Clients caches a client for each peer address. It is safe for concurrent use.
type Clients struct {
	http connect.HTTPClient

	mu sync.Mutex
	// byAddress has at most _maxClients entries; it is cleared when full.
	byAddress map[netip.AddrPort]lentilferryv1connect.PeerServiceClient
}

// NewClients returns an empty cache whose clients use the given transport.
func NewClients(transport http.RoundTripper) *Clients {
	return &Clients{
		http:      &http.Client{Transport: httpstatus.Transport{Base: transport}},
		byAddress: make(map[netip.AddrPort]lentilferryv1connect.PeerServiceClient),
	}
}

// For returns the client for the peer at the given address.
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

// HandlerOptions returns the options for handlers of PeerService: no
// compression, and messages of up to _maxMessageBytes.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(_maxMessageBytes),
	}
}
