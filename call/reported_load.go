package call

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/routing"
	"lentilferry.example/lentilferry/upstream"
)

// _maxReportedMicros bounds the times in headerReportedLoad.
const _maxReportedMicros = int64(config.MaxTimeout / time.Microsecond)

// RecordReportedLoad records the load that the headers of an upstream's response
// report, if they do.
func RecordReportedLoad(now time.Time, tracker *upstream.LoadTracker, dialect Dialect, h http.Header) {
	load, ok, err := dialect.ReportedLoad(h)
	switch {
	case err != nil:
		tracker.RecordInvalid()
	case ok:
		tracker.Record(now, load)
	}
}

// reportedLoadHeader returns the value of headerReportedLoad for an answer of
// the given route: the calls that run and wait at the upstream and its slots, by
// its own count, the slowness and its mean in thousandths, the age of the report
// and the work of the route in microseconds, separated by spaces. It returns ""
// if the upstream doesn't report its load.
func (o *Owner) reportedLoadHeader(route config.RouteName) string {
	report, ok := o.deps.Load.Newest()
	if !ok {
		return ""
	}
	fields := [...]int64{
		int64(report.Running), int64(report.Waiting), int64(report.Slots),
		int64(report.Slowness * 1000), int64(report.MeanSlowness * 1000),
		o.deps.Now().Sub(report.At).Microseconds(), o.deps.Load.Work(route).Microseconds(),
	}
	text := make([]byte, 0, 48)
	for i, field := range fields {
		if i > 0 {
			text = append(text, ' ')
		}
		text = strconv.AppendInt(text, min(max(field, 0), _maxReportedMicros), 10)
	}
	return string(text)
}

// setLoadHeaders sets the headers that tell another node of the upstream's load
// in the answer to a call of the given route.
func (o *Owner) setLoadHeaders(h http.Header, route config.RouteName) {
	h[headerLoad] = []string{o.loadHeader()}
	if reported := o.reportedLoadHeader(route); reported != "" {
		h[headerReportedLoad] = []string{reported}
	}
}

// passLoad copies the load headers of an answer, which copyResponse leaves out,
// if the upstream reports its load.
func (o *Owner) passLoad(to, from http.Header) {
	if reported, ok := from[headerReportedLoad]; ok {
		to[headerLoad], to[headerReportedLoad] = from[headerLoad], reported
	}
}

// parseReportedLoad parses the value of headerReportedLoad; see
// Owner.reportedLoadHeader. Fields behind those known are ignored. It returns
// the zero value if the header is absent or malformed.
func parseReportedLoad(text string, route config.RouteName) routing.ReportedLoad {
	const fields = 7
	parts := strings.Split(text, " ")
	if len(parts) < fields {
		return routing.ReportedLoad{}
	}
	var numbers [fields]int64
	for i := range numbers {
		n, err := strconv.ParseInt(parts[i], 10, 64)
		if err != nil || n < 0 || n > _maxReportedMicros {
			return routing.ReportedLoad{}
		}
		numbers[i] = n
	}
	return routing.ReportedLoad{
		Running: int(numbers[0]), Waiting: int(numbers[1]), Slots: int(numbers[2]),
		Slowness: float64(numbers[3]) / 1000, MeanSlowness: float64(numbers[4]) / 1000,
		Age:   time.Duration(numbers[5]) * time.Microsecond,
		Route: route, Work: time.Duration(numbers[6]) * time.Microsecond,
	}
}
