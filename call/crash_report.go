package call

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// upstreamCrash is what an owner tells of an upstream process that ended while it
// was running a call.
type upstreamCrash struct {
	// process identifies the process; see crash.NewProcess.
	process uint64
	// ranFor is the time from when the call was sent until the process had ended.
	ranFor time.Duration
}

// String returns the value of headerCrash: the process in hexadecimal and the
// milliseconds that the call ran, separated by a space.
func (c upstreamCrash) String() string {
	return strconv.FormatUint(c.process, 16) + " " + formatMillis(c.ranFor)
}

// parseUpstreamCrash parses the value of headerCrash. The error says what is
// malformed.
func parseUpstreamCrash(text string) (upstreamCrash, error) {
	processText, millis, _ := strings.Cut(text, " ")
	process, err := strconv.ParseUint(processText, 16, 64)
	if err != nil {
		return upstreamCrash{}, errors.Wrap(err, headerCrash)
	}
	ranFor, err := ParseMillis(millis)
	return upstreamCrash{process: process, ranFor: ranFor}, errors.Wrap(err, headerCrash)
}
