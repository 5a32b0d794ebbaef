// Package settings reads a node's settings from flags, environment variables
// and a YAML file, and validates them before the node starts.
package settings

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v4"

	"lentilferry.example/lentilferry/allotment"
	"lentilferry.example/lentilferry/common/faults"
	"lentilferry.example/lentilferry/config"
	"lentilferry.example/lentilferry/lease"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/node"
	"lentilferry.example/lentilferry/pipeline"
	"lentilferry.example/lentilferry/retry"
)

// The platform protocols.
const (
	// _protocolNative is the protocol of the product's own object API.
	_protocolNative = "native"
	// _protocolHosted is the protocol of the users' platform.
	_protocolHosted = "hosted"
)

// _maxRetrySlack is the maximum number of retries per window that are allowed
// in addition to the retry ratio.
const _maxRetrySlack = 1_000_000

const (
	// _maxAllotmentSlack is the maximum number of calls by which a workspace may
	// exceed its allotment.
	_maxAllotmentSlack = 1_000_000
	// _minAllotmentWindow is the least length of the window; the tenths in which
	// calls are counted must be longer than reports take.
	_minAllotmentWindow = time.Second
)

// The limits of the GC percentage, which is the growth of the heap that
// triggers a garbage collection, in percent.
const (
	_minGCPercent = 5
	_maxGCPercent = 10_000
)

// The limits of the memory limit, in megabytes.
const (
	_minMemoryMB = 32
	_maxMemoryMB = 64 << 10
)

// EnvPrefix is the prefix of the environment variables that hold settings.
const EnvPrefix = "LENTILFERRYD"

// Settings are the validated settings of a node.
type Settings struct {
	ID          membership.NodeID
	Region      membership.Region
	Zone        membership.Zone
	CallAddress netip.AddrPort
	PeerAddress netip.AddrPort
	// PeerListenAddress is where the node listens for other nodes. It differs
	// from PeerAddress only behind a port forwarder.
	PeerListenAddress netip.AddrPort
	AdminAddress      netip.AddrPort
	PlatformURL       *url.URL
	// Hosted is set if the node runs on the users' platform.
	Hosted bool
	// AnnounceAddress is where the upstream announces itself. It is the zero
	// value if the node checks the health of its upstream instead.
	AnnounceAddress netip.AddrPort
	// MemoryLimit is the memory limit of the process, in bytes. Its setting is
	// in megabytes.
	MemoryLimit int64
	// HeaderMemory bounds the memory of header sections that are incomplete or in
	// use, in bytes, and MaxConnections the connections of clients. 0 derives them
	// from the limits of the process.
	HeaderMemory   int64
	MaxConnections int
	// MaxForwarded bounds the calls that are forwarded to other nodes at the same
	// time. 0 derives it from the descriptors of the process.
	MaxForwarded int
	// GCPercent is the growth of the heap that triggers a garbage collection,
	// in percent.
	GCPercent int
	// Seeds are the peer addresses to contact first, for a start while the
	// platform is down.
	Seeds      []netip.AddrPort
	Upstream   node.Upstream
	Timing     node.Timing
	Membership membership.Timing
	Lease      lease.Timing
	// Retries limits the retries to each service, over all nodes.
	Retries retry.Limits
	// Allotments limits the calls of workspaces, over all nodes.
	Allotments allotment.Limits
	// PipelineDepth bounds the pipelined requests of a caller's connection that
	// are handled concurrently.
	PipelineDepth int
	// Verbosity is the log level of klog.
	Verbosity int
	// PrintOnly requests to print the settings and exit.
	PrintOnly bool

	// effective holds the value of each setting as text, in the order of
	// definitions.
	effective []effectiveSetting
}

// effectiveSetting is a setting with its value as text.
type effectiveSetting struct {
	name string
	text string
}

// setting defines one setting.
type setting struct {
	// name is the name of the flag; yamlName returns the name in a file.
	name         string
	defaultValue string
	help         string
	value        *string
}

// definitions returns all settings, in the order in which they are printed.
func definitions() []setting {
	p := node.DefaultTiming()
	m := membership.DefaultTiming()
	l := lease.DefaultTiming()
	a := allotment.DefaultLimits()
	return []setting{
		{name: "id", help: "name of this node, unique in the mesh; keep it when the VM is replaced"},
		{name: "region", help: "region of this VM"},
		{name: "zone", help: "availability zone of this VM"},
		{name: "call-address", defaultValue: "127.0.0.1:7901", help: "IP:port that callers use"},
		{name: "peer-address", defaultValue: "127.0.0.1:7902", help: "IP:port that other nodes use"},
		{name: "peer-listen-address", help: "IP:port to listen at for other nodes if it differs from peerAddress, such as behind a port forwarder"},
		{name: "admin-address", defaultValue: "127.0.0.1:7903", help: "IP:port for operators, health checks and metrics"},
		{name: "platform-url", help: "base URL of the platform's object API"},
		{name: "platform-protocol", defaultValue: _protocolNative, help: "protocol of the platform: native for the product's own object API, hosted for the users' platform"},
		{name: "announce-address", help: "IP:port at which the upstream of a hosted node announces itself"},
		{name: "memory-limit", defaultValue: "128", help: "memory limit of the process, in megabytes"},
		{name: "header-memory", defaultValue: "0", help: "megabytes that header sections which are incomplete or in use may take; 0 is an eighth of memoryLimit"},
		{name: "max-connections", defaultValue: "0", help: "connections that clients may open at all addresses together; 0 is what half of memoryLimit and three quarters of the descriptors allow"},
		{name: "max-forwarded-calls", defaultValue: "0", help: "calls that are forwarded to other nodes at the same time; 0 is an eighth of the descriptors"},
		{name: "gc-percent", defaultValue: "400", help: "growth of the heap, in percent, that triggers a garbage collection; lower values use less memory and more CPU time"},
		{name: "seeds", help: "peer addresses to contact first, for a start while the platform is down"},
		{name: "service", help: "service of this VM's upstream; empty for a node without one"},
		{name: "version", help: "version of this VM's upstream"},
		{name: "upstream-address", help: "IP:port of this VM's upstream"},
		{name: "upstream-health-path", help: "path that returns 200 while the upstream is healthy; empty to check only the TCP connection"},
		{name: "slots", defaultValue: "8", help: "maximum number of calls that the upstream runs at once"},
		{name: "warmup", defaultValue: "10s", help: "time for which a newly started upstream is cold"},
		{name: "gossip-period", defaultValue: p.GossipInterval.String(), help: "time between probes of members"},
		{name: "zone-period", defaultValue: p.ZoneGossipInterval.String(), help: "time between the exchanges of a relay with other zones"},
		{name: "evidence-period", defaultValue: p.EvidenceInterval.String(), help: "time between reports while a rollout is active"},
		{name: "control-period", defaultValue: p.ControlInterval.String(), help: "time between a controller's steps"},
		{name: "health-period", defaultValue: p.HealthCheckInterval.String(), help: "time between checks of the upstream"},
		{name: "leave-notice", defaultValue: p.LeaveNotice.String(), help: "time for which the node still accepts calls during a planned stop"},
		{name: "drain-timeout", defaultValue: p.DrainTimeout.String(), help: "maximum wait for in-flight calls during a planned stop"},
		{name: "kill-after", defaultValue: "0s", help: "time after which the platform kills the process in a planned stop; the stop then ends shortly before; 0s if it never does"},
		{name: "leave-out-after", defaultValue: p.ExcludeZoneAfter.String(), help: "time without contact after which a zone no longer blocks rollouts"},
		{name: "suspicion-timeout", defaultValue: m.SuspicionTimeout.String(), help: "time that a suspected member has to refute the suspicion before it is marked as failed"},
		{name: "lease-lifetime", defaultValue: l.Lifetime.String(), help: "time without renewal after which another controller takes over"},
		{name: "retry-ratio", defaultValue: fmt.Sprint(retry.DefaultLimits().Ratio), help: "retries that all nodes together may make per call to a service"},
		{name: "retry-slack", defaultValue: fmt.Sprint(retry.DefaultLimits().Slack), help: "retries that they may make in addition, per window"},
		{name: "retry-window", defaultValue: retry.DefaultLimits().Window.String(), help: "length of the window in which calls and retries are counted"},
		{name: "allotment-window", defaultValue: a.Window.String(), help: "length of the window for which the calls of a workspace are bounded"},
		{name: "allotment-overage", defaultValue: fmt.Sprint(a.Overage), help: "fraction by which a workspace may exceed its rate and burst in a window"},
		{name: "allotment-slack", defaultValue: fmt.Sprint(a.Slack), help: "calls by which it may exceed them in addition"},
		{name: "pipeline-depth", defaultValue: "1", help: "maximum number of pipelined requests of a caller's connection that are handled concurrently; 1 handles them one after the other"},
		{name: "verbosity", defaultValue: "0", help: "log level, from 0 to 9"},
	}
}

// Load reads and validates the settings. The error is ff.ErrHelp if help was
// requested, and a faults.List if settings are invalid.
func Load(args []string) (Settings, *ff.FlagSet, error) {
	flags := ff.NewFlagSet("lentilferryd")
	defined := definitions()
	values := make(map[string]*string, len(defined))
	for i := range defined {
		defined[i].value = flags.StringLong(defined[i].name, defined[i].defaultValue, defined[i].help)
		values[defined[i].name] = defined[i].value
	}
	_ = flags.StringLong("config", "", "YAML file with settings, named in camelCase")
	printOnly := flags.BoolLong("print-settings", "print the effective settings and exit")
	file := fileParser{known: values}
	err := ff.Parse(flags, args,
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(file.parse),
	)
	if err != nil {
		return Settings{}, flags, errors.Wrap(err, "read settings")
	}
	r := reader{values: values, found: file.found}
	s := r.settings()
	s.PrintOnly = *printOnly
	for _, definition := range defined {
		s.effective = append(s.effective, effectiveSetting{name: yamlName(definition.name), text: *definition.value})
	}
	r.found = append(r.found, unknownEnvVars(values, os.Environ())...)
	if len(r.found) > 0 {
		return s, flags, r.found
	}
	return s, flags, nil
}

// unknownEnvVars returns a fault for each environment variable that has the
// prefix of the settings but is not one of them.
func unknownEnvVars(known map[string]*string, environment []string) faults.List {
	var found faults.List
	for _, entry := range environment {
		name, _, _ := strings.Cut(entry, "=")
		rest, ok := strings.CutPrefix(name, EnvPrefix+"_")
		if !ok {
			continue
		}
		flag := strings.ReplaceAll(strings.ToLower(rest), "_", "-")
		if _, ok := known[flag]; !ok && flag != "config" && flag != "print-settings" {
			found.Addf(name, "is not a setting; remove it or correct the name")
		}
	}
	return found
}

// yamlName returns the name of a setting in a file, such as callAddress for
// call-address.
func yamlName(flag string) string {
	words := strings.Split(flag, "-")
	for i := 1; i < len(words); i++ {
		words[i] = strings.ToUpper(words[i][:1]) + words[i][1:]
	}
	return strings.Join(words, "")
}

// String returns the effective settings as a YAML file.
func (s Settings) String() string {
	var text strings.Builder
	text.WriteString("# Flags override environment variables (such as " + EnvPrefix + "_CALL_ADDRESS),\n")
	text.WriteString("# which override the file given with --config, which overrides the defaults.\n")
	for _, e := range s.effective {
		fmt.Fprintf(&text, "%s: %s\n", e.name, strconv.Quote(e.text))
	}
	return text.String()
}

// reader converts the settings from text to values and collects the faults.
type reader struct {
	values map[string]*string
	found  faults.List
}

// settings returns all settings. A setting with a fault has the zero value or
// another placeholder.
func (r *reader) settings() Settings {
	s := Settings{
		ID:           membership.NodeID(r.name("id")),
		Region:       membership.Region(r.name("region")),
		Zone:         membership.Zone(r.name("zone")),
		CallAddress:  r.address("call-address"),
		PeerAddress:  r.address("peer-address"),
		AdminAddress: r.address("admin-address"),
		PlatformURL:  r.url("platform-url"),
		Seeds:        r.addresses("seeds"),
		Hosted:       r.choice("platform-protocol", _protocolNative, _protocolHosted) == _protocolHosted,
		Upstream:     r.upstream(),
		Timing: node.Timing{
			GossipInterval:      r.duration("gossip-period"),
			ZoneGossipInterval:  r.duration("zone-period"),
			EvidenceInterval:    r.duration("evidence-period"),
			ControlInterval:     r.duration("control-period"),
			HealthCheckInterval: r.duration("health-period"),
			DrainTimeout:        r.duration("drain-timeout"),
			LeaveNotice:         r.duration("leave-notice"),
			ExcludeZoneAfter:    r.duration("leave-out-after"),
		},
		Membership: membership.DefaultTiming(),
		Lease:      lease.DefaultTiming(),
		Retries: retry.Limits{
			Ratio:  r.decimal("retry-ratio", 0, 1),
			Slack:  r.decimal("retry-slack", 0, _maxRetrySlack),
			Window: r.duration("retry-window"),
		},
		Allotments: allotment.Limits{
			Window:  r.allotmentWindow(),
			Overage: r.decimal("allotment-overage", 0, 1),
			Slack:   r.decimal("allotment-slack", 0, _maxAllotmentSlack),
		},
		PipelineDepth: r.number("pipeline-depth", 1, pipeline.MaxDepth),

		Verbosity: r.number("verbosity", 0, 9),
	}
	s.Timing.DrainTimeout = r.drainTimeout(s.Timing)
	s.PeerListenAddress = s.PeerAddress
	if r.text("peer-listen-address") != "" {
		s.PeerListenAddress = r.address("peer-listen-address")
	}
	if s.Hosted {
		s.AnnounceAddress = r.address("announce-address")
		s.Upstream.SelfAnnounced = true
	}
	s.MemoryLimit = int64(r.decimal("memory-limit", _minMemoryMB, _maxMemoryMB) * (1 << 20))
	s.HeaderMemory = r.headerMemory(s.MemoryLimit)
	s.MaxConnections = r.maxConnections()
	s.MaxForwarded = r.number("max-forwarded-calls", 0, _maxConnections)
	s.GCPercent = r.number("gc-percent", _minGCPercent, _maxGCPercent)
	s.Membership.SuspicionTimeout = r.duration("suspicion-timeout")
	s.Lease = leaseTiming(r.duration("lease-lifetime"))
	r.checkAddresses(s)
	return s
}

const (
	// _minHeaderMemoryMB holds the longest header section, of the shortest lines,
	// at least once.
	_minHeaderMemoryMB = 2
	_minConnections    = 64
	_maxConnections    = 1_000_000
)

// headerMemory returns the bound on the memory of header sections, in bytes, or
// 0 if it isn't set.
func (r *reader) headerMemory(memoryLimit int64) int64 {
	if r.text("header-memory") == "0" {
		return 0
	}
	half := float64(memoryLimit>>20) / 2
	return int64(r.decimal("header-memory", _minHeaderMemoryMB, half) * (1 << 20))
}

// maxConnections returns the bound on connections, or 0 if it isn't set.
func (r *reader) maxConnections() int {
	if r.text("max-connections") == "0" {
		return 0
	}
	return r.number("max-connections", _minConnections, _maxConnections)
}

// _killMargin is how long before the platform kills the process a planned stop
// stops waiting for in-flight calls. Answering the interrupted ones, telling
// peers, closing the servers and writing the last log lines takes up to 0.7 s, and
// the platform's signal may arrive late.
const _killMargin = 900 * time.Millisecond

// drainTimeout returns the maximum wait for in-flight calls in a planned stop:
// that of the settings or, if it is shorter, what the platform allows.
func (r *reader) drainTimeout(t node.Timing) time.Duration {
	if text := r.text("kill-after"); text == "" || text == "0s" {
		return t.DrainTimeout
	}
	killAfter := r.duration("kill-after")
	if killAfter <= t.LeaveNotice+_killMargin {
		r.faultf("kill-after", "%s leaves no time for calls in flight; use more than leaveNotice and %s, or a shorter leaveNotice", killAfter, _killMargin)
	}
	return min(t.DrainTimeout, killAfter-_killMargin)
}

// leaseTiming returns the timing for a lifetime, with the same proportions as
// the default timing.
func leaseTiming(lifetime time.Duration) lease.Timing {
	d := lease.DefaultTiming()
	scale := float64(lifetime) / float64(d.Lifetime)
	return lease.Timing{
		Lifetime:      lifetime,
		RenewInterval: time.Duration(float64(d.RenewInterval) * scale),
		SafetyMargin:  time.Duration(float64(d.SafetyMargin) * scale),
	}
}

// text returns the text of a setting without surrounding space.
func (r *reader) text(flag string) string {
	return strings.TrimSpace(*r.values[flag])
}

func (r *reader) faultf(flag, format string, args ...any) {
	r.found.Addf(yamlName(flag), format, args...)
}

// name returns a setting that must be a valid name.
func (r *reader) name(flag string) string {
	text := r.text(flag)
	switch {
	case text == "":
		r.faultf(flag, "is empty; set it with --%s, %s_%s or in the file", flag, EnvPrefix, strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
	case len(text) > config.MaxNameBytes:
		r.faultf(flag, "has %d bytes; shorten it to %d or fewer", len(text), config.MaxNameBytes)
	case strings.ContainsAny(text, "/ \t\r\n\""):
		r.faultf(flag, "%q contains a character that is not allowed in names; use letters, digits, '-', '_' and '.'", text)
	}
	return text
}

func (r *reader) address(flag string) netip.AddrPort {
	return r.parseAddress(flag, r.text(flag))
}

func (r *reader) parseAddress(flag, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.faultf(flag, "%q is not an IP address and port; write it as 10.0.0.7:7901", text)
		return netip.AddrPort{}
	}
	if address.Port() == 0 {
		r.faultf(flag, "%q has port 0; use a port from 1 to 65535", text)
	}
	return address
}

// addresses returns the addresses of a comma-separated list.
func (r *reader) addresses(flag string) []netip.AddrPort {
	var all []netip.AddrPort
	for text := range strings.SplitSeq(r.text(flag), ",") {
		if text = strings.TrimSpace(text); text != "" {
			all = append(all, r.parseAddress(flag, text))
		}
	}
	return all
}

func (r *reader) url(flag string) *url.URL {
	text := r.text(flag)
	parsed, err := url.Parse(text)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		r.faultf(flag, "%q is not a URL; write it as http://10.0.0.1:7900", text)
	}
	return parsed
}

// duration returns a duration of at least 1 ms, and one second after a fault.
func (r *reader) duration(flag string) time.Duration {
	text := r.text(flag)
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		r.faultf(flag, "%q is not a duration; write it as 2s or 500ms", text)
		return time.Second
	case d < time.Millisecond:
		r.faultf(flag, "%s is too short; use 1ms or more", text)
		return time.Second
	}
	return d
}

// number returns an integer within the limits, and the minimum after a fault.
func (r *reader) number(flag string, minimum, maximum int) int {
	text := r.text(flag)
	n, err := strconv.Atoi(text)
	if err != nil || n < minimum || n > maximum {
		r.faultf(flag, "%q is not a number from %d to %d", text, minimum, maximum)
		return minimum
	}
	return n
}

// decimal returns a number within the limits that may have a fraction, and the
// minimum after a fault.
func (r *reader) decimal(flag string, minimum, maximum float64) float64 {
	text := r.text(flag)
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) || f < minimum || f > maximum {
		r.faultf(flag, "%q is not a number from %.0f to %.0f", text, minimum, maximum)
		return minimum
	}
	return f
}

// allotmentWindow returns the window in which the calls of workspaces are bounded.
func (r *reader) allotmentWindow() time.Duration {
	window := r.duration("allotment-window")
	if window < _minAllotmentWindow {
		r.faultf("allotment-window", "%s is too short; use %s or more", window, _minAllotmentWindow)
	}
	return max(window, _minAllotmentWindow)
}

// choice returns a setting that must be one of the choices.
func (r *reader) choice(flag string, choices ...string) string {
	text := r.text(flag)
	if !slices.Contains(choices, text) {
		r.faultf(flag, "%q is unknown; use one of %s", text, strings.Join(choices, ", "))
	}
	return text
}

// _maxSlots is the maximum number of calls that an upstream runs at once.
const _maxSlots = 10_000

// upstream returns the settings of the upstream. For a node without a service,
// it has no address.
func (r *reader) upstream() node.Upstream {
	u := node.Upstream{
		Slots:  r.number("slots", 1, _maxSlots),
		Warmup: r.duration("warmup"),
	}
	if r.text("service") == "" {
		for _, flag := range []string{"version", "upstream-address"} {
			if r.text(flag) != "" {
				r.faultf(flag, "is set without service; set service too, or leave both out for a node without an upstream")
			}
		}
		return u
	}
	u.Service = config.ServiceName(r.name("service"))
	if r.text("platform-protocol") != _protocolHosted {
		u.Version = config.VersionName(r.name("version"))
	}
	u.Address = r.address("upstream-address")
	u.HealthPath = r.text("upstream-health-path")
	if u.HealthPath != "" && !strings.HasPrefix(u.HealthPath, "/") {
		r.faultf("upstream-health-path", "%q does not begin with '/'; add a leading '/'", u.HealthPath)
	}
	return u
}

// separatePeerListenAddress returns PeerListenAddress if it differs from
// PeerAddress, and the zero value otherwise.
func (r *reader) separatePeerListenAddress(s Settings) netip.AddrPort {
	if s.PeerListenAddress == s.PeerAddress {
		return netip.AddrPort{}
	}
	return s.PeerListenAddress
}

// checkAddresses checks that no two sockets have the same address, and that
// other nodes can reach PeerAddress.
func (r *reader) checkAddresses(s Settings) {
	seen := make(map[netip.AddrPort]string)
	for _, socket := range []struct {
		flag    string
		address netip.AddrPort
	}{
		{"call-address", s.CallAddress},
		{"peer-address", s.PeerAddress},
		{"peer-listen-address", r.separatePeerListenAddress(s)},
		{"admin-address", s.AdminAddress},
		{"upstream-address", s.Upstream.Address},
		{"announce-address", s.AnnounceAddress},
	} {
		if !socket.address.IsValid() {
			continue
		}
		if other, ok := seen[socket.address]; ok {
			r.faultf(socket.flag, "%s is also used by %s; use distinct addresses", socket.address, yamlName(other))
		}
		seen[socket.address] = socket.flag
	}
	if s.PeerAddress.IsValid() && s.PeerAddress.Addr().IsUnspecified() {
		r.faultf("peer-address", "%s can't be reached by other nodes; use this VM's own IP", s.PeerAddress)
	}
}
