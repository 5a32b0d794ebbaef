// Package crash finds calls that crash each upstream that runs them, and decides
// when such calls are refused. It does no I/O: it is fed with the crashes and
// answers that nodes see, with the records of other nodes and with the present
// time.
//
// A call is known by its content, which includes its body, so that it is found
// again at any node and under any call ID. It is blocked once it has crashed
// three upstream processes at different moments, each of which began to run it
// after the one before had crashed, without any answer in between. Calls that were merely running when
// upstreams crashed for another reason are answered elsewhere, and one answer
// clears a call.
package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"lentilferry.example/lentilferry/config"
)

// Request holds the parts of a call that its content consists of, apart from
// the body. Headers are not among them: they differ between two sends of the
// same call.
type Request struct {
	Method string
	Host   string
	// URI is the path and the query.
	URI string
	// SourceService is the service on the VM where the call entered; empty if
	// there is none.
	SourceService config.ServiceName
}

// _hashBytes is the length of a Target and a Content.
const _hashBytes = 16

// Target identifies the calls that differ at most in their bodies. It is a
// cryptographic hash, so that no caller can build one that equals another's.
type Target [_hashBytes]byte

// Content identifies a call and its repeats. It is a cryptographic hash too.
type Content [_hashBytes]byte

// NewTarget returns the target of a call.
func NewTarget(r Request) Target {
	hash := sha256.New()
	for _, part := range []string{r.Method, r.Host, r.URI, string(r.SourceService)} {
		// Writes to a hash never fail.
		_, _ = io.WriteString(hash, part)
		_, _ = hash.Write([]byte{0})
	}
	return Target(hash.Sum(nil)[:_hashBytes])
}

// NewContent returns the content of a call to a target with the given body.
func NewContent(t Target, body []byte) Content {
	hash := sha256.New()
	// Writes to a hash never fail.
	_, _ = hash.Write(t[:])
	_, _ = hash.Write(body)
	return Content(hash.Sum(nil)[:_hashBytes])
}

// String returns the content in hexadecimal.
func (c Content) String() string {
	return hex.EncodeToString(c[:])
}

// ParseContent parses what String returns. The error says what is wrong with
// the text.
func ParseContent(text string) (Content, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != _hashBytes {
		return Content{}, errors.Newf("%q is not the content of a call: want %d hexadecimal digits", text, 2*_hashBytes)
	}
	return Content(decoded), nil
}

// NewProcess returns an identifier for the process with the given number of
// those that a node's upstream has had since the node began.
func NewProcess(node string, number uint64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(node), number))
}
