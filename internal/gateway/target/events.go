package target

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event; real ones have a few hundred bytes.
const maxEventBytes = 1 << 20

// ErrEventTooLong is returned for an event above the bound.
var ErrEventTooLong = errors.New("event is longer than 1 MiB")

// ErrTruncatedEvent is returned for a stream that ends inside an event.
var ErrTruncatedEvent = errors.New("the stream ends inside an event")

// Event is one whole event of a stream.
type Event struct {
	// ID is the event's id, 0 if it has none.
	ID uint64
	// Raw is the event with the empty line behind it, valid until the next Read.
	Raw []byte
}

// EventReader splits a stream into events.
type EventReader struct {
	reader *bufio.Reader
	event  []byte
}

// NewEventReader returns a reader of the events in a body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferSize)}
}

// Read returns the next event. It returns io.EOF if the stream ended regularly behind an
// event.
func (r *EventReader) Read() (Event, error) {
	if n := len(r.event); n > 0 && endsEvent(r.event) {
		r.event = r.event[:0]
	}
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, line...)
		if len(r.event) > maxEventBytes {
			return Event{}, ErrEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.event)) > 0 {
				return Event{}, ErrTruncatedEvent
			}
			return Event{}, err
		}
		if endsEvent(r.event) {
			return Event{ID: eventID(r.event), Raw: r.event}, nil
		}
	}
}

// endsEvent reports whether the text ends with an empty line.
func endsEvent(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n"))
}

func eventID(raw []byte) uint64 {
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		if n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			return n
		}
	}
	return 0
}
