package wire

import (
	"lentilferry.example/lentilferry/config"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/membership"
	"lentilferry.example/lentilferry/quarantine"
)

// EncodeQuarantines maps quarantines to their messages.
func EncodeQuarantines(quarantines []quarantine.Quarantine) []*lentilferryv1.Quarantine {
	messages := make([]*lentilferryv1.Quarantine, 0, len(quarantines))
	for _, q := range quarantines {
		messages = append(messages, &lentilferryv1.Quarantine{
			Rollout: q.Rollout,
			Zone:    string(q.Zone),
			Service: string(q.Service),
			Version: string(q.Version),
			Reason:  q.Reason,
		})
	}
	return messages
}

// DecodeQuarantines maps messages to their quarantines.
func DecodeQuarantines(messages []*lentilferryv1.Quarantine) []quarantine.Quarantine {
	quarantines := make([]quarantine.Quarantine, 0, len(messages))
	for _, message := range messages {
		quarantines = append(quarantines, quarantine.Quarantine{
			Rollout: message.GetRollout(),
			Zone:    membership.Zone(message.GetZone()),
			Service: config.ServiceName(message.GetService()),
			Version: config.VersionName(message.GetVersion()),
			Reason:  message.GetReason(),
		})
	}
	return quarantines
}
