package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// linkFault is the way in which a proxy disturbs its connections.
type linkFault int

// Faults of a link.
const (
	_linkHealthy linkFault = iota
	// _linkSlow delays each chunk by a random time below _maxLinkDelay.
	_linkSlow
	// _linkReset resets open and new connections.
	_linkReset
	// _linkStalled keeps connections open and holds back all data.
	_linkStalled
	// _linkOneWay forwards data from the dialler and holds back data to it.
	_linkOneWay
)

const (
	// _maxLinkDelay is the upper bound of the delay of one chunk.
	_maxLinkDelay = 120 * time.Millisecond
	// _linkPollInterval is how often a stalled link checks whether its fault is
	// over.
	_linkPollInterval = 5 * time.Millisecond
	// _linkDialTimeout limits dialling the target.
	_linkDialTimeout = time.Second
)

// proxy forwards TCP connections on loopback to a target and injects link
// faults.
type proxy struct {
	// address is where the proxy listens, and target what it connects to.
	address, target netip.AddrPort

	mu sync.Mutex
	// listener is nil while the proxy refuses connections.
	listener net.Listener
	closed   bool
	fault    linkFault
	conns    map[net.Conn]bool
	wg       sync.WaitGroup
}

// newProxy starts a proxy to the target that listens on the given address.
func newProxy(address, target netip.AddrPort) (*proxy, error) {
	p := &proxy{address: address, target: target, conns: make(map[net.Conn]bool)}
	return p, p.listen()
}

// listen starts to accept connections, unless the proxy does so already or is
// closed.
func (p *proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.address.String())
	if err != nil {
		return errors.Wrap(err, "listen on a proxy port")
	}
	p.listener = listener
	p.wg.Go(func() { p.accept(listener) })
	return nil
}

// refuse closes all connections and refuses new ones until listen is called, as
// if the target's process had ended.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return
	}
	_ = p.listener.Close()
	p.listener = nil
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// setFault replaces the fault. _linkReset also resets the open connections.
func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f != _linkReset {
		return
	}
	for conn := range p.conns {
		resetConn(conn)
	}
}

func (p *proxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.refuse()
	p.setFault(_linkReset)
	p.wg.Wait()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.forward(conn) })
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// track adds an open connection. While the fault is _linkReset or the proxy
// refuses connections, it resets the connection instead and returns false.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == _linkReset || p.listener == nil {
		resetConn(conn)
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// forward copies data between a dialler's connection and the target until both
// directions have ended.
func (p *proxy) forward(from net.Conn) {
	if !p.track(from) {
		return
	}
	defer p.untrack(from)
	to, err := (&net.Dialer{Timeout: _linkDialTimeout}).DialContext(context.Background(), "tcp", p.target.String())
	if err != nil {
		resetConn(from)
		return
	}
	if !p.track(to) {
		resetConn(from)
		return
	}
	defer p.untrack(to)
	var copying sync.WaitGroup
	copying.Go(func() { p.copyData(to, from, false) })
	copying.Go(func() { p.copyData(from, to, true) })
	copying.Wait()
}

// copyData copies the data of one direction. Data that arrives while the link
// is stalled is held back until the fault is over.
func (p *proxy) copyData(to, from net.Conn, towardsDialler bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.applyFault(towardsDialler)
			if _, werr := to.Write(buf[:n]); werr != nil {
				resetConn(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			p.applyFault(towardsDialler)
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			resetConn(to)
			return
		}
	}
}

// applyFault delays the caller as the current fault demands for one chunk in
// the given direction.
func (p *proxy) applyFault(towardsDialler bool) {
	for {
		switch f := p.currentFault(); {
		case f == _linkSlow:
			time.Sleep(rand.N(_maxLinkDelay))
			return
		case f == _linkStalled, f == _linkOneWay && towardsDialler:
			time.Sleep(_linkPollInterval)
		default:
			return
		}
	}
}
