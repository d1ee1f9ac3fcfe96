package oncecall

import "time"

const hexDigits = "0123456789abcdef"

// Sweeper selects the claims that a bounded cleanup lists next. It walks the claims by key
// prefix; a prefix with more rows than one list request returns is split by the next digit.
type Sweeper struct {
	pending []string
}

// Row is one row returned by a list request.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Idle reports whether no round is in progress.
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

// Expired returns the expired claims among the rows listed under a prefix, and splits the
// prefix if the list is full. Rows that cannot be parsed are kept, since they may reserve
// a key.
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
