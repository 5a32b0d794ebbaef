package node

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"lentilferry.example/lentilferry/config"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/wire"
)

// _appliedReportInterval is the time after which a node repeats its report to
// the collector even if nothing has changed.
const _appliedReportInterval = 30 * time.Second

// appliedReport is a report to a collector of the revision that this node runs.
type appliedReport struct {
	collector string
	revision  uint64
	at        time.Time
}

// reportApplied reports the revision that this node runs to the zone's
// collector if the revision or the collector has changed, or if the last report
// is older than _appliedReportInterval.
func (n *Node) reportApplied(ctx context.Context) {
	self := n.members.Self()
	collector, ok := n.collectorOf(n.deps.Zone)
	now := n.deps.Now()
	report := appliedReport{collector: collector.Instance(), revision: self.Revision, at: now}
	unchanged := n.lastApplied.collector == report.collector && n.lastApplied.revision == report.revision
	if !ok || self.Revision == 0 || unchanged && now.Sub(n.lastApplied.at) < _appliedReportInterval {
		return
	}
	if collector.ID == self.ID {
		n.appliedRevisions.Record(self.ID, self.Incarnation, self.Revision)
		n.lastApplied = report
		return
	}
	ctx, cancel := context.WithTimeout(ctx, _evidenceTimeout)
	defer cancel()
	request := &lentilferryv1.TellAppliedRequest{From: string(self.ID), Incarnation: self.Incarnation, Revision: self.Revision}
	if _, err := n.clients.For(collector.PeerAddress).TellApplied(ctx, connect.NewRequest(request)); err != nil {
		n.deps.Logger.V(1).Info("Applied revision not reported", "collector", collector.ID, "cause", err.Error())
		return
	}
	n.lastApplied = report
}

// InForce asks each zone's collector which revisions the members run there and
// merges the results. It does not ask the excluded zones.
func (n *Node) InForce(ctx context.Context, now time.Time) membership.InForce {
	excluded := n.excludedZones(now)
	zones := queryZones(n.liveZones(""), func(zone membership.Zone) membership.ZoneApplied {
		if slices.Contains(excluded, zone) {
			return membership.ZoneApplied{Zone: zone}
		}
		return n.zoneApplied(ctx, zone)
	})
	return membership.MergeInForce(zones, excluded)
}

// excludedZones returns the zones that have been silent for longer than
// Timing.ExcludeZoneAfter.
func (n *Node) excludedZones(now time.Time) []membership.Zone {
	var zones []membership.Zone
	for _, d := range n.members.Digests(now) {
		if d.Age > n.deps.Timing.ExcludeZoneAfter {
			zones = append(zones, d.Zone)
		}
	}
	return zones
}

// zoneApplied asks a zone's collector which revisions the zone's members run.
// The result has only the zone's name if there is no collector or it does not
// respond.
func (n *Node) zoneApplied(ctx context.Context, zone membership.Zone) membership.ZoneApplied {
	members := n.members.ZoneMembers(zone)
	collector, ok := n.collectorOf(zone)
	switch {
	case !ok:
		return membership.ZoneApplied{Zone: zone}
	case collector.ID == n.deps.ID:
		return n.appliedRevisions.Summarize(zone, members)
	}
	ctx, cancel := context.WithTimeout(ctx, _evidenceTimeout)
	defer cancel()
	response, err := n.clients.For(collector.PeerAddress).ZoneApplied(ctx, connect.NewRequest(&lentilferryv1.ZoneAppliedRequest{}))
	if err != nil {
		return membership.ZoneApplied{Zone: zone}
	}
	return wire.DecodeZoneApplied(zone, response.Msg)
}

// liveZones returns the zones with at least one member that is not gone. If
// service is not empty, only members of that service count.
func (n *Node) liveZones(service config.ServiceName) []membership.Zone {
	return slices.DeleteFunc(append(n.members.OtherZones(), n.deps.Zone), func(zone membership.Zone) bool {
		return !slices.ContainsFunc(n.members.ZoneMembers(zone), func(m membership.Member) bool {
			return !m.State.Gone() && (service == "" || m.Service == service)
		})
	})
}

// queryZones queries all zones concurrently and returns the results in no
// particular order.
func queryZones[T any](zones []membership.Zone, query func(zone membership.Zone) T) []T {
	results := make(chan T, len(zones))
	for _, zone := range zones {
		go func() { results <- query(zone) }()
	}
	all := make([]T, 0, len(zones))
	for range zones {
		all = append(all, <-results)
	}
	return all
}
