package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one requester attempt.
type request struct {
	id, method, path string
	// body is the number of bytes of the body, which is sent in pieces with the
	// pause between them.
	body, piece int
	pause       time.Duration
	chunked     bool
	deadline    time.Duration
	closes      bool
}

func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// answer is what a requester gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is set if there is no whole answer.
	err error
	// fault says what breaks MIXED; empty if nothing does.
	fault string
	took  time.Duration
	close bool
}

// channel is a requester's channel to a node.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

const host = "shop.example"

// head returns the head of a request.
func (q request) head() []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	switch {
	case q.chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case q.body > 0 || q.method != http.MethodGet:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", q.body)
	}
	if q.closes {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// send sends a request. It goes on while the answer arrives.
func (c *channel) send(q request) error {
	if q.body == 0 && !q.chunked {
		_, err := c.conn.Write(q.head())
		return err
	}
	if _, err := c.conn.Write(q.head()); err != nil {
		return err
	}
	piece := q.piece
	if piece == 0 {
		piece = 16 << 10
	}
	for at := 0; at < q.body; at += piece {
		content := pattern(q.id+"/request", at, min(piece, q.body-at))
		if q.chunked {
			content = []byte(fmt.Sprintf("%x\r\n%s\r\n", len(content), content))
		}
		if at > 0 {
			time.Sleep(q.pause)
		}
		if _, err := c.conn.Write(content); err != nil {
			return err
		}
	}
	if q.chunked {
		_, err := c.conn.Write([]byte("0\r\n\r\n"))
		return err
	}
	return nil
}

// receive reads the answer to a request.
func (c *channel) receive(q request) answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, header: response.Header, body: body, err: err, close: response.Close}
	if err == nil {
		a.fault = a.mixed(q)
	}
	return a
}

// mixed says what breaks the rule MIXED in a whole answer.
func (a answer) mixed(q request) string {
	seal := a.header.Get("X-Server-Seal")
	want := optionsOf(q.path).number("answer")
	switch {
	case seal != "" && seal != "seal-"+q.id:
		return "seal of another request"
	case a.header.Get("X-Attempt-Id") != "" && a.header.Get("X-Attempt-Id") != q.id:
		return "answer of another request"
	case a.status/100 != 2:
		return ""
	case seal == "":
		return "success without a seal"
	case !bytes.Equal(a.body, pattern(q.id+"/answer", 0, want)):
		return fmt.Sprintf("success with %d bytes that are not the backend's %d", len(a.body), want)
	}
	return ""
}

// ask sends a request on a channel and returns the answer.
func (c *channel) ask(q request) answer {
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(q.deadline + 3*time.Second))
	sent := make(chan error, 1)
	go func() { sent <- c.send(q) }()
	a := c.receive(q)
	if a.err == nil && !a.close {
		// The rest of the body goes out before the channel is used again.
		if err := <-sent; err != nil {
			a.close = true
		}
	}
	a.took = time.Since(began)
	return a
}

// askOnce asks on a channel of its own.
func askOnce(address string, q request) answer {
	c, err := dial(address)
	if err != nil {
		return answer{err: errors.Join(errNoChannel, err)}
	}
	defer func() { _ = c.conn.Close() }()
	return c.ask(q)
}

var errNoChannel = errors.New("no channel")

// text describes an answer for the record.
func (a answer) text() string {
	switch {
	case a.err != nil:
		return fmt.Sprintf("no whole answer after %d ms: %v", a.took.Milliseconds(), a.err)
	case a.fault != "":
		return fmt.Sprintf("%d after %d ms, WRONG: %s", a.status, a.took.Milliseconds(), a.fault)
	case a.header.Get("X-Server-Seal") == "":
		return fmt.Sprintf("%d of the system after %d ms: %.60q", a.status, a.took.Milliseconds(), a.body)
	default:
		return fmt.Sprintf("%d of the backend after %d ms, %d bytes", a.status, a.took.Milliseconds(), len(a.body))
	}
}
