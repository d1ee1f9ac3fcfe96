package target

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes limits the size of an event. Typical events have a few hundred bytes, and many
// streams are buffered at a time.
const maxEventBytes = 128 << 10

// ErrEventTooLong is returned for an event that exceeds maxEventBytes.
var ErrEventTooLong = errors.New("event exceeds 128 KiB")

// ErrTruncatedEvent is returned for a stream that ends within an event.
var ErrTruncatedEvent = errors.New("stream ended within an event")

// Event is a complete server-sent event.
type Event struct {
	// ID is the numeric ID of the event, 0 if it has none.
	ID uint64
	// Comment is set if the event has only comment lines, which keep a connection open.
	Comment bool
	// Raw is the event with its terminating empty line. It is valid until the next Read.
	Raw []byte
}

// EventReader reads events from a stream.
type EventReader struct {
	reader *bufio.Reader
	event  []byte
	memory *Reservation
}

// NewEventReader returns an EventReader that reads from body. It reserves memory for events that exceed
// the buffer of the stream; the caller releases it.
func NewEventReader(body io.Reader, memory *Reservation) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferSize), memory: memory}
}

// append adds a part of a line to the event.
func (r *EventReader) append(part []byte) error {
	size := len(r.event) + len(part)
	if size > maxEventBytes {
		return ErrEventTooLong
	}
	if size > cap(r.event) && size > readBufferSize {
		size = min(2*size, maxEventBytes)
		if err := r.memory.Grow(size); err != nil {
			return err
		}
		r.event = append(make([]byte, 0, size), r.event...)
	}
	r.event = append(r.event, part...)
	return nil
}

// Read returns the next event. It returns io.EOF if the stream ended after a complete event.
func (r *EventReader) Read() (Event, error) {
	if n := len(r.event); n > 0 && endsEvent(r.event) {
		r.event = r.event[:0]
		if cap(r.event) > readBufferSize {
			r.event = nil
			r.memory.Release()
		}
	}
	for {
		line, err := r.reader.ReadSlice('\n')
		if err := r.append(line); err != nil {
			return Event{}, err
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
			return Event{ID: eventID(r.event), Comment: isComment(r.event), Raw: r.event}, nil
		}
	}
}

// endsEvent reports whether raw ends with an empty line.
func endsEvent(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n"))
}

// isComment reports whether all lines of raw are comments or empty.
func isComment(raw []byte) bool {
	for line := range bytes.SplitSeq(raw, []byte{'\n'}) {
		if line = bytes.TrimSuffix(line, []byte{'\r'}); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
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
