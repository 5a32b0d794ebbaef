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
	linkSound linkFault = iota
	// linkSlow holds each piece back for up to _linkDelay.
	linkSlow
	// linkReset resets open and new connections.
	linkReset
	// linkSilent keeps connections open and passes nothing.
	linkSilent
	// linkOneWay passes what the dialler sends, and nothing back.
	linkOneWay
)

const (
	// _linkDelay bounds the delay of one piece.
	_linkDelay = 120 * time.Millisecond
	// _linkPoll is how often a silent link looks whether it is sound again.
	_linkPoll = 5 * time.Millisecond
	// _linkDial bounds the making of a connection to the target.
	_linkDial = time.Second
)

// proxy stands between a dialler and a target on loopback.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort

	mu    sync.Mutex
	fault linkFault
	open  map[net.Conn]bool
	wg    sync.WaitGroup
}

// newProxy returns a proxy at an address of its own.
func newProxy(target netip.AddrPort) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a proxy")
	}
	p := &proxy{listener: listener, target: target, open: make(map[net.Conn]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// set replaces the fault. A reset also breaks the open connections.
func (p *proxy) set(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f != linkReset {
		return
	}
	for conn := range p.open {
		reset(conn)
	}
}

func (p *proxy) current() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(linkReset)
	p.wg.Wait()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.carry(conn) })
	}
}

// reset closes a connection so that the other end sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == linkReset {
		reset(conn)
		return false
	}
	p.open[conn] = true
	return true
}

func (p *proxy) drop(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, conn)
}

func (p *proxy) carry(from net.Conn) {
	if !p.keep(from) {
		return
	}
	defer p.drop(from)
	to, err := (&net.Dialer{Timeout: _linkDial}).DialContext(context.Background(), "tcp", p.target.String())
	if err != nil {
		reset(from)
		return
	}
	if !p.keep(to) {
		reset(from)
		return
	}
	defer p.drop(to)
	var both sync.WaitGroup
	both.Go(func() { p.pass(to, from, false) })
	both.Go(func() { p.pass(from, to, true) })
	both.Wait()
}

// pass copies one direction. What arrives while the link is silent is held
// until it is sound again.
func (p *proxy) pass(to, from net.Conn, isBack bool) {
	piece := make([]byte, 16<<10)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			p.hold(isBack)
			if _, werr := to.Write(piece[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			p.hold(isBack)
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func (p *proxy) hold(isBack bool) {
	for {
		switch f := p.current(); {
		case f == linkSlow:
			time.Sleep(rand.N(_linkDelay))
			return
		case f == linkSilent, f == linkOneWay && isBack:
			time.Sleep(_linkPoll)
		default:
			return
		}
	}
}
