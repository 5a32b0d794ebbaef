package pipeline

import (
	"net"
	"sync"
)

// listener accepts connections, and those that the server gets back.
type listener struct {
	net.Listener
	accepted chan accepted
	returned chan *Conn
	closed   chan struct{}
	start    sync.Once
	stop     sync.Once
	// onClose is called once at Close.
	onClose func()
}

// accepted is a result of Accept.
type accepted struct {
	conn net.Conn
	err  error
}

func newListener(inner net.Listener, onClose func()) *listener {
	return &listener{
		Listener: inner, onClose: onClose,
		accepted: make(chan accepted), returned: make(chan *Conn), closed: make(chan struct{}),
	}
}

// Accept returns the next connection, which is a *Conn.
func (l *listener) Accept() (net.Conn, error) {
	l.start.Do(func() { go l.acceptAll() })
	select {
	case a := <-l.accepted:
		if a.err != nil {
			return nil, a.err
		}
		return &Conn{Conn: a.conn}, nil
	case conn := <-l.returned:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) acceptAll() {
	for {
		conn, err := l.Listener.Accept()
		select {
		case l.accepted <- accepted{conn, err}:
		case <-l.closed:
			if err == nil {
				_ = conn.Close()
			}
			return
		}
	}
}

// giveBack makes Accept return a connection, and returns false if the listener is
// closed.
func (l *listener) giveBack(conn *Conn) bool {
	select {
	case l.returned <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// Close closes the listener and the connections that were taken over.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.stop.Do(func() {
		close(l.closed)
		l.onClose()
	})
	return err //nolint:wrapcheck // The server passes it on.
}
