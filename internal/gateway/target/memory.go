package target

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// ordinaryBytes is the size of a reservation up to which all of a Memory is available. Larger ones
	// share largeFraction of it, so that ordinary messages arrive while others exhaust that.
	ordinaryBytes = 64 << 10
	largeFraction = 2.0 / 3
	// bodyBufferSize is the first buffer of a body. Typical answers to calls have some hundred bytes.
	bodyBufferSize = 512
)

var (
	// ErrMemoryExceeded means that the messages in progress need more memory than they may use together.
	ErrMemoryExceeded = errors.New("memory for messages in progress is exhausted")
	// ErrBodyTooLong means that a body exceeds the limit of its reader.
	ErrBodyTooLong = errors.New("body exceeds its limit")
)

// Memory limits what messages in progress occupy together. Targets in trouble send bytes without end,
// to many requests at a time. It is safe for concurrent use.
type Memory struct {
	limit, largeLimit int64
	reserved          atomic.Int64
}

// NewMemory returns a Memory of limit bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit, largeLimit: int64(largeFraction * float64(limit))}
}

// Reserved returns the number of bytes that are reserved.
func (m *Memory) Reserved() int64 { return m.reserved.Load() }

// add reserves n more bytes for a reservation that has size bytes then.
func (m *Memory) add(n, size int64) bool {
	limit := m.limit
	if size > ordinaryBytes {
		limit = m.largeLimit
	}
	if m.reserved.Add(n) <= limit {
		return true
	}
	m.reserved.Add(-n)
	return false
}

// Reservation is a part of a Memory. The zero value and nil reserve nothing and are never refused. It is not safe
// for concurrent use.
type Reservation struct {
	memory *Memory
	size   int64
}

// Reserve returns an empty reservation.
func (m *Memory) Reserve() *Reservation { return &Reservation{memory: m} }

// Grow raises the reservation to size bytes, if it is smaller. It returns ErrMemoryExceeded if the Memory
// has no room for that; the reservation then stays as it is.
func (r *Reservation) Grow(size int) error {
	if r == nil || r.memory == nil || int64(size) <= r.size {
		return nil
	}
	if !r.memory.add(int64(size)-r.size, int64(size)) {
		return ErrMemoryExceeded
	}
	r.size = int64(size)
	return nil
}

// Release ends the reservation.
func (r *Reservation) Release() {
	if r == nil || r.memory == nil {
		return
	}
	r.memory.reserved.Add(-r.size)
	r.size = 0
}

// ReadBody reads a body of at most limit bytes to its end and reserves the memory that holds it. It returns
// ErrBodyTooLong if the body is longer.
func ReadBody(body io.Reader, limit int, r *Reservation) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(max(bodyBufferSize, 2*cap(data)), limit+1)
			if err := r.Grow(size); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > limit:
			return nil, ErrBodyTooLong
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
