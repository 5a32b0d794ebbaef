// Package wire maps domain types to their protobuf messages and back. Encode
// and Decode functions map to and from messages; Marshal and Unmarshal
// functions, and those of Codec, map to and from stored bytes.
package wire

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"lentilferry.example/lentilferry/config"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/revision"
)

// Codec maps configurations and manifests to their stored form and back.
type Codec struct{}

var _ revision.Codec = Codec{}

// _marshalOptions marshals deterministically, since resources are identified by
// the hash of their stored form.
var _marshalOptions = proto.MarshalOptions{Deterministic: true}

// ErrMalformed means that stored bytes or a message can't be decoded or lack a
// required field.
var ErrMalformed = errors.New("malformed message")

// EncodeConfig returns the stored form of each resource of c, in no particular
// order.
func (Codec) EncodeConfig(c config.Config) ([]revision.Resource, error) {
	var resources []revision.Resource
	var marshalErr error
	add := func(kind revision.ResourceKind, name string, message *lentilferryv1.Resource) {
		value, err := _marshalOptions.Marshal(message)
		if err != nil {
			marshalErr = errors.Wrapf(err, "encode %s %q", kind, name)
			return
		}
		resources = append(resources, revision.Resource{Key: revision.EntryKey{Kind: kind, Name: name}, Value: value})
	}
	for _, s := range c.Services {
		add(revision.KindService, string(s.Name), &lentilferryv1.Resource{Resource: &lentilferryv1.Resource_Service{Service: encodeService(s)}})
	}
	for _, v := range c.Versions {
		message := &lentilferryv1.Version{Service: string(v.Service), Name: string(v.Name)}
		add(revision.KindVersion, string(v.Service)+"/"+string(v.Name), &lentilferryv1.Resource{Resource: &lentilferryv1.Resource_Version{Version: message}})
	}
	for _, r := range c.Routes {
		add(revision.KindRoute, string(r.Name), &lentilferryv1.Resource{Resource: &lentilferryv1.Resource_Route{Route: encodeRoute(r)}})
	}
	for _, p := range c.Policies {
		add(revision.KindPolicy, string(p.Service), &lentilferryv1.Resource{Resource: &lentilferryv1.Resource_Policy{Policy: encodePolicy(p)}})
	}
	if c.Limits != (config.Limits{}) {
		add(revision.KindLimits, revision.LimitsName, &lentilferryv1.Resource{Resource: &lentilferryv1.Resource_Limits{Limits: encodeLimits(c.Limits)}})
	}
	for _, w := range c.Workspaces {
		add(revision.KindWorkspace, string(w.Name), &lentilferryv1.Resource{Resource: &lentilferryv1.Resource_Workspace{Workspace: encodeWorkspace(w)}})
	}
	return resources, marshalErr
}

func encodeWorkspace(w config.Workspace) *lentilferryv1.Workspace {
	message := &lentilferryv1.Workspace{Name: string(w.Name), Rank: w.Rank, Rate: w.Rate, Burst: w.Burst}
	for _, hash := range w.KeyHashes {
		message.KeyHashes = append(message.KeyHashes, hash[:])
	}
	return message
}

// decodeWorkspace maps a message to its workspace. Its error is ErrMalformed.
func decodeWorkspace(message *lentilferryv1.Workspace) (config.Workspace, error) {
	w := config.Workspace{Name: config.WorkspaceName(message.GetName()), Rank: message.GetRank(), Rate: message.GetRate(), Burst: message.GetBurst()}
	for _, hash := range message.GetKeyHashes() {
		if len(hash) != len(config.KeyHash{}) {
			return config.Workspace{}, errors.Wrapf(ErrMalformed, "workspace %q has a hash of %d bytes", w.Name, len(hash))
		}
		w.KeyHashes = append(w.KeyHashes, config.KeyHash(hash))
	}
	return w, nil
}

func encodeLimits(l config.Limits) *lentilferryv1.Limits {
	return &lentilferryv1.Limits{
		HeaderBytes:        l.HeaderBytes,
		BodyBytes:          l.BodyBytes,
		HeaderTimeoutNanos: int64(l.HeaderTimeout),
		IdleTimeoutNanos:   int64(l.IdleTimeout),
	}
}

func decodeLimits(message *lentilferryv1.Limits) config.Limits {
	return config.Limits{
		HeaderBytes:   message.GetHeaderBytes(),
		BodyBytes:     message.GetBodyBytes(),
		HeaderTimeout: time.Duration(message.GetHeaderTimeoutNanos()),
		IdleTimeout:   time.Duration(message.GetIdleTimeoutNanos()),
	}
}

func encodeService(s config.Service) *lentilferryv1.Service {
	message := &lentilferryv1.Service{Name: string(s.Name), AnyVersion: s.AnyVersion}
	for _, w := range s.Weights {
		message.Weights = append(message.Weights, &lentilferryv1.Weight{Version: string(w.Version), Share: uint32(w.Share)})
	}
	if s.Rollout.ID != "" {
		message.Rollout = &lentilferryv1.RolloutMark{
			Id:        s.Rollout.ID,
			Baseline:  string(s.Rollout.Baseline),
			Candidate: string(s.Rollout.Candidate),
		}
	}
	return message
}

func encodeRoute(r config.Route) *lentilferryv1.Route {
	message := &lentilferryv1.Route{
		Name:           string(r.Name),
		Service:        string(r.Service),
		Host:           r.Host,
		PathPrefix:     r.PathPrefix,
		Class:          lentilferryv1.Class(r.Class),
		TimeoutNanos:   int64(r.Timeout),
		Idempotent:     r.Idempotent,
		ObjectiveNanos: int64(r.Objective),
		Rank:           r.Rank,
		Attempts:       r.Attempts,
		Public:         r.Public,
	}
	for _, b := range r.Backends {
		message.Backends = append(message.Backends, &lentilferryv1.Backend{Service: string(b.Service), Weight: b.Weight})
	}
	return message
}

func encodePolicy(p config.Policy) *lentilferryv1.Policy {
	message := &lentilferryv1.Policy{
		Service:                   string(p.Service),
		MinDwellNanos:             int64(p.MinDwell),
		MinStageCalls:             p.MinStageCalls,
		ConvergenceAllowanceNanos: int64(p.ConvergenceAllowance),
	}
	for _, s := range p.Stages {
		message.Stages = append(message.Stages, uint32(s))
	}
	return message
}

// DecodeConfig returns the configuration that consists of the given resources.
// Its error is ErrMalformed.
func (Codec) DecodeConfig(resources []revision.Resource) (config.Config, error) {
	var c config.Config
	for _, r := range resources {
		var message lentilferryv1.Resource
		if err := proto.Unmarshal(r.Value, &message); err != nil {
			return config.Config{}, errors.Mark(errors.Wrapf(err, "decode %s %q", r.Key.Kind, r.Key.Name), ErrMalformed)
		}
		key, err := addResource(&c, &message)
		if err != nil {
			return config.Config{}, errors.Wrapf(err, "decode %s %q", r.Key.Kind, r.Key.Name)
		}
		if key != r.Key {
			return config.Config{}, errors.Wrapf(ErrMalformed, "%s %q contains %s %q", r.Key.Kind, r.Key.Name, key.Kind, key.Name)
		}
	}
	return c, nil
}

// addResource adds a resource to c and returns its key. Its error is
// ErrMalformed.
func addResource(c *config.Config, message *lentilferryv1.Resource) (revision.EntryKey, error) {
	switch r := message.GetResource().(type) {
	case *lentilferryv1.Resource_Service:
		c.Services = append(c.Services, decodeService(r.Service))
		return revision.EntryKey{Kind: revision.KindService, Name: r.Service.GetName()}, nil
	case *lentilferryv1.Resource_Version:
		v := config.Version{Service: config.ServiceName(r.Version.GetService()), Name: config.VersionName(r.Version.GetName())}
		c.Versions = append(c.Versions, v)
		return revision.EntryKey{Kind: revision.KindVersion, Name: string(v.Service) + "/" + string(v.Name)}, nil
	case *lentilferryv1.Resource_Route:
		c.Routes = append(c.Routes, decodeRoute(r.Route))
		return revision.EntryKey{Kind: revision.KindRoute, Name: r.Route.GetName()}, nil
	case *lentilferryv1.Resource_Policy:
		c.Policies = append(c.Policies, decodePolicy(r.Policy))
		return revision.EntryKey{Kind: revision.KindPolicy, Name: r.Policy.GetService()}, nil
	case *lentilferryv1.Resource_Limits:
		c.Limits = decodeLimits(r.Limits)
		return revision.EntryKey{Kind: revision.KindLimits, Name: revision.LimitsName}, nil
	case *lentilferryv1.Resource_Workspace:
		w, err := decodeWorkspace(r.Workspace)
		c.Workspaces = append(c.Workspaces, w)
		return revision.EntryKey{Kind: revision.KindWorkspace, Name: r.Workspace.GetName()}, err
	default:
		return revision.EntryKey{}, errors.Wrap(ErrMalformed, "it has a kind that this version of Lentilferry does not support")
	}
}

func decodeService(message *lentilferryv1.Service) config.Service {
	s := config.Service{Name: config.ServiceName(message.GetName()), AnyVersion: message.GetAnyVersion()}
	for _, w := range message.GetWeights() {
		s.Weights = append(s.Weights, config.Weight{Version: config.VersionName(w.GetVersion()), Share: config.Share(w.GetShare())})
	}
	if mark := message.GetRollout(); mark != nil {
		s.Rollout = config.RolloutRef{
			ID:        mark.GetId(),
			Baseline:  config.VersionName(mark.GetBaseline()),
			Candidate: config.VersionName(mark.GetCandidate()),
		}
	}
	return s
}

func decodeRoute(message *lentilferryv1.Route) config.Route {
	r := config.Route{
		Name:       config.RouteName(message.GetName()),
		Service:    config.ServiceName(message.GetService()),
		Host:       message.GetHost(),
		PathPrefix: message.GetPathPrefix(),
		Class:      config.Class(message.GetClass()),
		Timeout:    time.Duration(message.GetTimeoutNanos()),
		Idempotent: message.GetIdempotent(),
		Objective:  time.Duration(message.GetObjectiveNanos()),
		Rank:       message.GetRank(),
		Attempts:   message.GetAttempts(),
		Public:     message.GetPublic(),
	}
	for _, b := range message.GetBackends() {
		r.Backends = append(r.Backends, config.Backend{Service: config.ServiceName(b.GetService()), Weight: b.GetWeight()})
	}
	return r
}

func decodePolicy(message *lentilferryv1.Policy) config.Policy {
	p := config.Policy{
		Service:              config.ServiceName(message.GetService()),
		MinDwell:             time.Duration(message.GetMinDwellNanos()),
		MinStageCalls:        message.GetMinStageCalls(),
		ConvergenceAllowance: time.Duration(message.GetConvergenceAllowanceNanos()),
	}
	for _, s := range message.GetStages() {
		p.Stages = append(p.Stages, config.Share(s))
	}
	return p
}
