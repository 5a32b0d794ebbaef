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

// linkFault is what a proxy does to the bytes that it passes.
type linkFault int

// The faults of a link.
const (
	_linkHealthy linkFault = iota
	// _linkSlow holds each piece back for up to _linkDelay.
	_linkSlow
	// _linkReset resets open and new connections.
	_linkReset
	// _linkStalled keeps connections open and passes nothing.
	_linkStalled
	// _linkOneWay passes what the dialler sends, and nothing back.
	_linkOneWay
)

const (
	// _maxLinkDelay bounds the delay of one piece.
	_maxLinkDelay = 120 * time.Millisecond
	// _linkPollInterval is how often a silent link looks whether it is sound again.
	_linkPollInterval = 5 * time.Millisecond
	// _linkDialTimeout bounds the making of a connection to the target.
	_linkDialTimeout = time.Second
)

// proxy stands between a dialler and a target on loopback.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

// newProxy returns a proxy at an address of its own.
func newProxy(target netip.AddrPort) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// setFault replaces the fault. A reset also breaks the open connections.
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
	_ = p.listener.Close()
	p.setFault(_linkReset)
	p.wg.Wait()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.forward(conn) })
	}
}

// resetConn closes a connection so that the other end sees a resetConn.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == _linkReset {
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

// copyData copies one direction. What arrives while the link is silent is held
// until it is sound again.
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

func (p *proxy) applyFault(isBack bool) {
	for {
		switch f := p.currentFault(); {
		case f == _linkSlow:
			time.Sleep(rand.N(_maxLinkDelay))
			return
		case f == _linkStalled, f == _linkOneWay && isBack:
			time.Sleep(_linkPollInterval)
		default:
			return
		}
	}
}
