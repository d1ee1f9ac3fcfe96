// Package delta omits from the messages of a stream the fields that the receiver has from
// an earlier message. Each side acknowledges messages within its own messages; a sender
// uses the last acknowledged one as the base. It is pure and tolerates lost, repeated and
// reordered messages; a new stream begins with complete ones.
package delta

import (
	"bytes"
	"errors"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Field numbers of the fields that each message has for this package.
const (
	baseField     = 31
	clearedField  = 32
	receivedField = 33
)

const (
	// maxSent bounds the messages kept for an acknowledgement. A sender that sends more
	// between two acknowledgements keeps its older base.
	maxSent = 16
	// maxPromised bounds the messages kept as possible bases. Beyond it the receiver
	// repeats its last acknowledgement.
	maxPromised = 8
)

// ErrBaseMissing is returned for a message whose base is not held. The stream must be
// opened again.
var ErrBaseMissing = errors.New("the message refers to one that was not received")

// Message is a message with a sequence number that grows along a stream.
type Message interface {
	proto.Message
	GetSequence() uint64
	// GetDeltaBase returns the sequence number of the message that omitted fields are
	// taken from, 0 for a complete message.
	GetDeltaBase() uint64
	// GetDeltaCleared returns the fields of the base that this message does not have.
	GetDeltaCleared() []uint32
	// GetReceivedSequence returns the sequence number of the last message that the sender
	// acknowledges. A sender that cannot take in deltas leaves it 0.
	GetReceivedSequence() uint64
}

// Codec is one side of a stream. It is not safe for concurrent use. Messages given to it or
// returned by it must not be changed, since successive ones share fields.
type Codec[Out, In Message] struct {
	sent []encoded // ascending; the first one is the base if based is set
	// based is set once a message was acknowledged.
	based    bool
	latest   In
	received bool // latest is set
	promised []In // acknowledged and possibly used as a base, ascending
}

// Encode returns the message to send for the complete state.
func (l *Codec[Out, In]) Encode(full Out) Out {
	message, kept := full, encode(full)
	if l.based {
		message = difference(full, kept, l.sent[0])
	}
	if sequence := l.acknowledgement(); sequence != 0 {
		if !l.based {
			message = shallow(full)
		}
		setUint(message, receivedField, sequence)
	}
	l.sent = append(l.sent, kept)
	if len(l.sent) > maxSent {
		first := 0
		if l.based {
			first = 1
		}
		l.sent = slices.Delete(l.sent, first, first+1)
	}
	return message
}

// acknowledgement promises to keep the latest message as a base.
func (l *Codec[Out, In]) acknowledgement() uint64 {
	if !l.received {
		return 0
	}
	n := len(l.promised)
	if n > 0 && l.promised[n-1].GetSequence() == l.latest.GetSequence() {
		return l.latest.GetSequence()
	}
	if n >= maxPromised {
		return l.promised[n-1].GetSequence()
	}
	l.promised = append(l.promised, l.latest)
	return l.latest.GetSequence()
}

// Decode returns the complete state that a received message stands for.
func (l *Codec[Out, In]) Decode(message In) (In, error) {
	full := message
	if base := message.GetDeltaBase(); base != 0 {
		i := slices.IndexFunc(l.promised, func(kept In) bool { return kept.GetSequence() == base })
		if i < 0 {
			return message, ErrBaseMissing
		}
		full = restore(message, l.promised[i])
		// The base of later messages is not older. Reordered older messages fail.
		l.promised = slices.Delete(l.promised, 0, i)
	}
	if sequence := full.GetSequence(); sequence != 0 && (!l.received || sequence > l.latest.GetSequence()) {
		l.latest, l.received = full, true
	}
	if sequence := message.GetReceivedSequence(); sequence != 0 {
		l.acknowledged(sequence)
	}
	return full, nil
}

// acknowledged makes a sent message the base.
func (l *Codec[Out, In]) acknowledged(sequence uint64) {
	i := slices.IndexFunc(l.sent, func(sent encoded) bool { return sent.sequence == sequence })
	if i >= 0 {
		l.sent, l.based = slices.Delete(l.sent, 0, i), true
	}
}

func control(field protoreflect.FieldDescriptor) bool {
	number := field.Number()
	return number == baseField || number == clearedField || number == receivedField
}

// encoded is a sent message. Its fields are compared in their encoded form: comparing them
// by reflection takes several times as long as encoding, and the form takes less memory.
type encoded struct {
	sequence uint64
	fields   map[protowire.Number][]byte
}

func encode(message Message) encoded {
	e := encoded{sequence: message.GetSequence(), fields: make(map[protowire.Number][]byte)}
	// Messages of heartbeats have no invalid text, the only cause of an error.
	data, _ := proto.Marshal(message)
	for len(data) > 0 {
		// The records of one field follow each other.
		number, end := protowire.Number(0), 0
		for end < len(data) {
			next, _, n := protowire.ConsumeField(data[end:])
			if n < 0 || (number != 0 && next != number) {
				break
			}
			number, end = next, end+n
		}
		if end == 0 {
			break
		}
		e.fields[number] = data[:end]
		data = data[end:]
	}
	return e
}

// difference returns the fields of full that differ from base; now is full encoded.
func difference[M Message](full M, now, base encoded) M {
	from := full.ProtoReflect()
	out := from.New()
	fields := out.Descriptor().Fields()
	for number, data := range now.fields {
		if !bytes.Equal(data, base.fields[number]) {
			field := fields.ByNumber(number)
			out.Set(field, from.Get(field))
		}
	}
	message := out.Interface().(M)
	setUint(message, baseField, base.sequence)
	cleared := fields.ByNumber(clearedField)
	for number := range base.fields {
		if now.fields[number] == nil {
			out.Mutable(cleared).List().Append(protoreflect.ValueOfUint32(uint32(number)))
		}
	}
	return message
}

// restore returns the message with the fields that it omits taken from base.
func restore[M Message](message, base M) M {
	full := shallow(message)
	to := full.ProtoReflect()
	base.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if !to.Has(field) && !control(field) && !slices.Contains(message.GetDeltaCleared(), uint32(field.Number())) {
			to.Set(field, value)
		}
		return true
	})
	return full
}

// shallow returns a copy that shares fields, without those of this package.
func shallow[M Message](message M) M {
	from := message.ProtoReflect()
	to := from.New()
	from.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if !control(field) {
			to.Set(field, value)
		}
		return true
	})
	return to.Interface().(M)
}

func setUint(message proto.Message, number protoreflect.FieldNumber, value uint64) {
	m := message.ProtoReflect()
	m.Set(m.Descriptor().Fields().ByNumber(number), protoreflect.ValueOfUint64(value))
}
