package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxIncompleteBytes limits what the response bodies that are being received occupy together.
	// Targets in trouble send bytes without end, to many requests at a time, and the smallest VM
	// has about 110 MB.
	maxIncompleteBytes = 16 << 20
	// unreservedBytes is the size up to which a body is received without a reservation, so that
	// ordinary responses arrive while others exhaust the limit.
	unreservedBytes = 64 << 10
)

var (
	errBodyTooLong     = errors.New("response body exceeds 4 MiB")
	errResponsesTooBig = errors.New("incomplete response bodies exceed 16 MiB together")
)

// responseMemory reserves memory for the bodies that are being received.
type responseMemory struct{ reserved atomic.Int64 }

func (m *responseMemory) reserve(n int) bool {
	for {
		before := m.reserved.Load()
		if before+int64(n) > maxIncompleteBytes {
			return false
		}
		if m.reserved.CompareAndSwap(before, before+int64(n)) {
			return true
		}
	}
}

// readBody reads a body to its end. The reservation ends with the call: a complete body is soon
// delivered or dropped.
func (m *responseMemory) readBody(body io.Reader) ([]byte, error) {
	data := make([]byte, 0, 512)
	reserved := 0
	defer func() { m.reserved.Add(int64(-reserved)) }()
	for {
		if len(data) == cap(data) {
			size := min(2*cap(data), maxResponseBytes+1)
			if size > unreservedBytes {
				if !m.reserve(size - reserved) {
					return nil, errResponsesTooBig
				}
				reserved = size
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > maxResponseBytes:
			return nil, errBodyTooLong
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
