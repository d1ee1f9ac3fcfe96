package oncecall

import "time"

const hexDigits = "0123456789abcdef"

// Sweeper chooses which claims a bounded cleanup looks at next. It walks the claims by
// prefix; a prefix with more rows than one list returns is divided by its next digit.
type Sweeper struct {
	pending []string
}

// Row is one row as listed.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Idle reports whether a new round must be started.
func (s *Sweeper) Idle() bool { return len(s.pending) == 0 }

// Start begins a round over the given prefixes.
func (s *Sweeper) Start(prefixes []string) { s.pending = append([]string(nil), prefixes...) }

// Next returns the prefix to list, or false if the round is over.
func (s *Sweeper) Next() (string, bool) {
	if s.Idle() {
		return "", false
	}
	last := len(s.pending) - 1
	prefix := s.pending[last]
	s.pending = s.pending[:last]
	return prefix, true
}

// Expired takes the rows under a prefix and returns those that have expired. Rows that
// cannot be parsed are kept, since they may bind a key.
func (s *Sweeper) Expired(prefix string, rows []Row, limit int, now time.Time) []Row {
	if len(rows) >= limit {
		for _, digit := range hexDigits {
			s.pending = append(s.pending, prefix+string(digit))
		}
	}
	var expired []Row
	for _, row := range rows {
		claim, err := Decode(row.Value)
		if err == nil && claim.Expired(now) {
			expired = append(expired, row)
		}
	}
	return expired
}
