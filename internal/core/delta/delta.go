// Package delta implements delta encoding for the messages of a bidirectional stream: a
// message omits the fields that are unchanged since a base, which is an earlier message that
// the receiver acknowledged. Acknowledgements are piggybacked on the messages of the other
// direction. The encoding tolerates lost, duplicated and reordered messages; a new stream
// starts with complete messages.
package delta

import (
	"bytes"
	"errors"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Numbers of the control fields that each message must have for this package.
const (
	baseField     = 31
	clearedField  = 32
	receivedField = 33
)

const (
	// maxSent bounds the sent messages that are kept until they are acknowledged. A sender
	// that sends more between two acknowledgements keeps its older base.
	maxSent = 16
	// maxRetained bounds the received messages that are kept as possible bases. At the limit
	// the receiver repeats its last acknowledgement.
	maxRetained = 8
)

// ErrBaseMissing is returned for a message whose base was not retained. The stream must be
// reopened.
var ErrBaseMissing = errors.New("base of delta message is missing")

// Message is a message with a sequence number that increases along a stream.
type Message interface {
	proto.Message
	GetSequence() uint64
	// GetDeltaBase returns the sequence number of the base from which omitted fields are
	// taken, 0 for a complete message.
	GetDeltaBase() uint64
	// GetDeltaCleared returns the numbers of the fields that are set in the base and unset
	// in this message.
	GetDeltaCleared() []uint32
	// GetReceivedSequence returns the sequence number of the last message that the sender
	// acknowledges. A sender that cannot decode deltas leaves it 0.
	GetReceivedSequence() uint64
}

// Codec is one side of a stream. It is not safe for concurrent use. Messages passed to or
// returned by it must not be modified, since successive messages share fields.
type Codec[Out, In Message] struct {
	sent []encodedMessage // ascending; the first one is the base if hasBase is set
	// hasBase is set once a message was acknowledged.
	hasBase   bool
	latest    In
	hasLatest bool // latest is set
	retained  []In // acknowledged messages that the sender may use as a base, ascending
}

// Encode returns the message to send for a complete state.
func (c *Codec[Out, In]) Encode(full Out) Out {
	message, current := full, encodeFields(full)
	if c.hasBase {
		message = diff(full, current, c.sent[0])
	}
	if sequence := c.acknowledgement(); sequence != 0 {
		if !c.hasBase {
			message = shallowCopy(full)
		}
		setUint(message, receivedField, sequence)
	}
	c.sent = append(c.sent, current)
	if len(c.sent) > maxSent {
		first := 0
		if c.hasBase {
			first = 1
		}
		c.sent = slices.Delete(c.sent, first, first+1)
	}
	return message
}

// acknowledgement returns the sequence number to acknowledge, 0 for none, and retains that
// message as a possible base.
func (c *Codec[Out, In]) acknowledgement() uint64 {
	if !c.hasLatest {
		return 0
	}
	n := len(c.retained)
	if n > 0 && c.retained[n-1].GetSequence() == c.latest.GetSequence() {
		return c.latest.GetSequence()
	}
	if n >= maxRetained {
		return c.retained[n-1].GetSequence()
	}
	c.retained = append(c.retained, c.latest)
	return c.latest.GetSequence()
}

// Decode returns the complete state that a received message represents.
func (c *Codec[Out, In]) Decode(message In) (In, error) {
	full := message
	if base := message.GetDeltaBase(); base != 0 {
		i := slices.IndexFunc(c.retained, func(candidate In) bool { return candidate.GetSequence() == base })
		if i < 0 {
			return message, ErrBaseMissing
		}
		full = restore(message, c.retained[i])
		// Later messages never have an older base. Earlier messages that arrive out of order
		// may now fail with ErrBaseMissing.
		c.retained = slices.Delete(c.retained, 0, i)
	}
	if sequence := full.GetSequence(); sequence != 0 && (!c.hasLatest || sequence > c.latest.GetSequence()) {
		c.latest, c.hasLatest = full, true
	}
	if sequence := message.GetReceivedSequence(); sequence != 0 {
		c.setBase(sequence)
	}
	return full, nil
}

func (c *Codec[Out, In]) setBase(sequence uint64) {
	i := slices.IndexFunc(c.sent, func(sent encodedMessage) bool { return sent.sequence == sequence })
	if i >= 0 {
		c.sent, c.hasBase = slices.Delete(c.sent, 0, i), true
	}
}

func isControl(field protoreflect.FieldDescriptor) bool {
	number := field.Number()
	return number == baseField || number == clearedField || number == receivedField
}

// encodedMessage is a sent message with its encoded fields. Comparing fields by reflection
// takes several times as long as encoding them, and the encoded form takes less memory.
type encodedMessage struct {
	sequence uint64
	fields   map[protowire.Number][]byte
}

func encodeFields(message Message) encodedMessage {
	e := encodedMessage{sequence: message.GetSequence(), fields: make(map[protowire.Number][]byte)}
	// Marshal fails only for strings that are not valid UTF-8; heartbeats contain none.
	data, _ := proto.Marshal(message)
	for len(data) > 0 {
		// The records of one field are contiguous.
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

// diff returns a message with the fields of full that differ from base. current is the
// encoded form of full.
func diff[M Message](full M, current, base encodedMessage) M {
	source := full.ProtoReflect()
	delta := source.New()
	fields := delta.Descriptor().Fields()
	for number, data := range current.fields {
		if !bytes.Equal(data, base.fields[number]) {
			field := fields.ByNumber(number)
			delta.Set(field, source.Get(field))
		}
	}
	message := delta.Interface().(M)
	setUint(message, baseField, base.sequence)
	cleared := fields.ByNumber(clearedField)
	for number := range base.fields {
		if current.fields[number] == nil {
			delta.Mutable(cleared).List().Append(protoreflect.ValueOfUint32(uint32(number)))
		}
	}
	return message
}

// restore returns a copy of the message with the omitted fields taken from base.
func restore[M Message](message, base M) M {
	full := shallowCopy(message)
	to := full.ProtoReflect()
	base.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if !to.Has(field) && !isControl(field) && !slices.Contains(message.GetDeltaCleared(), uint32(field.Number())) {
			to.Set(field, value)
		}
		return true
	})
	return full
}

// shallowCopy returns a copy that shares field values, without the control fields.
func shallowCopy[M Message](message M) M {
	from := message.ProtoReflect()
	to := from.New()
	from.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if !isControl(field) {
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
