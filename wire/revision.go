package wire

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"lentilferry.example/lentilferry/distribution"
	lentilferryv1 "lentilferry.example/lentilferry/gen/lentilferry/v1"
	"lentilferry.example/lentilferry/revision"
)

// EncodeManifest returns the stored form of a manifest.
func (Codec) EncodeManifest(m revision.Manifest) ([]byte, error) {
	value, err := _marshalOptions.Marshal(encodeManifest(m))
	return value, errors.Wrapf(err, "encode manifest %d", m.Number)
}

// DecodeManifest returns the manifest with the given stored form. Its error is
// ErrMalformed.
func (Codec) DecodeManifest(value []byte) (revision.Manifest, error) {
	var message lentilferryv1.Manifest
	if err := proto.Unmarshal(value, &message); err != nil {
		return revision.Manifest{}, errors.Mark(err, ErrMalformed)
	}
	return decodeManifest(&message)
}

func encodeManifest(m revision.Manifest) *lentilferryv1.Manifest {
	message := &lentilferryv1.Manifest{
		Number:             m.Number,
		Operation:          m.Operation,
		Message:            m.Message,
		CommittedUnixNanos: m.CommittedAt.UnixNano(),
		Entries:            encodeEntries(m.Entries),
	}
	for _, o := range m.RecentOperations {
		message.RecentOperations = append(message.RecentOperations, &lentilferryv1.AppliedOperation{Id: o.ID, Number: o.Number})
	}
	return message
}

func decodeManifest(message *lentilferryv1.Manifest) (revision.Manifest, error) {
	entries, err := decodeEntries(message.GetEntries())
	if err != nil {
		return revision.Manifest{}, err
	}
	m := revision.Manifest{
		Number:      message.GetNumber(),
		Operation:   message.GetOperation(),
		Message:     message.GetMessage(),
		CommittedAt: time.Unix(0, message.GetCommittedUnixNanos()),
		Entries:     entries,
	}
	for _, o := range message.GetRecentOperations() {
		m.RecentOperations = append(m.RecentOperations, revision.AppliedOperation{ID: o.GetId(), Number: o.GetNumber()})
	}
	return m, nil
}

func encodeEntries(entries []revision.Entry) []*lentilferryv1.Entry {
	messages := make([]*lentilferryv1.Entry, 0, len(entries))
	for _, e := range entries {
		messages = append(messages, &lentilferryv1.Entry{Kind: uint32(e.Key.Kind), Name: e.Key.Name, Hash: e.Hash[:]})
	}
	return messages
}

func decodeEntries(messages []*lentilferryv1.Entry) ([]revision.Entry, error) {
	entries := make([]revision.Entry, 0, len(messages))
	for _, message := range messages {
		e := revision.Entry{Key: revision.EntryKey{Kind: revision.ResourceKind(message.GetKind()), Name: message.GetName()}}
		if copy(e.Hash[:], message.GetHash()) != len(e.Hash) || len(message.GetHash()) != len(e.Hash) {
			return nil, errors.Wrapf(ErrMalformed, "entry %q has a hash of %d bytes", e.Key.Name, len(message.GetHash()))
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// EncodeBundle maps a bundle to its message.
func EncodeBundle(b distribution.Bundle) *lentilferryv1.Bundle {
	return &lentilferryv1.Bundle{
		Manifest:  encodeManifest(b.Manifest),
		Base:      b.Base,
		Changed:   encodeEntries(b.Changed),
		Removed:   encodeEntries(b.Removed),
		Resources: b.Values,
		Hash:      b.Hash[:],
	}
}

// DecodeBundle maps a message to its bundle. Its error is ErrMalformed.
func DecodeBundle(message *lentilferryv1.Bundle) (distribution.Bundle, error) {
	m, err := decodeManifest(message.GetManifest())
	if err != nil {
		return distribution.Bundle{}, err
	}
	b := distribution.Bundle{Manifest: m, Base: message.GetBase(), Values: message.GetResources()}
	if b.Changed, err = decodeEntries(message.GetChanged()); err != nil {
		return distribution.Bundle{}, err
	}
	if b.Removed, err = decodeEntries(message.GetRemoved()); err != nil {
		return distribution.Bundle{}, err
	}
	if copy(b.Hash[:], message.GetHash()) != len(b.Hash) {
		return distribution.Bundle{}, errors.Wrap(ErrMalformed, "bundle hash is too short")
	}
	return b, nil
}
