package tokenlog

import "time"

// Limits bound a store.
type Limits struct {
	// Bytes bounds the estimated memory of all logs and copies.
	Bytes int
	// Retention is how long a log is kept after its end, and a copy after its last record.
	Retention time.Duration
}

// DefaultLimits keep an agent under the 64 MB that a node may use for control.
var DefaultLimits = Limits{Bytes: 32 << 20, Retention: 120 * time.Second}

// copyKey names a copy. Copies are kept for each attempt, since the two attempts of a
// race may have the same replica and either may win.
type copyKey struct {
	generation string
	attempt    uint32
}

// Store holds the logs of one agent. It is not safe for concurrent use.
type Store[S any] struct {
	limits Limits
	own    map[string]*Log[S]
	copies map[copyKey]*Log[S]
	bytes  int
}

// NewStore returns an empty store.
func NewStore[S any](limits Limits) *Store[S] {
	return &Store[S]{limits: limits, own: make(map[string]*Log[S]), copies: make(map[copyKey]*Log[S])}
}

// Bytes returns the estimated memory in use.
func (s *Store[S]) Bytes() int { return s.bytes }

// Local returns the agent's own log of a generation, or nil.
func (s *Store[S]) Local(generation string) *Log[S] { return s.own[generation] }

// Find returns the own log or copy of the attempt; without one, the log of the
// generation that changed last, or nil.
func (s *Store[S]) Find(generation string, attempt uint32) *Log[S] {
	best := s.own[generation]
	for key, log := range s.copies {
		if key.generation == generation && (best == nil || better(log, best, attempt)) {
			best = log
		}
	}
	return best
}

func better[S any](a, b *Log[S], attempt uint32) bool {
	switch {
	case (a.Attempt == attempt) != (b.Attempt == attempt):
		return a.Attempt == attempt
	case !a.touched.Equal(b.touched):
		return a.touched.After(b.touched)
	}
	return a.Attempt > b.Attempt
}

// LocalLogs returns the agent's own logs in no particular order.
func (s *Store[S]) LocalLogs() []*Log[S] {
	logs := make([]*Log[S], 0, len(s.own))
	for _, log := range s.own {
		logs = append(logs, log)
	}
	return logs
}

// StartOptions describes a new attempt.
type StartOptions[S any] struct {
	Generation string
	Attempt    uint32
	// Epoch is the attach epoch that the entry holds; 0 for a new generation.
	Epoch uint64
	Spec  S
	// SpecBytes is the size of Spec in memory, mostly that of the prompt.
	SpecBytes int
	// Prefix are the tokens already delivered.
	Prefix []Token
}

// Start begins the log of an attempt. It replaces the ended log of an earlier attempt.
// An epoch of 0 or equal to the last one gets the next epoch; a lower one belongs to a
// follower that was superseded.
func (s *Store[S]) Start(now time.Time, begin StartOptions[S]) (*Log[S], error) {
	previous, epoch := s.own[begin.Generation], begin.Epoch
	if previous != nil {
		attempt := begin.Attempt
		if attempt <= previous.Attempt || (epoch != 0 && epoch < previous.epoch) {
			return nil, ErrSuperseded
		}
		if previous.end == nil {
			return nil, ErrRunning
		}
		if epoch <= previous.epoch {
			epoch = previous.epoch + 1
		}
	}
	begin.Epoch = max(epoch, 1)
	log := newLog(now, begin)
	for index, token := range begin.Prefix {
		_ = log.append(now, uint64(index), token)
	}
	if !s.makeRoom(log.size) {
		return nil, ErrFull
	}
	if previous = s.own[begin.Generation]; previous != nil {
		s.drop(previous)
	}
	s.own[begin.Generation] = log
	s.bytes += log.size
	return log, nil
}

func newLog[S any](now time.Time, begin StartOptions[S]) *Log[S] {
	return &Log[S]{
		Generation: begin.Generation, Attempt: begin.Attempt, Spec: begin.Spec, Started: now,
		epoch: begin.Epoch, size: logOverheadBytes + begin.SpecBytes, touched: now,
	}
}

// Append adds a token to a running attempt.
func (s *Store[S]) Append(now time.Time, log *Log[S], index uint64, token Token) error {
	before := log.size
	if err := log.append(now, index, token); err != nil {
		return err
	}
	s.grow(log, log.size-before)
	return nil
}

// grow counts added bytes, unless the log is no longer in the store.
func (s *Store[S]) grow(log *Log[S], added int) {
	if s.own[log.Generation] != log && s.copies[copyKey{log.Generation, log.Attempt}] != log {
		return
	}
	s.bytes += added
	s.makeRoom(0)
}

// Finish ends an attempt; the first end stands.
func (s *Store[S]) Finish(now time.Time, log *Log[S], end End) error {
	if log.end != nil {
		return ErrEnded
	}
	log.end = &end
	log.touched = now
	return nil
}

// Attach assigns the next attach epoch of a generation's log. Indexes above the end of
// the log belong to another log and are refused.
func (s *Store[S]) Attach(generation string, from uint64) (*Log[S], uint64, error) {
	log := s.own[generation]
	if log == nil {
		return nil, 0, ErrNotFound
	}
	if from > log.Next() {
		return nil, 0, ErrGap
	}
	log.epoch++
	return log, log.epoch, nil
}

// Record is one message of the replication of a log.
type Record[S any] struct {
	Generation string
	Attempt    uint32
	Epoch      uint64
	// Spec is set on records that start at index 0.
	Spec *S
	// SpecBytes is the size of Spec in memory.
	SpecBytes int
	First     uint64
	Tokens    []Token
	// End is set on the last record of an attempt that finished.
	End *End
}

// Replicate takes in a record and returns the next index wanted of this attempt; a
// sender rewinds when it is lower than what it sent. Attempts have separate copies, so
// that a copy never mixes two.
func (s *Store[S]) Replicate(now time.Time, record Record[S]) (uint64, error) {
	key := copyKey{record.Generation, record.Attempt}
	log := s.copies[key]
	if log == nil {
		if record.Spec == nil || record.First != 0 {
			return 0, nil
		}
		log = newLog(now, StartOptions[S]{
			Generation: record.Generation, Attempt: record.Attempt, Epoch: record.Epoch,
			Spec: *record.Spec, SpecBytes: record.SpecBytes,
		})
		if !s.makeRoom(log.size) {
			return 0, ErrFull
		}
		s.copies[key] = log
		s.bytes += log.size
	}
	log.epoch = max(log.epoch, record.Epoch)
	for offset, token := range record.Tokens {
		index := record.First + uint64(offset)
		if index != log.Next() {
			continue
		}
		if err := s.Append(now, log, index, token); err != nil {
			return log.Next(), err
		}
	}
	if record.End != nil && record.End.Tokens == log.Next() && log.end == nil {
		_ = s.Finish(now, log, *record.End)
	}
	return log.Next(), nil
}

// Expire drops logs and copies whose retention has passed and returns how many.
func (s *Store[S]) Expire(now time.Time) int {
	dropped := 0
	for _, log := range s.own {
		if log.end != nil && now.Sub(log.touched) >= s.limits.Retention {
			s.drop(log)
			dropped++
		}
	}
	for _, log := range s.copies {
		if now.Sub(log.touched) >= s.limits.Retention {
			s.drop(log)
			dropped++
		}
	}
	return dropped
}

// makeRoom evicts until wanted more bytes fit: ended logs and copies, oldest first,
// then copies that still grow. Running logs of its own are never evicted.
func (s *Store[S]) makeRoom(wanted int) bool {
	for s.bytes+wanted > s.limits.Bytes {
		victim := s.oldest()
		if victim == nil {
			return false
		}
		s.drop(victim)
	}
	return true
}

func (s *Store[S]) oldest() *Log[S] {
	var ended, growing *Log[S]
	consider := func(log *Log[S], own bool) {
		switch {
		case log.end != nil && (ended == nil || log.touched.Before(ended.touched)):
			ended = log
		case log.end == nil && !own && (growing == nil || log.touched.Before(growing.touched)):
			growing = log
		}
	}
	for _, log := range s.own {
		consider(log, true)
	}
	for _, log := range s.copies {
		consider(log, false)
	}
	if ended != nil {
		return ended
	}
	return growing
}

func (s *Store[S]) drop(log *Log[S]) {
	s.bytes -= log.size
	key := copyKey{log.Generation, log.Attempt}
	if s.copies[key] == log {
		delete(s.copies, key)
		return
	}
	delete(s.own, log.Generation)
}
