package config

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"lentilferry.example/lentilferry/common/faults"
)

// MaxDocumentBytes is the maximum size of a configuration document, in bytes.
const MaxDocumentBytes = 1 << 20

type yamlWeight struct {
	Version string  `yaml:"version"`
	Share   float64 `yaml:"share"`
}

type yamlService struct {
	Name    string       `yaml:"name"`
	Weights []yamlWeight `yaml:"weights,omitempty"`
	// AnyVersion takes the versions from the service's upstreams.
	AnyVersion bool `yaml:"anyVersion,omitempty"`
}

type yamlBackend struct {
	Service string `yaml:"service"`
	Weight  uint32 `yaml:"weight"`
}

type yamlLimits struct {
	HeaderBytes   int64  `yaml:"headerBytes,omitempty"`
	BodyBytes     int64  `yaml:"bodyBytes,omitempty"`
	HeaderTimeout string `yaml:"headerTimeout,omitempty"`
	IdleTimeout   string `yaml:"idleTimeout,omitempty"`
}

type yamlVersion struct {
	Service string `yaml:"service"`
	Name    string `yaml:"name"`
}

type yamlRoute struct {
	Name       string        `yaml:"name"`
	Service    string        `yaml:"service"`
	Backends   []yamlBackend `yaml:"backends,omitempty"`
	Host       string        `yaml:"host,omitempty"`
	PathPrefix string        `yaml:"pathPrefix"`
	Class      string        `yaml:"class"`
	Timeout    string        `yaml:"timeout"`
	Idempotent bool          `yaml:"idempotent,omitempty"`
	Objective  string        `yaml:"objective,omitempty"`
	Rank       uint32        `yaml:"rank,omitempty"`
	Attempts   uint32        `yaml:"attempts,omitempty"`
	Public     bool          `yaml:"public,omitempty"`
}

type yamlWorkspace struct {
	Name string `yaml:"name"`
	// Keys are in clear text. They are hashed when the document is parsed and
	// never formatted.
	Keys []string `yaml:"keys,omitempty"`
	// KeyHashes are the SHA-256 hashes of further keys, in hexadecimal.
	KeyHashes     []string `yaml:"keyHashes,omitempty"`
	Rank          uint32   `yaml:"rank,omitempty"`
	RatePerSecond float64  `yaml:"ratePerSecond,omitempty"`
	Burst         float64  `yaml:"burst,omitempty"`
}

type yamlPolicy struct {
	Service              string    `yaml:"service"`
	Stages               []float64 `yaml:"stages,omitempty"`
	MinDwell             string    `yaml:"minDwell,omitempty"`
	MinStageCalls        *uint64   `yaml:"minStageCalls,omitempty"`
	ConvergenceAllowance string    `yaml:"convergenceAllowance,omitempty"`
}

type yamlConfig struct {
	Services   []yamlService   `yaml:"services"`
	Versions   []yamlVersion   `yaml:"versions"`
	Routes     []yamlRoute     `yaml:"routes"`
	Policies   []yamlPolicy    `yaml:"policies,omitempty"`
	Limits     yamlLimits      `yaml:"limits,omitempty"`
	Workspaces []yamlWorkspace `yaml:"workspaces,omitempty"`
}

// ParseYAML parses a configuration document. For a service without weights it
// keeps those of current, the configuration in force. Weights that differ from
// these are a fault, because only a rollout shifts traffic. The error is a
// faults.List if the document can be parsed but is not valid.
func ParseYAML(document []byte, current Config) (Config, error) {
	raw, err := decodeYAML(document)
	if err != nil {
		return Config{}, err
	}
	c, found := convertYAML(raw, current)
	if len(found) > 0 {
		return Config{}, found
	}
	return c, nil
}

// syntaxError is the error of a document that can't be decoded. It has no cause,
// since the decoder's error may contain keys.
type syntaxError struct {
	text string
	// line is 0 if it is not known.
	line int
}

func (e *syntaxError) Error() string { return e.text }

// decodeYAML decodes a document. The error is a faults.List if it is too large,
// otherwise a syntaxError.
func decodeYAML(document []byte) (yamlConfig, error) {
	if len(document) > MaxDocumentBytes {
		var found faults.List
		found.Addf("document", "has %d bytes; the maximum is %d", len(document), MaxDocumentBytes)
		return yamlConfig{}, found
	}
	var raw yamlConfig
	decoder := yaml.NewDecoder(bytes.NewReader(document), yaml.Strict())
	if err := decoder.Decode(&raw); err != nil {
		return yamlConfig{}, newSyntaxError(document, err)
	}
	return raw, nil
}

// convertYAML converts a decoded document and returns its faults.
func convertYAML(raw yamlConfig, current Config) (Config, faults.List) {
	p := yamlParser{current: current}
	c := p.config(raw)
	return c, append(p.found, Check(c)...)
}

// newSyntaxError returns why a document can't be parsed, without the lines around
// the fault: they could contain keys, also where the name of the list of
// workspaces is misspelt. The parser's own message may quote a field or a value, so
// that only the place is given where the document has workspaces.
func newSyntaxError(document []byte, err error) *syntaxError {
	const prefix = "document is not a valid configuration: "
	line, column := locateError(err)
	switch {
	case !bytes.Contains(document, []byte("workspaces")):
		return &syntaxError{text: prefix + strings.TrimSpace(yaml.FormatError(err, false, false)), line: line}
	case line == 0:
		return &syntaxError{text: prefix + "not shown, as the document may contain keys"}
	default:
		text := fmt.Sprintf("line %d, column %d is malformed or has an unknown field; not shown, as the document may contain keys", line, column)
		return &syntaxError{text: prefix + text, line: line}
	}
}

// locateError returns the line and column of a parser's error, zeros if it has
// none.
func locateError(err error) (line, column int) {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil || located.GetToken().Position == nil {
		return 0, 0
	}
	position := located.GetToken().Position
	return position.Line, position.Column
}

// yamlParser converts a parsed document to a configuration and collects its
// faults.
type yamlParser struct {
	current Config
	found   faults.List
}

func (p *yamlParser) faultf(field, format string, args ...any) {
	p.found.Addf(field, format, args...)
}

func (p *yamlParser) config(raw yamlConfig) Config {
	var c Config
	for _, v := range raw.Versions {
		c.Versions = append(c.Versions, Version{Service: ServiceName(v.Service), Name: VersionName(v.Name)})
	}
	for _, s := range raw.Services {
		c.Services = append(c.Services, p.service(s))
	}
	for _, r := range raw.Routes {
		c.Routes = append(c.Routes, p.route(r))
	}
	for _, policy := range raw.Policies {
		c.Policies = append(c.Policies, p.policy(policy))
	}
	for _, w := range raw.Workspaces {
		c.Workspaces = append(c.Workspaces, p.workspace(w))
	}
	c.Limits = Limits{
		HeaderBytes:   raw.Limits.HeaderBytes,
		BodyBytes:     raw.Limits.BodyBytes,
		HeaderTimeout: p.optionalDuration("limits.headerTimeout", raw.Limits.HeaderTimeout),
		IdleTimeout:   p.optionalDuration("limits.idleTimeout", raw.Limits.IdleTimeout),
	}
	return c
}

// optionalDuration parses a duration; an empty text gives 0.
func (p *yamlParser) optionalDuration(field, text string) time.Duration {
	if text == "" {
		return 0
	}
	return p.duration(field, text)
}

// formatOptional formats a duration; 0 gives an empty text.
func formatOptional(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func (p *yamlParser) service(raw yamlService) Service {
	s := Service{Name: ServiceName(raw.Name), AnyVersion: raw.AnyVersion}
	field := fmt.Sprintf("services[%s].weights", raw.Name)
	for _, w := range raw.Weights {
		share := p.share(field, w.Share)
		s.Weights = append(s.Weights, Weight{Version: VersionName(w.Version), Share: share})
	}
	slices.SortFunc(s.Weights, func(a, b Weight) int { return strings.Compare(string(a.Version), string(b.Version)) })
	existing, found := p.current.Service(s.Name)
	if !found || s.AnyVersion || existing.AnyVersion {
		return s
	}
	s.Rollout = existing.Rollout
	if len(s.Weights) > 0 && !slices.Equal(s.Weights, existing.Weights) {
		p.faultf(field, "differ from the current shares; omit weights and shift traffic with 'lentilferry plan'")
	}
	s.Weights = existing.Weights
	return s
}

// share converts percent to a share.
func (p *yamlParser) share(field string, percent float64) Share {
	if math.IsNaN(percent) || percent < 0 || percent > 100 {
		p.faultf(field, "%g is not a share; use 0 to 100 percent", percent)
		return 0
	}
	return Share(math.Round(percent * float64(SharePerPercent)))
}

// duration parses a duration. After a fault it returns one second, which passes
// the later checks, so that the fault is reported only once.
func (p *yamlParser) duration(field, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		p.faultf(field, "%q is not a duration; write it as 2s or 500ms", text)
		return time.Second
	}
	return d
}

func (p *yamlParser) route(raw yamlRoute) Route {
	field := fmt.Sprintf("routes[%s]", raw.Name)
	r := Route{
		Name:       RouteName(raw.Name),
		Service:    ServiceName(raw.Service),
		Host:       raw.Host,
		PathPrefix: raw.PathPrefix,
		Timeout:    p.duration(field+".timeout", raw.Timeout),
		Idempotent: raw.Idempotent,
		Objective:  p.optionalDuration(field+".objective", raw.Objective),
		Rank:       raw.Rank,
		Attempts:   raw.Attempts,
		Public:     raw.Public,
	}
	for _, b := range raw.Backends {
		r.Backends = append(r.Backends, Backend{Service: ServiceName(b.Service), Weight: b.Weight})
	}
	switch raw.Class {
	case ClassLookup.String():
		r.Class = ClassLookup
	case ClassCommand.String():
		r.Class = ClassCommand
	}
	return r
}

func (p *yamlParser) policy(raw yamlPolicy) Policy {
	field := fmt.Sprintf("policies[%s]", raw.Service)
	policy := DefaultPolicy(ServiceName(raw.Service))
	if len(raw.Stages) > 0 {
		policy.Stages = nil
	}
	for _, s := range raw.Stages {
		policy.Stages = append(policy.Stages, p.share(field+".stages", s))
	}
	if raw.MinDwell != "" {
		policy.MinDwell = p.duration(field+".minDwell", raw.MinDwell)
	}
	if raw.MinStageCalls != nil {
		policy.MinStageCalls = *raw.MinStageCalls
	}
	if raw.ConvergenceAllowance != "" {
		policy.ConvergenceAllowance = p.duration(field+".convergenceAllowance", raw.ConvergenceAllowance)
	}
	return policy
}

func (p *yamlParser) workspace(raw yamlWorkspace) Workspace {
	w := Workspace{Name: WorkspaceName(raw.Name), Rank: raw.Rank, Rate: raw.RatePerSecond, Burst: raw.Burst}
	for _, key := range raw.Keys {
		w.KeyHashes = append(w.KeyHashes, HashKey(key))
	}
	for i, text := range raw.KeyHashes {
		hash, err := hex.DecodeString(text)
		if err != nil || len(hash) != len(KeyHash{}) {
			// The text is not quoted, since it may be a key.
			p.faultf(fmt.Sprintf("workspaces[%s].keyHashes[%d]", raw.Name, i), "is not a SHA-256 hash in hexadecimal; write keys under keys")
			continue
		}
		w.KeyHashes = append(w.KeyHashes, KeyHash(hash))
	}
	return w
}

// FormatYAML formats a configuration as a document that ParseYAML accepts.
func FormatYAML(c Config) ([]byte, error) {
	var raw yamlConfig
	for _, s := range c.Services {
		service := yamlService{Name: string(s.Name), AnyVersion: s.AnyVersion}
		for _, w := range s.Weights {
			service.Weights = append(service.Weights, yamlWeight{Version: string(w.Version), Share: w.Share.Percent()})
		}
		raw.Services = append(raw.Services, service)
	}
	for _, v := range c.Versions {
		raw.Versions = append(raw.Versions, yamlVersion{Service: string(v.Service), Name: string(v.Name)})
	}
	for _, r := range c.Routes {
		raw.Routes = append(raw.Routes, formatRoute(r))
	}
	raw.Limits = yamlLimits{
		HeaderBytes:   c.Limits.HeaderBytes,
		BodyBytes:     c.Limits.BodyBytes,
		HeaderTimeout: formatOptional(c.Limits.HeaderTimeout),
		IdleTimeout:   formatOptional(c.Limits.IdleTimeout),
	}
	for _, p := range c.Policies {
		raw.Policies = append(raw.Policies, formatPolicy(p))
	}
	for _, w := range c.Workspaces {
		raw.Workspaces = append(raw.Workspaces, formatWorkspace(w))
	}
	document, err := yaml.Marshal(raw)
	return document, errors.Wrap(err, "format configuration")
}

func formatRoute(r Route) yamlRoute {
	raw := yamlRoute{
		Name: string(r.Name), Service: string(r.Service), Host: r.Host,
		PathPrefix: r.PathPrefix, Class: r.Class.String(), Timeout: r.Timeout.String(),
		Idempotent: r.Idempotent, Objective: formatOptional(r.Objective), Rank: r.Rank, Attempts: r.Attempts, Public: r.Public,
	}
	for _, b := range r.Backends {
		raw.Backends = append(raw.Backends, yamlBackend{Service: string(b.Service), Weight: b.Weight})
	}
	return raw
}

func formatWorkspace(w Workspace) yamlWorkspace {
	raw := yamlWorkspace{Name: string(w.Name), Rank: w.Rank, RatePerSecond: w.Rate, Burst: w.Burst}
	for _, hash := range w.KeyHashes {
		raw.KeyHashes = append(raw.KeyHashes, hex.EncodeToString(hash[:]))
	}
	return raw
}

func formatPolicy(p Policy) yamlPolicy {
	calls := p.MinStageCalls
	raw := yamlPolicy{
		Service:              string(p.Service),
		MinDwell:             p.MinDwell.String(),
		MinStageCalls:        &calls,
		ConvergenceAllowance: p.ConvergenceAllowance.String(),
	}
	for _, s := range p.Stages {
		raw.Stages = append(raw.Stages, s.Percent())
	}
	return raw
}
