package wire

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"lentilferry.example/lentilferry/departure"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/upstream"
)

var _ departure.Codec = Codec{}

// EncodeDepartures returns the stored form of departures.
func (Codec) EncodeDepartures(departed []upstream.Instance) ([]byte, error) {
	value, err := proto.Marshal(EncodeDepartures(departed))
	return value, errors.Wrap(err, "encode departures")
}

// DecodeDepartures returns the departures with the given stored form. Its error
// is ErrMalformed.
func (Codec) DecodeDepartures(value []byte) ([]upstream.Instance, error) {
	var message lentilferryv1.Departures
	if err := proto.Unmarshal(value, &message); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "departures"), ErrMalformed)
	}
	return DecodeDepartures(&message), nil
}

// EncodeDepartures maps departures to their message.
func EncodeDepartures(departed []upstream.Instance) *lentilferryv1.Departures {
	message := &lentilferryv1.Departures{}
	for _, d := range departed {
		message.Departures = append(message.Departures, &lentilferryv1.Departure{Process: string(d.ID), Incarnation: d.Incarnation})
	}
	return message
}

// DecodeDepartures maps a message to its departures. It skips those
// without a process.
func DecodeDepartures(message *lentilferryv1.Departures) []upstream.Instance {
	var departed []upstream.Instance
	for _, d := range message.GetDepartures() {
		if d.GetProcess() != "" {
			departed = append(departed, upstream.Instance{ID: upstream.ID(d.GetProcess()), Incarnation: d.GetIncarnation()})
		}
	}
	return departed
}
