package wire

import (
	"time"

	"lentilferry.example/lentilferry/config"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/move"
)

// EncodeOrders maps orders to their messages.
func EncodeOrders(orders []move.Order) []*lentilferryv1.Order {
	messages := make([]*lentilferryv1.Order, 0, len(orders))
	for _, o := range orders {
		messages = append(messages, &lentilferryv1.Order{
			Service:       string(o.Service),
			Candidate:     string(o.Candidate),
			DurationNanos: int64(o.Duration),
			Revision:      o.Revision,
			State:         uint32(o.Progress.State),
			DecidedOn:     string(o.Progress.Candidate),
			Share:         uint32(o.Progress.Share),
			LeftNanos:     int64(o.Progress.Remaining),
			Pilot:         string(o.Progress.Coordinator),
			Epoch:         o.Progress.Epoch,
			Reason:        o.Progress.Reason,
		})
	}
	return messages
}

// DecodeOrders maps messages to their orders. It skips those without a service,
// a version or a known state.
func DecodeOrders(messages []*lentilferryv1.Order) []move.Order {
	orders := make([]move.Order, 0, len(messages))
	for _, message := range messages {
		state := move.State(message.GetState())
		if message.GetService() == "" || message.GetCandidate() == "" || state < move.Ordered || state > move.Reverted {
			continue
		}
		orders = append(orders, move.Order{
			Service:   config.ServiceName(message.GetService()),
			Candidate: config.VersionName(message.GetCandidate()),
			Duration:  time.Duration(message.GetDurationNanos()),
			Revision:  message.GetRevision(),
			Progress: move.Progress{
				State:       state,
				Candidate:   config.VersionName(message.GetDecidedOn()),
				Share:       config.Share(min(message.GetShare(), uint32(config.FullShare))),
				Remaining:   time.Duration(message.GetLeftNanos()),
				Coordinator: membership.NodeID(message.GetPilot()),
				Epoch:       message.GetEpoch(),
				Reason:      message.GetReason(),
			},
		})
	}
	return orders
}
